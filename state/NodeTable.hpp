#pragma once

#include "state/SettingsSchema.hpp"
#include "state/StringPool.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusslip::state {

using NodeIndex = std::uint32_t;
inline constexpr NodeIndex kNoNode = 0xFFFFFFFF;

/// Kind and name of a node; root, store and platform have no name.
struct NodePath
{
  NodeKind kind_ = NodeKind::Root;
  std::string name_;

  std::string Text() const;
};

/// Nothing when the text is not the path of a node.
std::optional<NodePath>
ParseNodePath(std::string_view aText);

bool
IsNodeName(std::string_view aName);

/// One value that a node sets itself.
struct Override
{
  KeyIndex key_ = 0;
  SettingsValue value_;
  std::uint32_t line_ = 0;
};

/// A node as read from its text.
struct NodeContent
{
  std::uint32_t line_ = 0;
  std::vector<Override> overrides_;
};

/// Compact store of the nodes' own values: 16 bytes each, equal texts once.
class NodeTable
{
public:
  void Put(const NodePath& aPath, const NodeContent& aContent);
  void Remove(NodeIndex aNode);
  /// The node's own content, e.g. to restore it later.
  NodeContent Content(NodeIndex aNode) const;

  NodeIndex Find(NodeKind aKind, std::string_view aName = {}) const;
  NodeIndex Find(const NodePath& aPath) const;
  /// The group that the node inherits from, or the root's node; kNoNode for
  /// other kinds, and when there is no such node.
  NodeIndex Parent(NodeIndex aNode) const;

  NodeKind Kind(NodeIndex aNode) const { return nodes_[aNode].kind_; }
  const std::string& NodeName(NodeIndex aNode) const;
  std::string PathText(NodeIndex aNode) const;
  std::uint32_t Line(NodeIndex aNode) const { return nodes_[aNode].line_; }

  /// A value and the node that sets it; kNoNode stands for the default.
  struct Effective
  {
    SettingsValue value_;
    NodeIndex origin_ = kNoNode;
    std::uint32_t line_ = 0;
  };
  Effective Value(NodeIndex aNode, KeyIndex aKey) const;
  bool SetsItself(NodeIndex aNode, KeyIndex aKey) const;

  /// Calls the function for each node of the kind, in no particular order.
  template<typename Function>
  void ForEach(NodeKind aKind, Function&& aFunction) const
  {
    for (NodeIndex i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].used_ && nodes_[i].kind_ == aKind) {
        aFunction(i);
      }
    }
  }

  std::size_t Count() const { return index_.size(); }

  /// A chain of parents longer than this is taken for a cycle.
  static constexpr std::size_t kMaxDepth = 32;

private:
  struct Stored
  {
    std::uint64_t bits_ = 0;
    std::uint32_t line_ = 0;
    KeyIndex key_ = 0;
  };
  struct Node
  {
    StringPool::Id name_ = StringPool::kNone;
    std::uint32_t line_ = 0;
    NodeKind kind_ = NodeKind::Root;
    bool used_ = false;
    std::vector<Stored> stored_;
  };

  NodeIndex Allocate();
  const Stored* Own(const Node& aNode, KeyIndex aKey) const;
  Stored Encode(const Override& aOverride);
  SettingsValue Decode(const Stored& aStored) const;
  void ReleaseTexts(const Node& aNode);

  StringPool texts_;
  std::vector<Node> nodes_;
  std::vector<NodeIndex> free_;
  /// Kind and number of the name -> node.
  std::unordered_map<std::uint64_t, NodeIndex> index_;
};

} // namespace crocusslip::state
