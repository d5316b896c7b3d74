#pragma once

#include "core/Error.hpp"
#include "state/Answer.hpp"
#include "state/Command.hpp"

#include <cstddef>
#include <string>
#include <string_view>

/// Commands and answers as bytes, in Thrift's compact protocol.
namespace crocusslip::state {

inline constexpr std::int32_t kCommandVersion = 1;
/// Larger encodings are refused before they are decoded.
inline constexpr std::size_t kMaxCommandBytes = 4UL * 1024 * 1024;

std::string
Encode(const Command& aCommand);
std::string
Encode(const Answer& aAnswer);

core::Result<Command>
DecodeCommand(std::string_view aBytes);
core::Result<Answer>
DecodeAnswer(std::string_view aBytes);

} // namespace crocusslip::state
