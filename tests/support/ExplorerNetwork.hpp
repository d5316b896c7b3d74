#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Random.hpp"

#include <set>
#include <utility>
#include <vector>

namespace crocusslip::tests {

/// Simulated network: decides which messages arrive, how often and when.
class ExplorerNetwork
{
public:
  struct Conditions
  {
    /// Probabilities that a message is lost and that it is duplicated.
    double loss_ = 0;
    double duplication_ = 0;
    /// Share of messages with a delay of up to longDelay_.
    double slowShare_ = 0;
    core::Duration delay_ = std::chrono::milliseconds(3);
    core::Duration longDelay_ = std::chrono::milliseconds(1500);
  };

  explicit ExplorerNetwork(core::Random& aRandom)
    : random_(aRandom)
  {
  }

  void SetConditions(const Conditions& aConditions)
  {
    conditions_ = aConditions;
  }
  void Cut(core::MemberId aFrom, core::MemberId aTo);
  void Heal() { cut_.clear(); }
  bool IsCut(core::MemberId aFrom, core::MemberId aTo) const;
  /// Delay of each copy that arrives; empty if the message is lost.
  std::vector<core::Duration> Deliveries(core::MemberId aFrom,
                                         core::MemberId aTo);

private:
  core::Duration DrawDelay();

  core::Random& random_;
  Conditions conditions_;
  std::set<std::pair<core::MemberId, core::MemberId>> cut_;
};

} // namespace crocusslip::tests
