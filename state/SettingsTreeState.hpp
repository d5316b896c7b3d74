#pragma once

#include "state/NodeTable.hpp"
#include "state/SettingsChecker.hpp"
#include "state/SettingsTree.hpp"

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Inner part of state/SettingsTree.hpp.
namespace crocusslip::state {

/// An edit whose path and text have been read.
struct ReadEdit
{
  NodePath path_;
  NodeContent content_;
  bool removed_ = false;
};

/// A node as it was before an edit.
struct OldNode
{
  NodePath path_;
  std::optional<NodeContent> content_;
};

/// Nodes, indices and cache of a settings tree.
struct SettingsTree::State
{
  NodeTable nodes_;
  UniqueIndex prefixes_;
  UniqueIndex callerKeys_;
  /// Name of the loaded file; empty when the nodes came from the table.
  std::string file_;
  /// Protects the cache only; no other lock is taken while it is held.
  mutable std::mutex cacheMutex_;
  mutable std::unordered_map<std::string, DeploymentPtr> cache_;
  /// Kept until a server changes.
  std::optional<PoolCapacities> pools_;

  void Put(const NodePath& aPath, const NodeContent& aContent);
  void Remove(const NodePath& aPath);
  void Restore(const std::vector<OldNode>& aNodes);
  std::vector<OldNode> Apply(const std::vector<ReadEdit>& aEdits);
  core::Findings CheckAll();
  core::Findings CheckNodes(const std::vector<ReadEdit>& aEdits);
  core::Findings ApplyChecked(const std::vector<ReadEdit>& aEdits, bool aKeep);
  void Forget(const std::vector<ReadEdit>& aEdits);

private:
  const PoolCapacities& Pools();
  void Index(const NodePath& aPath, NodeIndex aNode, bool aAdd);
};

} // namespace crocusslip::state
