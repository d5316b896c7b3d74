#pragma once

#include "bench/EvenLoadTypes.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <vector>

namespace crocusslip::bench {

/// What a play of EvenLoadModel has measured so far.
struct EvenLoadCounts
{
  double Percentile(std::size_t aPercent) const
  {
    return firstMs_.empty()
             ? 0
             : firstMs_[std::min(firstMs_.size() - 1,
                                 firstMs_.size() * aPercent / 100)];
  }

  EvenLoadResult Summary(const std::vector<EvenLoadServer>& aServers,
                         std::uint32_t aSlowEvery)
  {
    EvenLoadResult result;
    result.arrivals_ = arrivals_;
    result.turnedAway_ = turnedAway_;
    result.givenUp_ = givenUp_;
    result.longPauses_ = longPauses_;
    result.refusedEarly_ = refusedEarly_;
    result.servedUrgent_ = inTime_[0] / std::max(1.0, asked_[0]);
    result.servedOther_ = inTime_[1] / std::max(1.0, asked_[1]);
    result.refusalMs_ =
      refusalMs_ / std::max(1.0, static_cast<double>(refusedEarly_ + givenUp_));
    result.busiestToMean_ = ratios_ / std::max(1.0, ticks_);
    double slow = 0;
    double others = 0;
    double slowServers = 0;
    std::uint64_t busiest = 0;
    for (std::size_t i = 0; i < aServers.size(); ++i) {
      busiest = std::max(busiest, aServers[i].arrivals_);
      const auto arrivals = static_cast<double>(aServers[i].arrivals_);
      ((aSlowEvery > 0 && i % aSlowEvery == 0) ? slow : others) += arrivals;
      slowServers += (aSlowEvery > 0 && i % aSlowEvery == 0) ? 1 : 0;
    }
    const double all = std::max<double>(1, static_cast<double>(arrivals_));
    result.arrivalsBusiestToMean_ =
      static_cast<double>(busiest) * static_cast<double>(aServers.size()) / all;
    if (slowServers > 0 && others > 0) {
      result.slowToOthers_ =
        slow / slowServers /
        (others / (static_cast<double>(aServers.size()) - slowServers));
    }
    std::ranges::sort(firstMs_);
    for (const double ms : firstMs_) {
      result.firstMeanMs_ += ms / static_cast<double>(firstMs_.size());
    }
    result.firstP95Ms_ = Percentile(95);
    result.firstP99Ms_ = Percentile(99);
    result.rowsPerReply_ =
      static_cast<double>(rows_) /
      static_cast<double>(std::max<std::uint64_t>(1, replies_));
    result.estimateError_ =
      std::sqrt(squaredErrors_ /
                static_cast<double>(std::max<std::uint64_t>(1, estimates_)));
    return result;
  }

  std::vector<double> firstMs_;
  std::array<double, 2> asked_{};
  std::array<double, 2> inTime_{};
  std::uint64_t refusedEarly_ = 0;
  double refusalMs_ = 0;
  std::uint64_t arrivals_ = 0;
  std::uint64_t turnedAway_ = 0;
  std::uint64_t givenUp_ = 0;
  std::uint64_t longPauses_ = 0;
  std::uint64_t rows_ = 0;
  std::uint64_t replies_ = 0;
  std::uint64_t estimates_ = 0;
  double squaredErrors_ = 0;
  double ratios_ = 0;
  double ticks_ = 0;
};

} // namespace crocusslip::bench
