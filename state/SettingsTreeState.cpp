#include "state/SettingsTreeState.hpp"

#include "state/SettingsKeys.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace crocusslip::state {

namespace {

constexpr KeyIndex kPrefixKey = Key(NodeKind::Deployment, "path_prefix");
constexpr KeyIndex kCallerKey = Key(NodeKind::Caller, "key_sha256");
constexpr KeyIndex kKindKey = Key(NodeKind::Deployment, "kind");
constexpr KeyIndex kPoolKey = Key(NodeKind::Deployment, "pool");

/// What adapters rely on in the deployment of their base model.
struct BaseTraits
{
  SettingsValue kind_;
  SettingsValue pool_;
  std::optional<core::Bytes> memory_;

  friend bool operator==(const BaseTraits&, const BaseTraits&) = default;
};

BaseTraits
BaseTraitsOf(const NodeTable& aNodes, NodeIndex aDeployment)
{
  return { aNodes.Value(aDeployment, kKindKey).value_,
           aNodes.Value(aDeployment, kPoolKey).value_,
           ReplicaMemory(aNodes, aDeployment) };
}

/// Drops the findings that were there before, wherever their lines are now.
void
DropKnown(core::Findings& aFindings, const core::Findings& aKnown)
{
  std::set<std::pair<std::string_view, std::string_view>> known;
  for (const core::Finding& finding : aKnown) {
    known.emplace(finding.key_, finding.message_);
  }
  std::erase_if(aFindings, [&](const core::Finding& aFinding) {
    return known.contains({ aFinding.key_, aFinding.message_ });
  });
}

std::string
TextValue(const NodeTable& aNodes, NodeIndex aNode, KeyIndex aKey)
{
  const SettingsValue value = aNodes.Value(aNode, aKey).value_;
  const auto* const text = std::get_if<std::string>(&value);
  return text == nullptr ? std::string() : *text;
}

} // namespace

void
SettingsTree::State::Index(const NodePath& aPath, NodeIndex aNode, bool aAdd)
{
  const bool deployment = aPath.kind_ == NodeKind::Deployment;
  if (aNode == kNoNode || (!deployment && aPath.kind_ != NodeKind::Caller)) {
    return;
  }
  const KeyIndex key = deployment ? kPrefixKey : kCallerKey;
  const std::string text = TextValue(nodes_, aNode, key);
  if (text.empty()) {
    return;
  }
  UniqueIndex& index = deployment ? prefixes_ : callerKeys_;
  if (aAdd) {
    index[text].push_back(aNode);
    return;
  }
  const auto found = index.find(text);
  std::erase(found->second, aNode);
  if (found->second.empty()) {
    index.erase(found);
  }
}

const PoolCapacities&
SettingsTree::State::Pools()
{
  if (!pools_) {
    pools_ = CapacitiesOf(nodes_);
  }
  return *pools_;
}

void
SettingsTree::State::Put(const NodePath& aPath, const NodeContent& aContent)
{
  if (aPath.kind_ == NodeKind::Server) {
    pools_.reset();
  }
  Index(aPath, nodes_.Find(aPath), false);
  nodes_.Put(aPath, aContent);
  Index(aPath, nodes_.Find(aPath), true);
}

void
SettingsTree::State::Remove(const NodePath& aPath)
{
  const NodeIndex node = nodes_.Find(aPath);
  if (node == kNoNode) {
    return;
  }
  if (aPath.kind_ == NodeKind::Server) {
    pools_.reset();
  }
  Index(aPath, node, false);
  nodes_.Remove(node);
}

std::vector<OldNode>
SettingsTree::State::Apply(const std::vector<ReadEdit>& aEdits)
{
  std::vector<OldNode> old;
  for (const ReadEdit& edit : aEdits) {
    const NodeIndex node = nodes_.Find(edit.path_);
    old.push_back({ edit.path_, std::nullopt });
    if (node != kNoNode) {
      old.back().content_ = nodes_.Content(node);
    }
    if (edit.removed_) {
      Remove(edit.path_);
    } else {
      Put(edit.path_, edit.content_);
    }
  }
  return old;
}

void
SettingsTree::State::Restore(const std::vector<OldNode>& aNodes)
{
  std::for_each(aNodes.rbegin(), aNodes.rend(), [this](const OldNode& aNode) {
    if (aNode.content_) {
      Put(aNode.path_, *aNode.content_);
    } else {
      Remove(aNode.path_);
    }
  });
}

core::Findings
SettingsTree::State::CheckAll()
{
  core::Findings findings;
  SettingsChecker checker(
    nodes_, Pools(), prefixes_, callerKeys_, file_, findings);
  checker.CheckAll();
  return findings;
}

core::Findings
SettingsTree::State::CheckNodes(const std::vector<ReadEdit>& aEdits)
{
  core::Findings findings;
  SettingsChecker checker(
    nodes_, Pools(), prefixes_, callerKeys_, file_, findings);
  for (const ReadEdit& edit : aEdits) {
    const NodeIndex node = nodes_.Find(edit.path_);
    if (node != kNoNode) {
      checker.CheckNode(node);
    }
  }
  return findings;
}

core::Findings
SettingsTree::State::ApplyChecked(const std::vector<ReadEdit>& aEdits,
                                  bool aKeep)
{
  // Only what other nodes rely on makes a check of all nodes necessary.
  std::map<std::string, BaseTraits> before;
  bool everything = false;
  for (const ReadEdit& edit : aEdits) {
    const NodeIndex node = nodes_.Find(edit.path_);
    const bool deployment = edit.path_.kind_ == NodeKind::Deployment;
    const bool addedCaller =
      edit.path_.kind_ == NodeKind::Caller && !edit.removed_;
    everything = everything || (!deployment && !addedCaller);
    if (deployment && node != kNoNode) {
      before.emplace(edit.path_.name_, BaseTraitsOf(nodes_, node));
    }
  }
  const std::vector<OldNode> old = Apply(aEdits);
  for (const auto& [name, traits] : before) {
    const NodeIndex node = nodes_.Find(NodeKind::Deployment, name);
    const bool wasBase = traits.kind_ == DefaultValue(kKindKey);
    everything =
      everything ||
      (wasBase && (node == kNoNode || BaseTraitsOf(nodes_, node) != traits));
  }
  core::Findings findings = everything ? CheckAll() : CheckNodes(aEdits);
  if (findings.empty() && aKeep) {
    return findings;
  }
  Restore(old);
  if (!findings.empty()) {
    // A mistake that the tree already had does not block other changes.
    DropKnown(findings, CheckAll());
  }
  if (findings.empty() && aKeep) {
    Apply(aEdits);
  }
  return findings;
}

void
SettingsTree::State::Forget(const std::vector<ReadEdit>& aEdits)
{
  const std::lock_guard lock(cacheMutex_);
  for (const ReadEdit& edit : aEdits) {
    if (edit.path_.kind_ == NodeKind::Root ||
        edit.path_.kind_ == NodeKind::Group ||
        edit.path_.kind_ == NodeKind::Model) {
      cache_.clear();
      return;
    }
    if (edit.path_.kind_ == NodeKind::Deployment) {
      cache_.erase(edit.path_.name_);
    }
  }
}

} // namespace crocusslip::state
