#pragma once

#include "state/NodeTable.hpp"
#include "state/SettingsViews.hpp"

/// Effective values of a node as a typed struct.
namespace crocusslip::state {

DeploymentSettings
ReadDeployment(const NodeTable& aNodes, NodeIndex aNode);
ServerSettings
ReadServer(const NodeTable& aNodes, NodeIndex aNode);
CallerSettings
ReadCaller(const NodeTable& aNodes, NodeIndex aNode);
ModelSettings
ReadModel(const NodeTable& aNodes, NodeIndex aNode);
/// The node may be missing; then all values are the defaults.
StoreSettings
ReadStore(const NodeTable& aNodes);
PlatformSettings
ReadPlatform(const NodeTable& aNodes);

} // namespace crocusslip::state
