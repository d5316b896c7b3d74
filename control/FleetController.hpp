#pragma once

#include "admission/FairShares.hpp"
#include "admission/FleetLines.hpp"
#include "admission/QuotaBound.hpp"
#include "admission/QuotaLedger.hpp"
#include "admission/Tenants.hpp"
#include "control/BackendPort.hpp"
#include "control/GroupHost.hpp"
#include "coordination/CrashGuard.hpp"
#include "coordination/FleetTable.hpp"
#include "coordination/ModelPlacement.hpp"
#include "coordination/PromptGuard.hpp"
#include "coordination/RateGrants.hpp"
#include "coordination/UnansweredOrders.hpp"
#include "core/Clock.hpp"
#include "core/Metrics.hpp"
#include "placement/RecordedOrders.hpp"
#include "protocol/ServerTableWire.hpp"

#include "fleet_types.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace crocusslip::control {

/// Reads the quotas of tenants out of the published table of routes.
using ReadQuotas =
  std::function<core::Result<std::map<admission::TenantName, admission::Quota>>(
    const std::string&)>;

struct FleetControllerSettings
{
  /// Name under which orders are given.
  std::string holder_;
  std::chrono::milliseconds listInterval_{ 1000 };
  /// Two holders must not give orders within this time.
  std::chrono::milliseconds holderLease_{ 3000 };
  /// Whether servers refuse orders with a lower fencing number than one that
  /// they have accepted.
  bool fencingEnforced_ = false;
  admission::QuotaBound quotaBound_;
  /// Without it no quota is kept.
  ReadQuotas readQuotas_;
};

/// Reads the limits of services out of the published table of routes.
using ReadServices = std::function<
  core::Result<std::map<coordination::ServiceName, coordination::EngineLimits>>(
    const std::string&)>;

/// While this process leads: reads the platform's list, merges the reports of
/// the hosts, and gives the engines their orders. All of it starts anew with
/// each term; what the engines hold is read from them.
class FleetController
{
public:
  FleetController(transport::asio::io_context& aLoop,
                  GroupHost& aGroup,
                  BackendPort& aPort,
                  const core::Clock& aClock,
                  ReadServices aReadServices,
                  FleetControllerSettings aSettings,
                  core::MetricsRegistry& aMetrics);

  void Start();
  /// Sends waiting hosts what has changed. Called on any thread.
  void Changed();
  /// A host's report; answers what the host has not seen. Waits up to the
  /// time that the host allows. Called on threads of the RPC server.
  void Sync(const wire::SyncRequest& aRequest, wire::SyncReply& aReply);

private:
  /// What orders refer to: a start of an engine, and the orders that it has
  /// accepted since.
  struct EngineRun
  {
    std::int64_t startedAt_ = 0;
    std::int64_t sequence_ = 0;

    bool operator==(const EngineRun&) const = default;
  };

  struct PlannedOrder
  {
    coordination::PlacementOrder order_;
    /// What the order was planned on; nothing when it is no longer known.
    std::optional<EngineRun> run_;
    /// In the replicated state; 0 where orders aren't recorded.
    std::uint64_t number_ = 0;
  };

  struct Engine
  {
    /// Sequence of the content that placement_ has of the engine.
    std::optional<std::int64_t> sequence_;
    std::int64_t startedAt_ = 0;
    core::MonotonicTime refreshedAt_;
    bool refreshing_ = false;
  };

  /// A call of a host that is held until something changes.
  struct WaitingHost
  {
    core::HostId host_;
    core::Term term_;
    std::uint64_t routesVersion_ = 0;
    std::condition_variable wake_;
    bool woken_ = false;
  };

  transport::Task<void> ListLoop();
  transport::Task<void> DecideLoop();
  transport::Task<void> RunOrder(PlannedOrder aPlanned, core::Term aTerm);
  transport::Task<bool> CarryOut(PlannedOrder aPlanned, core::Term aTerm);
  /// aSequence: that the order was sent with.
  transport::Task<bool> AwaitEffect(coordination::PlacementOrder aOrder,
                                    std::int64_t aSequence,
                                    core::Term aTerm);
  transport::Task<void> Refresh(core::ServerId aServer, core::Term aTerm);
  std::optional<EngineRun> RunOf(const core::ServerId& aServer) const;
  /// RunOf, called with the lock.
  std::optional<EngineRun> KnownRun(const core::ServerId& aServer) const;
  /// Sends an order once, and remembers it if it gets no answer.
  transport::Task<OrderReply> Send(std::string aAddress,
                                   PlannedOrder aPlanned,
                                   core::Term aTerm);
  /// Reads what earlier leaders have ordered, at the begin of a term.
  void RestoreOrders(core::MonotonicTime aNow);
  /// Time on this leader's clock, in the replicated state.
  std::chrono::milliseconds OrderClock() const;
  /// What the replicated state is to be told of ended orders.
  state::EndOrders TakeEnded();
  void TellEnded(core::Term aTerm);
  void OnEndLost(const state::EndOrders& aEnd, core::Term aTerm);
  /// Sends orders; where servers don't check fencing numbers, only once the
  /// group has recorded them. Called without the lock.
  void Dispatch(std::vector<PlannedOrder> aOrders, core::Term aTerm);
  void Agree(std::vector<PlannedOrder> aOrders, core::Term aTerm);
  /// aNumbers: of the recorded orders; empty if that failed or is not known.
  void OnAgreed(std::vector<PlannedOrder> aOrders,
                const state::EndOrders& aEnd,
                core::Term aTerm,
                std::vector<std::uint64_t> aNumbers);
  /// Keeps memory free for orders that may still be carried out, and orders
  /// from servers that those of another leader may reach.
  void ReserveForLateOrders(core::MonotonicTime aNow);
  /// The engine accepted an order with this sequence.
  void RecordAccepted(const core::ServerId& aServer,
                      std::int64_t aSequence,
                      core::Term aTerm);
  /// Nothing when the report could not be read.
  transport::Task<std::optional<EngineReport>> Report(core::ServerId aServer);
  /// Whether this process still leads in that term.
  bool Leads(core::Term aTerm) const;
  void BeginTerm(core::Term aTerm);
  void TakeRoutes();
  std::vector<PlannedOrder> Decide();
  /// Whether the list has not been read in this term, or not since the first
  /// configuration.
  bool AwaitsFirstList() const;
  void ShowModels();
  std::string AddressOf(const core::ServerId& aServer);
  void TakeReport(const wire::SyncRequest& aRequest, core::MonotonicTime aNow);
  /// Logs the moment from which all hosts have the newest routes.
  void RecordRoutesTaken(const wire::SyncRequest& aRequest);
  void TakeQuotas(const std::string& aRoutes);
  void TakeQuotaUses(const wire::SyncRequest& aRequest,
                     core::MonotonicTime aNow);
  void FillQuotaGrants(const wire::SyncRequest& aRequest,
                       wire::SyncReply& aReply,
                       core::MonotonicTime aNow);
  /// Grants what the host wants of servers with a rate limit; false if nothing
  /// is granted.
  bool GrantRequests(const wire::SyncRequest& aRequest,
                     wire::SyncReply& aReply,
                     core::MonotonicTime aNow);
  void TakeSuspects(const wire::SyncRequest& aRequest,
                    core::MonotonicTime aNow);
  void TakePromptParts(const wire::SyncRequest& aRequest,
                       core::MonotonicTime aNow);
  void TakeTenantUses(const wire::SyncRequest& aRequest,
                      core::MonotonicTime aNow);
  /// Adds the tenants of the report that use their fair share or more.
  void FillTenantShares(const wire::SyncRequest& aRequest,
                        wire::SyncReply& aReply,
                        core::MonotonicTime aNow);
  void Fill(const wire::SyncRequest& aRequest,
            wire::SyncReply& aReply,
            core::MonotonicTime aNow);
  /// Adds the rows of servers that the host has not seen.
  /// Takes what waits at the host.
  void TakeLines(const wire::SyncRequest& aRequest, core::MonotonicTime aNow);
  void FillLines(const core::HostId& aHost,
                 wire::SyncReply& aReply,
                 core::MonotonicTime aNow) const;
  void FillRows(const core::HostId& aHost,
                std::uint64_t aSeen,
                wire::SyncReply& aReply);
  /// Adds the rows of all servers, encoded once for all hosts; returns the
  /// version of the table that they are of.
  std::uint64_t FillTable(wire::SyncReply& aReply, core::MonotonicTime aNow);
  /// Adds the newest routes, if the host has older ones.
  void FillRoutes(const wire::SyncRequest& aRequest, wire::SyncReply& aReply);
  /// Holds a host's call until there is something to tell it, for aWait at
  /// most.
  void AwaitChange(const wire::SyncRequest& aRequest,
                   std::chrono::milliseconds aWait,
                   std::unique_lock<std::mutex>& aLock);
  bool MustAnswer(const WaitingHost& aHost) const;
  /// Ends the wait of the calls for which there is news.
  void NotifyHosts();

  /// Beyond the lease of the holder before, for the clocks' differences.
  static constexpr std::chrono::milliseconds kLeaseMargin{ 200 };

  transport::asio::io_context& loop_;
  GroupHost& group_;
  BackendPort& port_;
  const core::Clock& clock_;
  const ReadServices readServices_;
  const FleetControllerSettings settings_;
  core::Counter& reports_;
  core::Counter& tablesEncoded_;
  core::Counter& ordersDone_;
  core::Counter& ordersGivenUp_;
  core::Counter& ordersConflicted_;

  /// Lock order 1: the group's locks are taken under it. Guards all below.
  mutable std::mutex mutex_;
  /// Entries belong to the threads that wait.
  std::set<WaitingHost*> waitingHosts_;
  core::Term term_;
  core::MonotonicTime ordersFrom_;
  /// While set, orders of earlier leaders may still be carried out. An engine
  /// that started later than the second time may have got them in its run
  /// before.
  struct EarlierOrders
  {
    core::MonotonicTime until_;
    core::WallTime since_;
  };
  std::optional<EarlierOrders> earlierOrders_;
  core::MonotonicTime summaryAt_;
  bool fenced_ = false;
  /// Whether the list of servers, which may be empty, was read in this term.
  bool listed_ = false;
  std::uint64_t routesVersion_ = 0;
  core::MonotonicTime routesReadAt_;
  /// Hosts that have the newest routes, until all have them.
  std::set<core::HostId> routesTaken_;
  bool routesTakenByAll_ = false;
  coordination::FleetTable table_;
  /// Requests that wait, by model.
  admission::FleetLines lines_;
  coordination::RateGrants rateGrants_;
  /// When a request of the tenant was last refused for its quota.
  std::map<admission::TenantName, core::MonotonicTime> quotaUsedUp_;
  admission::QuotaLedger quotas_{ admission::QuotaBound{} };
  admission::FairShares fairShares_;
  coordination::ModelPlacement placement_;
  /// Kept over terms.
  coordination::UnansweredOrders unanswered_;
  /// Used where servers don't check fencing numbers.
  placement::RecordedOrders recorded_;
  /// Whether the replicated state knows that it has all orders.
  bool completeTold_ = false;
  core::MonotonicTime endsToldAt_;
  /// Requests after which servers broke the connections of several hosts.
  coordination::CrashGuard guard_{ coordination::CrashGuardSettings{} };
  coordination::PromptGuard promptGuard_{ coordination::PromptGuardSettings{} };
  std::map<coordination::ServiceName, coordination::EngineLimits> limits_;
  std::map<core::ServerId, Engine> engines_;
  /// The routes as they are sent to hosts, compressed once a version.
  struct CompressedRoutes
  {
    std::int64_t version_ = 0;
    std::size_t textBytes_ = 0;
    std::string bytes_;
  };
  CompressedRoutes compressedRoutes_;
  /// The rows of all servers as they are sent to hosts that have none.
  struct SharedTable
  {
    core::Term term_;
    core::MonotonicTime madeAt_;
    std::uint64_t version_ = 0;
    protocol::EncodedTable table_;
  };
  SharedTable sharedTable_;
  /// Urgent version of the table with each host's last answer.
  std::map<core::HostId, std::uint64_t> urgentSent_;
};

} // namespace crocusslip::control
