#pragma once

#include "core/Finding.hpp"
#include "core/Units.hpp"
#include "state/NodeTable.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusslip::state {

/// Nodes by a value that must be unique among them.
using UniqueIndex = std::map<std::string, std::vector<NodeIndex>>;

/// What the servers of one pool can take.
struct PoolCapacity
{
  core::Bytes largestMemory_;
  bool hasEngine_ = false;
  bool hasService_ = false;
};

using PoolCapacities = std::unordered_map<std::string, PoolCapacity>;

PoolCapacities
CapacitiesOf(const NodeTable& aNodes);

/// Memory of one replica: the deployment's own or its model's; nothing when
/// neither is given.
std::optional<core::Bytes>
ReplicaMemory(const NodeTable& aNodes, NodeIndex aDeployment);

/// Name under which the engine knows the deployment's model or adapter.
std::string
ModelNameOf(const NodeTable& aNodes, NodeIndex aDeployment);

/// Checks rules that concern several values or nodes.
class SettingsChecker
{
public:
  /// The file's name stands in the findings; when empty, the node's path does.
  SettingsChecker(const NodeTable& aNodes,
                  const PoolCapacities& aPools,
                  const UniqueIndex& aPrefixes,
                  const UniqueIndex& aCallerKeys,
                  const std::string& aFile,
                  core::Findings& aFindings);

  void CheckAll();
  void CheckNode(NodeIndex aNode);

private:
  void CheckParents(NodeIndex aNode);
  void CheckDeployment(NodeIndex aNode);
  void CheckReferences(NodeIndex aNode);
  void CheckCallers(NodeIndex aNode);
  void CheckModel(NodeIndex aNode);
  void CheckAdapter(NodeIndex aNode);
  void CheckService(NodeIndex aNode);
  void CheckPool(NodeIndex aNode);
  void CheckMemory(NodeIndex aNode);
  void CheckOrder(NodeIndex aNode, KeyIndex aLesser, KeyIndex aGreater);
  void CheckServer(NodeIndex aNode);
  void CheckCaller(NodeIndex aNode);
  void CheckUnique(NodeIndex aNode, KeyIndex aKey, const UniqueIndex& aIndex);
  void RequireKey(NodeIndex aNode, KeyIndex aKey);

  /// Reports at the place where the value is set, else at the node.
  void Report(NodeIndex aNode, KeyIndex aKey, std::string aMessage);
  std::string TextOf(NodeIndex aNode, KeyIndex aKey) const;
  std::string NearestName(NodeKind aKind, std::string_view aName) const;
  std::string Missing(NodeKind aKind, std::string_view aName) const;

  const NodeTable& nodes_;
  const PoolCapacities& pools_;
  const UniqueIndex& prefixes_;
  const UniqueIndex& callerKeys_;
  const std::string& file_;
  core::Findings& findings_;
};

} // namespace crocusslip::state
