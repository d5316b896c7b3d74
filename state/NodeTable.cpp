#include "state/NodeTable.hpp"

#include "state/SettingsKeys.hpp"

#include <algorithm>
#include <bit>

namespace crocusslip::state {

namespace {

constexpr std::size_t kMaxName = 128;
/// Between the items of a list; cannot stand in a checked text.
constexpr char kSeparator = '\x1f';
constexpr KeyIndex kGroupParent = Key(NodeKind::Group, "parent");

bool
IsAlphanumeric(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9');
}

bool
HasName(NodeKind aKind)
{
  return aKind != NodeKind::Root && aKind != NodeKind::Store &&
         aKind != NodeKind::Platform;
}

std::uint64_t
IndexKey(NodeKind aKind, StringPool::Id aName)
{
  constexpr unsigned kIdBits = 32;
  return (static_cast<std::uint64_t>(aKind) << kIdBits) | aName;
}

bool
IsText(ValueType aType)
{
  return aType == ValueType::Text || aType == ValueType::Choice ||
         aType == ValueType::TextList;
}

std::string
Join(const TextList& aList)
{
  std::string joined;
  for (const std::string& item : aList) {
    if (!joined.empty()) {
      joined += kSeparator;
    }
    joined += item;
  }
  return joined;
}

TextList
Split(std::string_view aJoined)
{
  TextList list;
  while (!aJoined.empty()) {
    const std::size_t end = aJoined.find(kSeparator);
    list.emplace_back(aJoined.substr(0, end));
    aJoined.remove_prefix(end == std::string_view::npos ? aJoined.size()
                                                        : end + 1);
  }
  return list;
}

} // namespace

std::string
NodePath::Text() const
{
  const std::string kind(state::Name(kind_));
  return HasName(kind_) ? kind + "." + name_ : kind;
}

bool
IsNodeName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxName &&
         IsAlphanumeric(aName.front()) &&
         std::all_of(aName.begin(), aName.end(), [](char aChar) {
           return IsAlphanumeric(aChar) || std::string_view("._:/@-").find(
                                             aChar) != std::string_view::npos;
         });
}

std::optional<NodePath>
ParseNodePath(std::string_view aText)
{
  const std::size_t dot = aText.find('.');
  const std::string_view kindName = aText.substr(0, dot);
  for (std::size_t i = 0; i < kNodeKinds; ++i) {
    const auto kind = static_cast<NodeKind>(i);
    if (Name(kind) != kindName || HasName(kind) != (dot != aText.npos)) {
      continue;
    }
    if (!HasName(kind)) {
      return NodePath{ kind, {} };
    }
    const std::string_view name = aText.substr(dot + 1);
    if (!IsNodeName(name)) {
      return std::nullopt;
    }
    return NodePath{ kind, std::string(name) };
  }
  return std::nullopt;
}

void
NodeTable::Put(const NodePath& aPath, const NodeContent& aContent)
{
  NodeIndex index = Find(aPath);
  if (index == kNoNode) {
    index = Allocate();
    Node& node = nodes_[index];
    node.kind_ = aPath.kind_;
    node.name_ = texts_.Acquire(aPath.name_);
    index_.emplace(IndexKey(node.kind_, node.name_), index);
  }
  std::vector<Stored> stored;
  stored.reserve(aContent.overrides_.size());
  for (const Override& item : aContent.overrides_) {
    stored.push_back(Encode(item));
  }
  Node& node = nodes_[index];
  ReleaseTexts(node);
  node.line_ = aContent.line_;
  node.stored_ = std::move(stored);
}

void
NodeTable::Remove(NodeIndex aNode)
{
  Node& node = nodes_[aNode];
  ReleaseTexts(node);
  index_.erase(IndexKey(node.kind_, node.name_));
  texts_.Release(node.name_);
  node = Node();
  free_.push_back(aNode);
}

NodeContent
NodeTable::Content(NodeIndex aNode) const
{
  const Node& node = nodes_[aNode];
  NodeContent content{ node.line_, {} };
  for (const Stored& stored : node.stored_) {
    content.overrides_.push_back({ stored.key_, Decode(stored), stored.line_ });
  }
  return content;
}

NodeIndex
NodeTable::Find(NodeKind aKind, std::string_view aName) const
{
  const StringPool::Id name = texts_.Find(aName);
  if (name == StringPool::kNone) {
    return kNoNode;
  }
  const auto found = index_.find(IndexKey(aKind, name));
  return found == index_.end() ? kNoNode : found->second;
}

NodeIndex
NodeTable::Find(const NodePath& aPath) const
{
  return Find(aPath.kind_, aPath.name_);
}

NodeIndex
NodeTable::Parent(NodeIndex aNode) const
{
  const Node& node = nodes_[aNode];
  if (node.kind_ != NodeKind::Group && node.kind_ != NodeKind::Deployment) {
    return kNoNode;
  }
  const Stored* const parent = Own(node, kGroupParent);
  if (parent == nullptr) {
    return Find(NodeKind::Root);
  }
  const auto name = static_cast<StringPool::Id>(parent->bits_);
  const auto found = index_.find(IndexKey(NodeKind::Group, name));
  return found == index_.end() ? kNoNode : found->second;
}

const std::string&
NodeTable::NodeName(NodeIndex aNode) const
{
  return texts_.Text(nodes_[aNode].name_);
}

std::string
NodeTable::PathText(NodeIndex aNode) const
{
  return NodePath{ Kind(aNode), NodeName(aNode) }.Text();
}

NodeTable::Effective
NodeTable::Value(NodeIndex aNode, KeyIndex aKey) const
{
  NodeIndex node = aNode;
  for (std::size_t depth = 0; node != kNoNode && depth <= kMaxDepth; ++depth) {
    if (const Stored* const own = Own(nodes_[node], aKey)) {
      return { Decode(*own), node, own->line_ };
    }
    if (!kSettingsKeys[aKey].inherited_) {
      break;
    }
    node = Parent(node);
  }
  return { DefaultValue(aKey), kNoNode, 0 };
}

bool
NodeTable::SetsItself(NodeIndex aNode, KeyIndex aKey) const
{
  return Own(nodes_[aNode], aKey) != nullptr;
}

NodeIndex
NodeTable::Allocate()
{
  NodeIndex index = 0;
  if (free_.empty()) {
    index = static_cast<NodeIndex>(nodes_.size());
    nodes_.emplace_back();
  } else {
    index = free_.back();
    free_.pop_back();
  }
  nodes_[index].used_ = true;
  return index;
}

const NodeTable::Stored*
NodeTable::Own(const Node& aNode, KeyIndex aKey) const
{
  for (const Stored& stored : aNode.stored_) {
    if (stored.key_ == aKey) {
      return &stored;
    }
  }
  return nullptr;
}

NodeTable::Stored
NodeTable::Encode(const Override& aOverride)
{
  Stored stored{ 0, aOverride.line_, aOverride.key_ };
  const SettingsValue& value = aOverride.value_;
  switch (kSettingsKeys[aOverride.key_].type_) {
    case ValueType::Text:
    case ValueType::Choice:
      stored.bits_ = texts_.Acquire(std::get<std::string>(value));
      break;
    case ValueType::TextList:
      stored.bits_ = texts_.Acquire(Join(std::get<TextList>(value)));
      break;
    case ValueType::Integer:
      stored.bits_ = static_cast<std::uint64_t>(std::get<std::int64_t>(value));
      break;
    case ValueType::Number:
      stored.bits_ = std::bit_cast<std::uint64_t>(std::get<double>(value));
      break;
    case ValueType::Boolean:
      stored.bits_ = std::get<bool>(value) ? 1 : 0;
      break;
    case ValueType::Duration:
      stored.bits_ =
        static_cast<std::uint64_t>(std::get<core::Duration>(value).count());
      break;
    case ValueType::Size:
      stored.bits_ = std::get<core::Bytes>(value).Count();
      break;
  }
  return stored;
}

SettingsValue
NodeTable::Decode(const Stored& aStored) const
{
  switch (kSettingsKeys[aStored.key_].type_) {
    case ValueType::Text:
    case ValueType::Choice:
      return texts_.Text(static_cast<StringPool::Id>(aStored.bits_));
    case ValueType::TextList:
      return Split(texts_.Text(static_cast<StringPool::Id>(aStored.bits_)));
    case ValueType::Integer:
      return static_cast<std::int64_t>(aStored.bits_);
    case ValueType::Number:
      return std::bit_cast<double>(aStored.bits_);
    case ValueType::Boolean:
      return aStored.bits_ != 0;
    case ValueType::Duration:
      return core::Duration(static_cast<core::Duration::rep>(aStored.bits_));
    case ValueType::Size:
      return core::Bytes(aStored.bits_);
  }
  return {};
}

void
NodeTable::ReleaseTexts(const Node& aNode)
{
  for (const Stored& stored : aNode.stored_) {
    if (IsText(kSettingsKeys[stored.key_].type_)) {
      texts_.Release(static_cast<StringPool::Id>(stored.bits_));
    }
  }
}

} // namespace crocusslip::state
