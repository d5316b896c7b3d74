#pragma once

#include "coordination/BackendView.hpp"
#include "coordination/CrashGuard.hpp"
#include "coordination/PlaceQueue.hpp"
#include "coordination/RouteTable.hpp"
#include "coordination/SharedRetryBudget.hpp"
#include "core/Clock.hpp"
#include "core/Metrics.hpp"
#include "core/Random.hpp"
#include "entry/FleetLink.hpp"
#include "entry/GatewaySettings.hpp"
#include "entry/ServerPool.hpp"
#include "transport/HttpLink.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusslip::entry {

class GatewayCall;

/// Why the gateway itself answered instead of a backend server.
enum class GatewayRefusal : std::uint8_t
{
  NoRoutes,
  NoRoute,
  NoServer,
  NoModel,
  Full,
  Deadline,
  Quarantined,
  NotRunElsewhere,
  Broken,
  Malformed,
  Draining,
};
inline constexpr std::size_t kGatewayRefusals = 11;
const char*
NameOf(GatewayRefusal aReason);

/// Forwards callers' requests to backend servers on one event loop. The table
/// of routes and the picture of the servers come from the control group; a host
/// that loses touch with the group goes on with what it knows.
class Gateway
{
public:
  Gateway(transport::asio::io_context& aLoop,
          GatewaySettings aSettings,
          const core::Clock& aClock);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  core::Status Start();
  /// Not ready at once, then no new connections, then the end of the loop when
  /// everything is answered or the grace is nearly over.
  void Drain();
  /// Settings that may change while the process runs.
  void Reload(const GatewaySettings& aSettings);

  bool Ready() const;

private:
  friend class GatewayCall;

  struct Counters;
  using LinkPtr = std::shared_ptr<transport::CallerLink>;

  transport::Task<void> ServeCaller(LinkPtr aLink);
  transport::Task<void> ServeReadiness(LinkPtr aLink);
  transport::Task<bool> RefuseUnread(transport::CallerLink& aLink,
                                     transport::ReadResult aResult);
  transport::Task<void> Housekeeping();
  transport::Task<void> EndAfterGrace();
  transport::LinkLimits Limits() const;

  wire::SyncRequest Report();
  void Learn(const wire::SyncReply& aReply);
  void LearnRoutes(const wire::SyncReply& aReply);
  void LearnRows(const wire::SyncReply& aReply);
  void LearnSuspects(const wire::SyncReply& aReply);
  /// The request broke a server's connection, or ran to its end.
  void NoteBreak(const core::Digest& aFingerprint,
                 const core::ServerId& aServer);
  void NoteCompleted(const core::Digest& aFingerprint);
  void ReportBreak(const core::Digest& aFingerprint,
                   const core::ServerId& aServer);
  /// When the model should be at a server; nothing when nobody loads it.
  std::optional<core::MonotonicTime> ComingAt(
    const core::ModelName& aModel) const;

  /// Gives free places to waiting calls.
  void AssignPlaces();
  coordination::SharedRetryBudget& BudgetOf(
    const coordination::ServiceName& aService);
  /// Idle connections that this host may keep to a server of the service.
  std::size_t MostIdle(const coordination::ServiceName& aService) const;
  void CountRefusal(GatewayRefusal aReason);

  transport::asio::io_context& loop_;
  GatewaySettings settings_;
  const core::Clock& clock_;
  core::Random random_;
  const std::int64_t instance_;
  core::MetricsRegistry metrics_;
  std::unique_ptr<Counters> counters_;

  std::shared_ptr<const coordination::RouteTable> routes_;
  coordination::BackendView view_;
  std::map<coordination::ServiceName, coordination::SharedRetryBudget> budgets_;
  std::uint32_t hosts_ = 0;
  ServerPool pool_;
  coordination::PlaceQueue queue_;
  /// Calls that wait for a place.
  std::map<coordination::PlaceQueue::Id, GatewayCall*> waiting_;
  /// When models that are being loaded should be there.
  std::map<core::ModelName, core::MonotonicTime> coming_;

  struct ModelUse
  {
    std::uint32_t inFlight_ = 0;
    std::uint32_t arrivals_ = 0;
  };
  std::map<core::ModelName, ModelUse> models_;
  /// Models that run now, by server.
  std::map<core::ServerId, std::multiset<core::ModelName>> active_;
  /// Requests after which servers broke their connections.
  coordination::CrashGuard guard_;
  std::vector<wire::Crash> crashes_;
  std::vector<wire::Fingerprint> completed_;

  std::int64_t epoch_ = 0;
  std::int64_t seen_ = 0;
  bool learnedRows_ = false;

  std::set<LinkPtr> links_;
  std::uint32_t calls_ = 0;
  bool draining_ = false;
  /// While draining: when requests that still wait for a place are refused.
  core::MonotonicTime waitUntil_;
  std::unique_ptr<transport::LinkListener> callerListener_;
  std::unique_ptr<transport::LinkListener> readinessListener_;
  FleetLink fleet_;
};

} // namespace crocusslip::entry
