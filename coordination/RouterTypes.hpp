#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

/// Settings, inputs and results of Router.
namespace crocusslip::coordination {

/// Lowest expected completion time among a few sampled candidates.
struct ExpectedFinishPolicy
{};
/// Each replica in turn.
struct RoundRobinPolicy
{};
/// Lowest load in the last report, among all candidates.
struct LeastReportedLoadPolicy
{};
/// Fewer own requests in flight, of two random candidates.
struct RandomTwoChoicesPolicy
{};

using RoutingPolicy = std::variant<ExpectedFinishPolicy,
                                   RoundRobinPolicy,
                                   LeastReportedLoadPolicy,
                                   RandomTwoChoicesPolicy>;

struct RouterSettings
{
  RoutingPolicy policy_ = ExpectedFinishPolicy{};
  /// Candidates sampled for one request.
  std::uint32_t samples_ = 2;
  /// Maximum candidates of one deployment. A larger set is reduced by
  /// rendezvous hashing with subsetKey_.
  std::uint32_t maxCandidates_ = 64;
  /// Routers with different keys use different subsets.
  std::uint64_t subsetKey_ = 0;
  core::FailureDomainId ownDomain_;
  /// One-way delay to each other failure domain.
  std::unordered_map<core::FailureDomainId, core::Duration> oneWayDelay_;
  /// One-way delay to a domain that oneWayDelay_ does not list.
  core::Duration defaultDistance_ = std::chrono::milliseconds(1);
  core::Duration initialServiceTime_ = std::chrono::milliseconds(100);
  /// Half-life of the weight of a server's learned service time.
  core::Duration speedHalfLife_ = std::chrono::minutes(5);
  /// Slots assumed for a server that does not state them.
  std::uint32_t defaultSlots_ = 8;
  /// Initial limit on own requests whose answer has not started, on a new
  /// replica; also the initial limit on own requests on a server that recovers
  /// from a failure or an ejection. Each answer raises it by one until it
  /// reaches the server's slots.
  std::uint32_t slowStartInitial_ = 1;
  /// Limit on own requests in flight for unproven requests, as a multiple of
  /// the normal limit. An unproven request may use only two servers, so it
  /// queues there when both are full even if other servers have free slots.
  std::uint32_t unprovenOvercommit_ = 2;
  /// Consecutive failures after which a server is ejected.
  std::uint32_t ejectAfterFailures_ = 5;
  core::Duration ejectBase_ = std::chrono::seconds(5);
  core::Duration ejectMax_ = std::chrono::minutes(5);
  /// Maximum share of a deployment's candidates that may be ejected at once.
  double maxEjectedShare_ = 0.34;
  /// Time until every entry host that may serve knows a quarantine entry: the
  /// settings lease of 3 s including clock drift, plus the round trip of a
  /// report. A failed server stays a pair candidate for unproven requests for
  /// this long.
  core::Duration quarantineDelay_ = std::chrono::seconds(4);
  /// How long a failed server stays a pair candidate for isolated requests; at
  /// least as long as CrashGuard remembers a request that may have crashed a
  /// server.
  core::Duration isolatedDelay_ = std::chrono::minutes(10);
  /// How long this router sends only isolated requests to a server after an
  /// isolated request could not start on it because others were in flight.
  core::Duration isolationReserve_ = std::chrono::milliseconds(50);
  /// Idle time after which the state of a deployment is dropped.
  core::Duration idleAfter_ = std::chrono::minutes(5);
  std::uint32_t prefixCacheEntries_ = 1U << 16U;
};

/// Refers to a server within one router. Valid until the server is removed; the
/// generation keeps a stale handle from referring to a later server.
struct ServerHandle
{
  std::uint32_t index_ = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t generation_ = 0;
  friend bool operator==(const ServerHandle&, const ServerHandle&) = default;
};

struct ServerInfo
{
  core::ServerId server_;
  core::FailureDomainId domain_;
  /// Requests that the server runs concurrently; 0 when unknown.
  std::uint32_t slots_ = 0;
};

enum class ServerState : std::uint8_t
{
  Live,
  /// Leaving or drained: finishes its requests and receives no new ones.
  Leaving,
  /// Connections broke, or the platform reported the server as lost.
  Failed,
};

struct LoadReport
{
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  /// Age of the measurement when the report arrived.
  core::Duration age_{};
};

struct RouteRequest
{
  /// Hash of deployment and body; 0 for a request without a body.
  std::uint64_t fingerprint_ = 0;
  /// Whether an identical request has recently completed. An unproven request
  /// may go to only two servers, determined by its fingerprint and prefix, so
  /// copies at several entry hosts go to the same two. Ignored when
  /// fingerprint_ is 0.
  bool proven_ = false;
  /// Runs alone: no other request of this router is in flight on the server.
  bool isolated_ = false;
  /// Hashes of the prompt's prefix blocks. Each covers all blocks before it.
  std::span<const std::uint64_t> prefixBlocks_;
  /// Time saved by one cached prefix block.
  core::Duration savedPerBlock_{};
  /// Whether OnAnswerStarted was called for the attempt.
  bool answerStarted_ = false;
  /// Expected work relative to an average request of the deployment.
  double work_ = 1.0;
  /// Servers to exclude because they were already tried.
  std::span<const ServerHandle> avoid_;
  /// Failure domain to avoid if another has a server; empty for none.
  core::FailureDomainId avoidDomain_;
};

/// The estimates behind a choice, shown to operators.
struct RouteFigures
{
  core::Duration expectedFinish_{};
  core::Duration serviceTime_{};
  /// Network round trip to the server's failure domain.
  core::Duration roundTrip_{};
  core::Duration cacheBenefit_{};
  std::uint32_t ownInFlight_ = 0;
  /// Estimated load from other routers.
  double otherLoad_ = 0.0;
};

struct RouteChoice
{
  ServerHandle handle_;
  core::ServerId server_;
  RouteFigures figures_;
};

enum class NoRouteReason : std::uint8_t
{
  /// The deployment has no candidates.
  NoReplica,
  /// Every candidate is leaving, has failed or was already tried.
  NoneEligible,
  /// No eligible candidate has a free slot.
  AllBusy,
  /// Both servers that the unproven request may use have failed; it must wait
  /// until the quarantine entries are known.
  AwaitingQuarantine,
  /// The server for an isolated request still has other requests in flight.
  AwaitingIsolation,
};

struct NoRoute
{
  NoRouteReason reason_ = NoRouteReason::NoReplica;
  /// When to retry, unless a request finishes earlier; max when only a change
  /// of servers or replicas can help.
  core::MonotonicTime retryAt_ = core::MonotonicTime::max();
};

using RouteResult = std::variant<RouteChoice, NoRoute>;

enum class RequestOutcome : std::uint8_t
{
  /// Completed; its duration updates the learned service time.
  Answered,
  /// The server failed the request; counts toward its ejection.
  Failed,
  /// Cancelled by the caller, or the losing attempt of a hedge; not counted.
  Cancelled,
};

/// Slots that a router may use for one deployment.
struct RouteCapacity
{
  std::uint32_t slots_ = 0;
  std::uint32_t free_ = 0;
  /// Slots after all replicas have left slow start.
  std::uint32_t slotsWhenWarm_ = 0;
};

} // namespace crocusslip::coordination
