#pragma once

#include "coordination/RouterTypes.hpp"

#include <optional>
#include <unordered_map>
#include <vector>

namespace crocusslip::coordination {

/// A router's state of one backend server.
struct RoutedServer
{
  // Members read by every decision come first, to touch few cache lines.
  std::uint32_t generation_ = 0;
  std::uint32_t slots_ = 0;
  std::uint32_t ownInFlight_ = 0;
  std::uint32_t isolatedInFlight_ = 0;
  /// Limit on own requests in flight while the server recovers from a failure
  /// or an ejection; 0 for none.
  std::uint32_t recoveryLimit_ = 0;
  ServerState state_ = ServerState::Live;
  /// Whether the table entry holds a server.
  bool occupied_ = false;
  /// Until then only isolated requests may start.
  core::MonotonicTime reservedUntil_{};
  /// Round trip to its failure domain.
  core::Duration roundTrip_{};
  /// Load from other routers in the last report; see measuredAt_.
  double otherLoad_ = 0.0;
  /// Long-run mean of the load from other routers.
  double meanOtherLoad_ = 0.0;
  core::MonotonicTime measuredAt_{};
  /// Mean service time relative to the average server, and the number of
  /// observations that it represents, which decays over time.
  double relativeServiceTime_ = 1.0;
  double serviceTimeWeight_ = 0.0;
  core::MonotonicTime learnedAt_{};
  /// Running and queued requests in the last report.
  double reportedLoad_ = 0.0;
  core::ServerId id_;
  core::FailureDomainId domain_;
  core::MonotonicTime ejectedUntil_{};
  core::MonotonicTime failedAt_{};
  std::uint64_t reports_ = 0;
  /// Hash of its id; input of rendezvous hashing.
  std::uint64_t hash_ = 0;
  std::uint32_t failuresInRow_ = 0;
  std::uint32_t ejections_ = 0;
};

/// The servers that a router knows, with their state, load, service time and
/// ejection.
class ServerTable
{
public:
  explicit ServerTable(const RouterSettings& aSettings);

  ServerHandle Set(const ServerInfo& aInfo);
  void SetState(ServerHandle aServer,
                ServerState aState,
                core::MonotonicTime aNow);
  void Remove(ServerHandle aServer);
  std::optional<ServerHandle> Find(const core::ServerId& aId) const;
  RoutedServer* Get(ServerHandle aServer);
  const RoutedServer* Get(ServerHandle aServer) const;

  void OnStart(ServerHandle aServer, bool aIsolated);
  void OnFinish(ServerHandle aServer,
                bool aIsolated,
                RequestOutcome aOutcome,
                core::MonotonicTime aNow);
  void OnReport(ServerHandle aServer,
                const LoadReport& aReport,
                core::MonotonicTime aNow);
  /// Excludes requests that are not isolated until the given time.
  void Reserve(ServerHandle aServer, core::MonotonicTime aUntil);
  /// Records a service time; aMeanNanos is the deployment's mean on an average
  /// server.
  void LearnServiceTime(RoutedServer& aServer,
                        double aServiceNanos,
                        double aMeanNanos,
                        core::MonotonicTime aNow);

  /// Expected current load from other routers: decays from the last report to
  /// the long-run mean as the reported requests complete.
  double OtherLoad(const RoutedServer& aServer, core::MonotonicTime aNow) const;
  /// Service time relative to the average server. The learned mean is shrunk
  /// toward 1 by the share of its variance that is sampling error: the variance
  /// within a server divided by the number of observations, relative to the
  /// variance between servers.
  double ServiceTimeFactor(const RoutedServer& aServer,
                           core::MonotonicTime aNow) const;
  /// Maximum own requests in flight on the server.
  std::uint32_t OwnLimit(const RoutedServer& aServer,
                         core::MonotonicTime aNow) const;
  bool Ejected(const RoutedServer& aServer, core::MonotonicTime aNow) const;
  /// Incremented when a server changes state, is removed or is ejected. Changes
  /// that come about by time alone, such as the end of an ejection, are not
  /// counted.
  std::uint64_t Epoch() const { return epoch_; }
  std::size_t MemoryBytes() const;

private:
  void LearnVariance(double aDeviation, double aMean, double aWeight);
  /// Weight of the last report against the long-run mean.
  double ReportWeight(const RoutedServer& aServer,
                      core::MonotonicTime aNow) const;
  /// Share of the learned weight that remains after its half-life decay.
  double DecayFactor(const RoutedServer& aServer,
                     core::MonotonicTime aNow) const;
  void OnFailure(RoutedServer& aServer, core::MonotonicTime aNow);
  void OnSuccess(RoutedServer& aServer);
  core::Duration DistanceTo(const core::FailureDomainId& aDomain) const;

  const RouterSettings& settings_;
  std::vector<RoutedServer> servers_;
  std::vector<std::uint32_t> free_;
  std::unordered_map<core::ServerId, std::uint32_t> byId_;
  std::uint64_t epoch_ = 1;
  /// Mean service time over all deployments and servers.
  double meanServiceNanos_ = 0.0;
  /// Variance of relative service times within one server.
  double varianceWithin_ = 1.0;
  /// Variance of mean relative service times between servers.
  double varianceBetween_ = 0.0;
};

} // namespace crocusslip::coordination
