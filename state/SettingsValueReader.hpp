#pragma once

#include "state/SettingsSchema.hpp"
#include "state/Toml.hpp"

#include <string>

namespace crocusslip::state {

/// A value, or why it was not accepted.
struct ReadValue
{
  SettingsValue value_;
  std::string problem_;

  bool Ok() const { return problem_.empty(); }
};

/// Checks type, unit, range and form of one value.
ReadValue
ReadSettingsValue(const SettingsKey& aKey, const toml::node& aNode);

/// A bound of the key as text with its unit.
std::string
BoundText(const SettingsKey& aKey, double aBound);

} // namespace crocusslip::state
