#pragma once

#include "core/Clock.hpp"
#include "core/Reasons.hpp"
#include "replay/ColdStarts.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusslip::replay {

/// A broken invariant, with the virtual time in seconds.
struct InvariantViolation
{
  std::string invariant_;
  double time_ = 0;
  std::string detail_;
};

/// Outcome of one replay over the measured part of the trace. Waits in
/// seconds.
struct Measures
{
  std::uint64_t requests_ = 0;
  /// Answered completely before the deadline.
  std::uint64_t inTime_ = 0;
  std::uint64_t late_ = 0;
  /// Non-idempotent requests answered with an unknown outcome.
  std::uint64_t unknown_ = 0;
  /// Requests without any answer; must be 0.
  std::uint64_t lost_ = 0;
  std::array<std::uint64_t, core::kRefusalReasons> refusals_{};
  std::array<std::uint64_t, core::kRetryReasons> retries_{};
  /// Wait until the first byte of each request that found no loaded replica;
  /// a refused one counts with its deadline.
  std::vector<double> coldWaits_;
  /// Causes and parts of the same waits.
  std::vector<ColdStart> coldStarts_;
  /// Of each refused request, in seconds from when the refusal had become
  /// unavoidable.
  std::vector<double> refusalDelays_;
  double idleAcceleratorHours_ = 0;
  std::uint64_t loads_ = 0;
  std::uint64_t evictions_ = 0;
  std::uint64_t unloads_ = 0;
  /// Servers that failed because of a request that crashes them.
  std::uint64_t serversLostToRequests_ = 0;
  std::vector<InvariantViolation> violations_;

  /// Over the requests that found no loaded replica.
  double ColdPercentile(double aShare) const;
  /// Over all requests; those that found a replica did not wait for a load.
  double TailOfAll(double aShare) const;
  double ColdSeconds() const;
  /// Share of the offered requests that were answered in time.
  double Goodput() const;
  std::uint64_t Refused() const;
};

struct NamedMeasure
{
  std::string name_;
  double value_ = 0;
};

/// Every measure under the name used in outcome files and JSON.
std::vector<NamedMeasure>
AllMeasures(const Measures& aMeasures);

} // namespace crocusslip::replay
