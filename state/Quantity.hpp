#pragma once

#include "core/Clock.hpp"
#include "core/Units.hpp"

#include <optional>
#include <string>
#include <string_view>

/// Durations and sizes as text with units.
namespace crocusslip::state {

/// "250ms", "1.5s", "10m", "2h", "7d"; nothing when malformed or out of range.
std::optional<core::Duration>
ParseDuration(std::string_view aText);

/// "512B", "64KiB", "6GiB", "1.5TiB"; nothing when malformed or out of range.
std::optional<core::Bytes>
ParseSize(std::string_view aText);

/// The shortest exact text with a unit.
std::string
FormatDuration(core::Duration aDuration);
std::string
FormatSize(core::Bytes aSize);

} // namespace crocusslip::state
