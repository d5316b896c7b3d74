#pragma once

#include "state/Toml.hpp"
#include <string>

namespace crocusslip::state {

/// TOML text in the form in which nodes are stored: texts in double quotes.
std::string
PrintToml(const toml::node& aNode);

} // namespace crocusslip::state
