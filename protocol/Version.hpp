#pragma once

#include <cstdint>
#include <string_view>

/// Versions of everything that crosses a process or a disk.
namespace crocusslip::protocol {

/// Thrift messages between the system's own processes.
inline constexpr std::int32_t kWireVersion = 2;
/// Oldest wire version that this build understands.
inline constexpr std::int32_t kOldestWireVersion = 1;
/// Oldest version of a poll and of its reply: since 2 they carry differences.
inline constexpr std::int32_t kOldestPollVersion = 2;
inline constexpr std::string_view kProductVersion = "0.1.0";

} // namespace crocusslip::protocol
