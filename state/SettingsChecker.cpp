#include "state/SettingsChecker.hpp"

#include "state/Quantity.hpp"
#include "state/SettingsKeys.hpp"

#include <algorithm>
#include <array>

namespace crocusslip::state {

namespace {

consteval KeyIndex
DeploymentKey(std::string_view aName)
{
  return Key(NodeKind::Deployment, aName);
}

/// Paths that the system answers itself.
constexpr std::array<std::string_view, 5> kReservedPaths = { "/v1",
                                                             "/admin",
                                                             "/livez",
                                                             "/readyz",
                                                             "/metrics" };

std::string
Text(const SettingsValue& aValue)
{
  const auto* const text = std::get_if<std::string>(&aValue);
  return text == nullptr ? std::string() : *text;
}

/// For values whose order is checked: counts and durations.
std::int64_t
AsNumber(const SettingsValue& aValue)
{
  if (const auto* const duration = std::get_if<core::Duration>(&aValue)) {
    return duration->count();
  }
  return std::get<std::int64_t>(aValue);
}

bool
IsReserved(std::string_view aPrefix)
{
  return std::any_of(kReservedPaths.begin(),
                     kReservedPaths.end(),
                     [aPrefix](std::string_view aReserved) {
                       return aPrefix == aReserved ||
                              (aPrefix.starts_with(aReserved) &&
                               aPrefix[aReserved.size()] == '/');
                     });
}

} // namespace

PoolCapacities
CapacitiesOf(const NodeTable& aNodes)
{
  PoolCapacities pools;
  aNodes.ForEach(NodeKind::Server, [&](NodeIndex aServer) {
    const auto value = [&](KeyIndex aKey) {
      return aNodes.Value(aServer, aKey).value_;
    };
    PoolCapacity& pool = pools[Text(value(Key(NodeKind::Server, "pool")))];
    if (Text(value(Key(NodeKind::Server, "kind"))) == "service") {
      pool.hasService_ = true;
      return;
    }
    pool.hasEngine_ = true;
    const auto memory =
      std::get<core::Bytes>(value(Key(NodeKind::Server, "memory")));
    if (memory.Count() > pool.largestMemory_.Count()) {
      pool.largestMemory_ = memory;
    }
  });
  return pools;
}

std::string
ModelNameOf(const NodeTable& aNodes, NodeIndex aDeployment)
{
  std::string name =
    Text(aNodes.Value(aDeployment, DeploymentKey("model")).value_);
  return name.empty() ? aNodes.NodeName(aDeployment) : name;
}

std::optional<core::Bytes>
ReplicaMemory(const NodeTable& aNodes, NodeIndex aDeployment)
{
  const SettingsValue own =
    aNodes.Value(aDeployment, DeploymentKey("memory")).value_;
  if (const auto* const memory = std::get_if<core::Bytes>(&own)) {
    return *memory;
  }
  const NodeIndex model =
    aNodes.Find(NodeKind::Model, ModelNameOf(aNodes, aDeployment));
  if (model == kNoNode) {
    return std::nullopt;
  }
  const SettingsValue value =
    aNodes.Value(model, Key(NodeKind::Model, "memory")).value_;
  if (const auto* const memory = std::get_if<core::Bytes>(&value)) {
    return *memory;
  }
  return std::nullopt;
}

SettingsChecker::SettingsChecker(const NodeTable& aNodes,
                                 const PoolCapacities& aPools,
                                 const UniqueIndex& aPrefixes,
                                 const UniqueIndex& aCallerKeys,
                                 const std::string& aFile,
                                 core::Findings& aFindings)
  : nodes_(aNodes)
  , pools_(aPools)
  , prefixes_(aPrefixes)
  , callerKeys_(aCallerKeys)
  , file_(aFile)
  , findings_(aFindings)
{
}

void
SettingsChecker::CheckAll()
{
  for (const NodeKind kind : { NodeKind::Root,
                               NodeKind::Group,
                               NodeKind::Deployment,
                               NodeKind::Server,
                               NodeKind::Caller }) {
    nodes_.ForEach(kind, [this](NodeIndex aNode) { CheckNode(aNode); });
  }
}

void
SettingsChecker::CheckNode(NodeIndex aNode)
{
  switch (nodes_.Kind(aNode)) {
    case NodeKind::Group:
      CheckParents(aNode);
      break;
    case NodeKind::Deployment:
      CheckParents(aNode);
      CheckDeployment(aNode);
      break;
    case NodeKind::Server:
      CheckServer(aNode);
      break;
    case NodeKind::Caller:
      CheckCaller(aNode);
      break;
    default:
      break;
  }
}

void
SettingsChecker::CheckParents(NodeIndex aNode)
{
  constexpr KeyIndex kParent = DeploymentKey("parent");
  const std::string parent = TextOf(aNode, kParent);
  if (parent.empty()) {
    return;
  }
  NodeIndex ancestor = nodes_.Parent(aNode);
  if (ancestor == kNoNode) {
    Report(aNode, kParent, Missing(NodeKind::Group, parent));
    return;
  }
  std::vector<NodeIndex> seen;
  for (; ancestor != kNoNode; ancestor = nodes_.Parent(ancestor)) {
    if (ancestor == aNode) {
      Report(aNode, kParent, "the parents form a cycle");
      return;
    }
    if (std::find(seen.begin(), seen.end(), ancestor) != seen.end()) {
      // A cycle above this node is reported at its members.
      return;
    }
    if (seen.size() == NodeTable::kMaxDepth) {
      Report(aNode,
             kParent,
             "has more than " + std::to_string(NodeTable::kMaxDepth) +
               " levels of parents");
      return;
    }
    seen.push_back(ancestor);
  }
}

void
SettingsChecker::CheckDeployment(NodeIndex aNode)
{
  CheckReferences(aNode);
  CheckOrder(
    aNode, DeploymentKey("min_replicas"), DeploymentKey("max_replicas"));
  CheckOrder(
    aNode, DeploymentKey("keep_alive_min"), DeploymentKey("keep_alive_max"));
  CheckOrder(
    aNode, DeploymentKey("deadline_default"), DeploymentKey("deadline_max"));
}

void
SettingsChecker::CheckReferences(NodeIndex aNode)
{
  CheckCallers(aNode);
  CheckPool(aNode);
  const std::string kind = TextOf(aNode, DeploymentKey("kind"));
  if (kind == "service") {
    CheckService(aNode);
    return;
  }
  if (nodes_.SetsItself(aNode, DeploymentKey("path_prefix"))) {
    Report(aNode,
           DeploymentKey("path_prefix"),
           "only a deployment of kind \"service\" has a path prefix");
  }
  if (kind == "adapter") {
    CheckAdapter(aNode);
  } else {
    CheckModel(aNode);
  }
  CheckMemory(aNode);
}

void
SettingsChecker::CheckCallers(NodeIndex aNode)
{
  constexpr KeyIndex kCallers = DeploymentKey("callers");
  const SettingsValue value = nodes_.Value(aNode, kCallers).value_;
  for (const std::string& caller : std::get<TextList>(value)) {
    if (caller != "*" && nodes_.Find(NodeKind::Caller, caller) == kNoNode) {
      Report(aNode, kCallers, Missing(NodeKind::Caller, caller));
    }
  }
}

void
SettingsChecker::CheckModel(NodeIndex aNode)
{
  constexpr KeyIndex kModelKey = DeploymentKey("model");
  const std::string model = TextOf(aNode, kModelKey);
  if (!model.empty() && nodes_.Find(NodeKind::Model, model) == kNoNode) {
    Report(aNode, kModelKey, Missing(NodeKind::Model, model));
  }
}

void
SettingsChecker::CheckAdapter(NodeIndex aNode)
{
  constexpr KeyIndex kBase = DeploymentKey("base");
  constexpr KeyIndex kPool = DeploymentKey("pool");
  const std::string base = TextOf(aNode, kBase);
  if (base.empty()) {
    Report(aNode, kBase, "an adapter needs the deployment of its base model");
    return;
  }
  const NodeIndex node = nodes_.Find(NodeKind::Deployment, base);
  if (node == kNoNode) {
    Report(aNode, kBase, Missing(NodeKind::Deployment, base));
    return;
  }
  if (TextOf(node, DeploymentKey("kind")) != "model") {
    Report(
      aNode, kBase, "deployment \"" + base + "\" is not of kind \"model\"");
  }
  if (TextOf(node, kPool) != TextOf(aNode, kPool)) {
    Report(aNode,
           kPool,
           "the base \"" + base + "\" is in pool \"" + TextOf(node, kPool) +
             "\", the adapter in pool \"" + TextOf(aNode, kPool) + "\"");
  }
}

void
SettingsChecker::CheckService(NodeIndex aNode)
{
  constexpr KeyIndex kPrefix = DeploymentKey("path_prefix");
  const std::string prefix = TextOf(aNode, kPrefix);
  if (prefix.empty()) {
    Report(aNode, kPrefix, "a service needs a path prefix");
    return;
  }
  if (IsReserved(prefix)) {
    Report(
      aNode, kPrefix, "\"" + prefix + "\" is answered by the system itself");
  }
  CheckUnique(aNode, kPrefix, prefixes_);
}

void
SettingsChecker::CheckPool(NodeIndex aNode)
{
  constexpr KeyIndex kPool = DeploymentKey("pool");
  const std::string pool = TextOf(aNode, kPool);
  const bool service = TextOf(aNode, DeploymentKey("kind")) == "service";
  const auto found = pools_.find(pool);
  if (found == pools_.end()) {
    Report(aNode, kPool, "no backend server is in pool \"" + pool + "\"");
    return;
  }
  if (service ? !found->second.hasService_ : !found->second.hasEngine_) {
    Report(aNode,
           kPool,
           "pool \"" + pool + "\" has no server of kind \"" +
             (service ? "service" : "engine") + "\"");
  }
}

void
SettingsChecker::CheckMemory(NodeIndex aNode)
{
  constexpr KeyIndex kMemory = DeploymentKey("memory");
  const auto memory = ReplicaMemory(nodes_, aNode);
  if (!memory) {
    Report(aNode,
           kMemory,
           "no memory given, neither here nor in [model." +
             ModelNameOf(nodes_, aNode) + "]");
    return;
  }
  const std::string pool = TextOf(aNode, DeploymentKey("pool"));
  const auto found = pools_.find(pool);
  if (found == pools_.end() || !found->second.hasEngine_) {
    return;
  }
  core::Bytes needed = *memory;
  std::string with;
  const std::string base = TextOf(aNode, DeploymentKey("base"));
  const NodeIndex baseNode = nodes_.Find(NodeKind::Deployment, base);
  if (TextOf(aNode, DeploymentKey("kind")) == "adapter" &&
      baseNode != kNoNode) {
    needed += ReplicaMemory(nodes_, baseNode).value_or(core::Bytes());
    with = " with its base \"" + base + "\"";
  }
  if (needed.Count() > found->second.largestMemory_.Count()) {
    Report(aNode,
           kMemory,
           "a replica" + with + " takes " + FormatSize(needed) +
             ", but the largest server of pool \"" + pool + "\" has " +
             FormatSize(found->second.largestMemory_));
  }
}

void
SettingsChecker::CheckOrder(NodeIndex aNode,
                            KeyIndex aLesser,
                            KeyIndex aGreater)
{
  const SettingsValue lesser = nodes_.Value(aNode, aLesser).value_;
  const SettingsValue greater = nodes_.Value(aNode, aGreater).value_;
  if (AsNumber(greater) < AsNumber(lesser)) {
    const bool here = nodes_.SetsItself(aNode, aLesser);
    Report(aNode,
           here ? aLesser : aGreater,
           std::string(kSettingsKeys[aLesser].name_) + " (" + TomlText(lesser) +
             ") is greater than " + std::string(kSettingsKeys[aGreater].name_) +
             " (" + TomlText(greater) + ")");
  }
}

void
SettingsChecker::CheckServer(NodeIndex aNode)
{
  RequireKey(aNode, Key(NodeKind::Server, "address"));
  RequireKey(aNode, Key(NodeKind::Server, "failure_domain"));
  if (TextOf(aNode, Key(NodeKind::Server, "kind")) == "engine") {
    RequireKey(aNode, Key(NodeKind::Server, "memory"));
  }
}

void
SettingsChecker::CheckCaller(NodeIndex aNode)
{
  constexpr KeyIndex kKey = Key(NodeKind::Caller, "key_sha256");
  RequireKey(aNode, kKey);
  CheckUnique(aNode, kKey, callerKeys_);
}

void
SettingsChecker::CheckUnique(NodeIndex aNode,
                             KeyIndex aKey,
                             const UniqueIndex& aIndex)
{
  const auto found = aIndex.find(TextOf(aNode, aKey));
  if (found == aIndex.end()) {
    return;
  }
  for (const NodeIndex other : found->second) {
    if (other != aNode) {
      Report(aNode, aKey, "the same value stands in " + nodes_.PathText(other));
      return;
    }
  }
}

void
SettingsChecker::RequireKey(NodeIndex aNode, KeyIndex aKey)
{
  if (!nodes_.SetsItself(aNode, aKey)) {
    Report(aNode, aKey, "is required");
  }
}

void
SettingsChecker::Report(NodeIndex aNode, KeyIndex aKey, std::string aMessage)
{
  const NodeTable::Effective value = nodes_.Value(aNode, aKey);
  const bool inherited = value.origin_ != kNoNode && value.origin_ != aNode;
  const std::string path = nodes_.PathText(aNode);
  if (inherited) {
    aMessage += " (inherited from " + nodes_.PathText(value.origin_) + ")";
  }
  findings_.push_back(
    { file_.empty() ? path : file_,
      value.origin_ == aNode ? value.line_ : nodes_.Line(aNode),
      path + "." + std::string(kSettingsKeys[aKey].name_),
      std::move(aMessage) });
}

std::string
SettingsChecker::TextOf(NodeIndex aNode, KeyIndex aKey) const
{
  return Text(nodes_.Value(aNode, aKey).value_);
}

std::string
SettingsChecker::NearestName(NodeKind aKind, std::string_view aName) const
{
  // Bounds the time for a file in which every reference is wrong.
  constexpr std::size_t kMaxFindingsWithSuggestion = 100;
  if (findings_.size() > kMaxFindingsWithSuggestion) {
    return {};
  }
  std::vector<std::string_view> names;
  nodes_.ForEach(
    aKind, [&](NodeIndex aNode) { names.push_back(nodes_.NodeName(aNode)); });
  return std::string(NearestWord(names, aName));
}

std::string
SettingsChecker::Missing(NodeKind aKind, std::string_view aName) const
{
  const std::string kind(Name(aKind));
  const std::string near = NearestName(aKind, aName);
  return "there is no " + kind + " \"" + std::string(aName) + "\"" +
         (near.empty() ? "" : "; nearest: \"" + near + "\"");
}

} // namespace crocusslip::state
