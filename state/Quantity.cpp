#include "state/Quantity.hpp"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <span>

namespace crocusslip::state {

namespace {

struct Unit
{
  std::string_view name_;
  std::uint64_t factor_;
};

constexpr std::uint64_t kMicrosecond = 1000;
constexpr std::uint64_t kMillisecond = 1000 * kMicrosecond;
constexpr std::uint64_t kSecond = 1000 * kMillisecond;
constexpr std::uint64_t kMinute = 60 * kSecond;
constexpr std::uint64_t kHour = 60 * kMinute;
constexpr std::uint64_t kDay = 24 * kHour;

/// Largest first.
constexpr std::array kDurationUnits = {
  Unit{ "d", kDay },    Unit{ "h", kHour },         Unit{ "m", kMinute },
  Unit{ "s", kSecond }, Unit{ "ms", kMillisecond }, Unit{ "us", kMicrosecond },
  Unit{ "ns", 1 },
};

constexpr std::array kSizeUnits = {
  Unit{ "TiB", 1024 * core::kGibi },
  Unit{ "GiB", core::kGibi },
  Unit{ "MiB", core::kMebi },
  Unit{ "KiB", core::kKibi },
  Unit{ "B", 1 },
};

std::optional<std::uint64_t>
Factor(std::span<const Unit> aUnits, std::string_view aName)
{
  for (const Unit& unit : aUnits) {
    if (unit.name_ == aName) {
      return unit.factor_;
    }
  }
  return std::nullopt;
}

/// A whole or decimal number followed by a unit, in multiples of the
/// smallest unit.
std::optional<std::int64_t>
Parse(std::span<const Unit> aUnits, std::string_view aText)
{
  const std::size_t digits = aText.find_first_not_of("0123456789.");
  if (digits == 0 || digits == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view number = aText.substr(0, digits);
  const auto factor = Factor(aUnits, aText.substr(digits));
  if (!factor) {
    return std::nullopt;
  }
  std::uint64_t whole = 0;
  const char* const end = number.data() + number.size();
  const auto [wholeEnd, wholeError] =
    std::from_chars(number.data(), end, whole);
  const std::uint64_t limit = std::numeric_limits<std::int64_t>::max();
  if (wholeError == std::errc() && wholeEnd == end) {
    if (whole > limit / *factor) {
      return std::nullopt;
    }
    return static_cast<std::int64_t>(whole * *factor);
  }
  double decimal = 0;
  const auto [decimalEnd, error] = std::from_chars(number.data(), end, decimal);
  if (error != std::errc() || decimalEnd != end) {
    return std::nullopt;
  }
  const double value = std::round(decimal * static_cast<double>(*factor));
  if (value >= static_cast<double>(limit)) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(value);
}

std::string
Format(std::span<const Unit> aUnits,
       std::uint64_t aValue,
       std::string_view aZeroUnit)
{
  if (aValue == 0) {
    return "0" + std::string(aZeroUnit);
  }
  for (const Unit& unit : aUnits) {
    if (aValue % unit.factor_ == 0) {
      return std::to_string(aValue / unit.factor_) + std::string(unit.name_);
    }
  }
  return std::to_string(aValue);
}

} // namespace

std::optional<core::Duration>
ParseDuration(std::string_view aText)
{
  const auto value = Parse(kDurationUnits, aText);
  if (!value) {
    return std::nullopt;
  }
  return core::Duration(*value);
}

std::optional<core::Bytes>
ParseSize(std::string_view aText)
{
  const auto value = Parse(kSizeUnits, aText);
  if (!value) {
    return std::nullopt;
  }
  return core::Bytes(static_cast<std::uint64_t>(*value));
}

std::string
FormatDuration(core::Duration aDuration)
{
  const core::Duration::rep count = aDuration.count();
  if (count < 0) {
    return "-" + FormatDuration(-aDuration);
  }
  return Format(kDurationUnits, static_cast<std::uint64_t>(count), "s");
}

std::string
FormatSize(core::Bytes aSize)
{
  return Format(kSizeUnits, aSize.Count(), "B");
}

} // namespace crocusslip::state
