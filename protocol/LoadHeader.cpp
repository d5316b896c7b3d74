#include "protocol/LoadHeader.hpp"

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace crocusslip::protocol {

namespace {

/// Highest figures that a server may name; more is a fault of its.
constexpr std::uint32_t kMaxRequests = 100'000;
constexpr std::uint32_t kMaxPacePercent = 10'000;
/// Running, waiting and slots.
constexpr std::size_t kRequiredFigures = 3;

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

std::optional<std::uint32_t>
ParseFigure(std::string_view aText, std::uint32_t aMax)
{
  std::uint32_t value = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  const bool valid = parsed.ec == std::errc() &&
                     parsed.ptr == aText.data() + aText.size() && value <= aMax;
  return valid ? std::optional(value) : std::nullopt;
}

} // namespace

std::optional<routing::LoadSighting>
ParseLoadHeader(std::string_view aText)
{
  std::array<std::optional<std::uint32_t>, kRequiredFigures + 1> figures;
  std::string_view rest = aText;
  for (std::size_t i = 0; i < figures.size(); ++i) {
    const auto comma = rest.find(',');
    figures.at(i) =
      ParseFigure(Trim(rest.substr(0, comma)),
                  i < kRequiredFigures ? kMaxRequests : kMaxPacePercent);
    if (i < kRequiredFigures && !figures.at(i)) {
      return std::nullopt;
    }
    if (comma == std::string_view::npos) {
      break;
    }
    rest.remove_prefix(comma + 1);
  }
  if (!figures[kRequiredFigures - 1]) {
    return std::nullopt;
  }
  routing::LoadSighting sighting;
  sighting.running_ = *figures[0];
  sighting.queued_ = *figures[1];
  sighting.slots_ = *figures[2];
  sighting.pacePercent_ = figures[3].value_or(0);
  return sighting;
}

} // namespace crocusslip::protocol
