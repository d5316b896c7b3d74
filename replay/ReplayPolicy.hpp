#pragma once

#include "coordination/KeepAlive.hpp"
#include "coordination/LoadScheduler.hpp"
#include "coordination/Placement.hpp"

#include <optional>
#include <string>
#include <vector>

namespace crocusslip::replay {

/// The policies under which a trace is replayed.
struct ReplayPolicy
{
  std::string name_;
  coordination::KeepAlivePolicy keepAlive_ = coordination::LearnedKeepAlive{};
  coordination::LoadOrder loadOrder_ = coordination::DeadlineOrder{};
  coordination::PlacementSettings placement_;
  /// Brings checkpoints into main memory ahead of use.
  bool staging_ = true;
  /// Replaces the trace's setting.
  std::optional<double> idleCost_;
};

/// learned, fixed-10m, none and fcfs.
std::vector<ReplayPolicy>
AllPolicies();
std::optional<ReplayPolicy>
FindPolicy(const std::string& aName);

} // namespace crocusslip::replay
