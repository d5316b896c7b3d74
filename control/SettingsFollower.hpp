#pragma once

#include "core/Finding.hpp"
#include "state/SettingsTable.hpp"
#include "state/SettingsTree.hpp"

#include <vector>

namespace crocusslip::control {

/// What a difference of settings can change for the leader's decisions.
struct SettingsNews
{
  /// Every deployment may have changed, some may be gone.
  bool allDeployments_ = false;
  bool servers_ = false;
  bool store_ = false;
  /// Changed or removed, unless all are.
  std::vector<core::DeploymentId> deployments_;
  core::Findings findings_;
};

/// Applies a difference to a tree of settings: the whole tree when the
/// difference is complete, only the changed nodes otherwise.
SettingsNews
FollowDifference(state::SettingsTree& aTree,
                 const state::SettingsDifference& aDifference);

} // namespace crocusslip::control
