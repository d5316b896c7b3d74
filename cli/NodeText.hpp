#pragma once

#include "core/Error.hpp"
#include "state/SettingsSchema.hpp"

#include <string>
#include <string_view>

namespace crocusslip::cli {

/// The text of a settings node with one value set ("KEY=VALUE") or, when the
/// value is empty, no longer set by the node. A text, duration or size needs
/// no quotes; items of a list may be given with commas between them.
core::Result<std::string>
WithAssignment(state::NodeKind aKind,
               const std::string& aToml,
               std::string_view aAssignment);

/// The text in the form in which nodes of a settings file are stored.
core::Result<std::string>
NormalizedNode(std::string_view aToml);

} // namespace crocusslip::cli
