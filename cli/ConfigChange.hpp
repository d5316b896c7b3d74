#pragma once

#include "cli/Session.hpp"
#include "state/NodeTable.hpp"
#include "state/SettingsTree.hpp"

#include <string>
#include <vector>

namespace crocusslip::cli {

/// Edits in an order in which each prefix of them is valid by itself: what is
/// referred to comes before what refers to it, removals come the other way
/// round. aOld and aNew are the trees before and after.
std::vector<state::NodeEdit>
InValidOrder(std::vector<state::NodeEdit> aEdits,
             const state::SettingsTree& aOld,
             const state::SettingsTree& aNew);

/// Cuts edits into batches within the limits of one change.
std::vector<std::vector<state::NodeEdit>>
InBatches(std::vector<state::NodeEdit> aEdits);

/// A new id for a change, 32 hexadecimal digits.
core::ChangeId
NewChangeId(core::Random& aRandom);

/// The expected revision: --revision if given, else the one that was fetched.
std::optional<core::Revision>
ExpectedRevision(Session& aSession, core::Revision aFetched);

/// Sends one change; the answer's revision, or nothing after a failure that
/// was printed.
std::optional<protocol::AdminChangeAccepted>
SendChange(Session& aSession,
           const core::ChangeId& aChange,
           core::Revision aExpected,
           const std::vector<state::NodeEdit>& aEdits);

} // namespace crocusslip::cli
