#pragma once

#include "core/Finding.hpp"
#include "state/Toml.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace crocusslip::state {

/// The table of a TOML text, or nothing and a finding.
std::optional<toml::table>
ParseToml(std::string_view aText,
          const std::string& aFile,
          core::Findings& aFindings);

} // namespace crocusslip::state
