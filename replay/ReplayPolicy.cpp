#include "replay/ReplayPolicy.hpp"

#include <algorithm>

namespace crocusslip::replay {

std::vector<ReplayPolicy>
AllPolicies()
{
  using namespace coordination;
  ReplayPolicy learned;
  learned.name_ = "learned";
  ReplayPolicy fixed;
  fixed.name_ = "fixed-10m";
  fixed.keepAlive_ = FixedKeepAlive{ std::chrono::minutes(10) };
  fixed.staging_ = false;
  // The baselines weigh every second of a wait alike.
  fixed.placement_.waitCost_.exponent_ = 1.0;
  ReplayPolicy none;
  none.name_ = "none";
  none.keepAlive_ = NoKeepAlive{};
  none.staging_ = false;
  none.placement_.waitCost_.exponent_ = 1.0;
  ReplayPolicy firstCome;
  firstCome.name_ = "fcfs";
  firstCome.loadOrder_ = ArrivalOrder{};
  return { learned, fixed, none, firstCome };
}

std::optional<ReplayPolicy>
FindPolicy(const std::string& aName)
{
  const std::vector<ReplayPolicy> policies = AllPolicies();
  const auto found = std::find_if(
    policies.begin(), policies.end(), [&](const ReplayPolicy& aPolicy) {
      return aPolicy.name_ == aName;
    });
  return found == policies.end() ? std::nullopt : std::optional(*found);
}

} // namespace crocusslip::replay
