#pragma once

#include "routing/ServerEstimate.hpp"

#include <optional>
#include <string_view>

namespace crocusslip::protocol {

/// Parses "RUNNING,WAITING,SLOTS" with an optional ",PACE"; figures after that
/// are ignored. A pace of 0 or above the highest counts as not named. nullopt
/// if one of the others is no number or is out of range. The time is not set.
std::optional<routing::LoadSighting>
ParseLoadHeader(std::string_view aText);

} // namespace crocusslip::protocol
