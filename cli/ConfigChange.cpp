#include "cli/ConfigChange.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace crocusslip::cli {

namespace {

/// Below the limits of the replicated settings table for one change.
constexpr std::size_t kBatchEdits = 2000;
constexpr std::size_t kBatchBytes = 512UL * 1024;

bool
IsAdapter(const state::SettingsTree& aTree, const state::NodePath& aPath)
{
  const auto deployment = aTree.Deployment(core::DeploymentId(aPath.name_));
  return deployment && deployment->kind_ == state::DeploymentKind::Adapter;
}

/// 0 for what refers to nothing, larger for what refers to smaller ones.
int
Rank(const state::SettingsTree& aTree, const state::NodePath& aPath)
{
  switch (aPath.kind_) {
    case state::NodeKind::Group:
    case state::NodeKind::Root:
      return 1;
    case state::NodeKind::Deployment:
      return IsAdapter(aTree, aPath) ? 3 : 2;
    default:
      return 0;
  }
}

} // namespace

std::vector<state::NodeEdit>
InValidOrder(std::vector<state::NodeEdit> aEdits,
             const state::SettingsTree& aOld,
             const state::SettingsTree& aNew)
{
  constexpr int kRanks = 4;
  const auto place = [&](const state::NodeEdit& aEdit) {
    const auto path = state::ParseNodePath(aEdit.path_);
    if (!path) {
      return 0;
    }
    return aEdit.removed_ ? 2 * kRanks - Rank(aOld, *path) : Rank(aNew, *path);
  };
  std::vector<std::pair<int, state::NodeEdit>> placed;
  placed.reserve(aEdits.size());
  for (state::NodeEdit& edit : aEdits) {
    const int rank = place(edit);
    placed.emplace_back(rank, std::move(edit));
  }
  std::stable_sort(
    placed.begin(), placed.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first < aRight.first;
    });
  std::vector<state::NodeEdit> ordered;
  ordered.reserve(placed.size());
  for (auto& item : placed) {
    ordered.push_back(std::move(item.second));
  }
  return ordered;
}

std::vector<std::vector<state::NodeEdit>>
InBatches(std::vector<state::NodeEdit> aEdits)
{
  std::vector<std::vector<state::NodeEdit>> batches;
  std::size_t bytes = 0;
  for (state::NodeEdit& edit : aEdits) {
    const std::size_t size = edit.path_.size() + edit.toml_.size();
    if (batches.empty() || batches.back().size() == kBatchEdits ||
        bytes + size > kBatchBytes) {
      batches.emplace_back();
      bytes = 0;
    }
    bytes += size;
    batches.back().push_back(std::move(edit));
  }
  return batches;
}

core::ChangeId
NewChangeId(core::Random& aRandom)
{
  const core::Digest digest{ aRandom.Next(), aRandom.Next() };
  return core::ChangeId(digest.Hex());
}

std::optional<core::Revision>
ExpectedRevision(Session& aSession, core::Revision aFetched)
{
  const std::string text = aSession.Option("revision");
  if (text.empty()) {
    return aFetched;
  }
  core::Revision::RepType value = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end) {
    aSession.Fail(ExitCode::BadInput, "--revision expects a number");
    return std::nullopt;
  }
  return core::Revision(value);
}

std::optional<protocol::AdminChangeAccepted>
SendChange(Session& aSession,
           const core::ChangeId& aChange,
           core::Revision aExpected,
           const std::vector<state::NodeEdit>& aEdits)
{
  protocol::AdminConfigChange change;
  change.changeId_ = aChange;
  change.expectedRevision_ = aExpected;
  for (const state::NodeEdit& edit : aEdits) {
    change.edits_.push_back({ edit.path_, edit.toml_, edit.removed_ });
  }
  const auto body =
    aSession.Call({ "POST", "/config", protocol::ToJson(change), true });
  if (!body) {
    aSession.Err() << "change id " << aChange.Value() << ", expected revision "
                   << aExpected.Value() << '\n';
    return std::nullopt;
  }
  return aSession.Decode<protocol::AdminChangeAccepted>(*body);
}

} // namespace crocusslip::cli
