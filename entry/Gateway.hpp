#pragma once

#include "admission/QuotaGate.hpp"
#include "coordination/BackendView.hpp"
#include "coordination/CrashGuard.hpp"
#include "coordination/DispatchQueue.hpp"
#include "coordination/PromptGuard.hpp"
#include "coordination/RouteTable.hpp"
#include "coordination/SharedRetryBudget.hpp"
#include "core/Clock.hpp"
#include "core/Metrics.hpp"
#include "core/Random.hpp"
#include "entry/FleetLink.hpp"
#include "entry/GatewaySettings.hpp"
#include "entry/ServerPool.hpp"
#include "entry/TenantCounters.hpp"
#include "transport/HttpLink.hpp"

#include <cstdint>
#include <deque>
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
  /// No routing table has been received yet.
  NoRoutes,
  /// No route matches the request.
  NoRoute,
  /// No server of the service is available.
  NoServer,
  /// The service or the model is unknown, or no server has the model loaded.
  NoModel,
  /// All suitable servers are full.
  Full,
  /// The deadline passed after an attempt that may have run the request.
  Deadline,
  /// The request is held because servers were lost while they ran it, or others
  /// with a part of its prompt.
  Quarantined,
  /// The last attempt did not run the request, and no further one is allowed.
  NotRunElsewhere,
  /// The last attempt failed and may have run the request.
  Broken,
  /// The request could not be read: malformed, too large or too slow.
  Malformed,
  /// No server slot could be assigned while this host was draining.
  Draining,
  /// The request has no key, or one that no tenant has.
  UnknownKey,
  /// The tenant's quota is used up.
  OverQuota,
};
inline constexpr std::size_t kGatewayRefusals = 13;
const char*
NameOf(GatewayRefusal aReason);

/// Forwards callers' requests to backend servers on one event loop. The routing
/// table and the state of the servers come from the control group; a host that
/// is cut off from the group continues with the last state it received.
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
  /// Reports not ready immediately, later refuses new connections, and stops
  /// the event loop once all requests are answered or the grace period is
  /// nearly over.
  void Drain();
  /// Applies the settings that may change at run time; the others are ignored.
  void Reload(const GatewaySettings& aSettings);

  bool Ready() const;

private:
  friend class GatewayCall;

  struct Counters;
  using LinkPtr = std::shared_ptr<transport::CallerLink>;

  transport::Task<void> ServeCaller(LinkPtr aLink);
  transport::Task<void> ServeReadiness(LinkPtr aLink);
  transport::Task<bool> RejectUnreadable(transport::CallerLink& aLink,
                                         transport::ReadResult aResult);
  transport::Task<void> Housekeeping();
  transport::Task<void> StopAfterGrace();
  void CloseIdleConnections();
  /// Whether a request is expected or being read, or its answer is not written
  /// yet.
  bool HasUnfinishedCalls() const;
  transport::LinkLimits Limits() const;

  wire::SyncRequest BuildSyncRequest();
  void ApplySyncReply(const wire::SyncReply& aReply);
  void ApplyRoutes(const wire::SyncReply& aReply);
  void ReportQuotas(wire::SyncRequest& aRequest);
  void ApplyQuotas(const wire::SyncReply& aReply);
  /// Tells the leader at once if the gate asks for it.
  void SyncQuotas();
  void ApplyServerRows(const wire::SyncReply& aReply);
  void ApplyServerRow(const wire::ServerRow& aRow);
  void ApplySuspects(const wire::SyncReply& aReply);
  /// Records that a server's connection broke while it ran the request. aParts
  /// are the shared parts of its prompt if no event had come yet.
  void RecordBrokenConnection(
    const core::Digest& aFingerprint,
    const core::ServerId& aServer,
    const std::vector<coordination::PromptPart>& aParts);
  /// Records the first event of a request with a prompt.
  void RecordStarted(const std::vector<coordination::PromptPart>& aParts);
  /// Takes over what the head of a server's answer says about the server.
  void OnAnswerHead(const core::ServerId& aServer,
                    const transport::AnswerHead& aHead);
  /// Records that the request ran to its end.
  void RecordCompleted(const core::Digest& aFingerprint);
  /// Reports to a new leader what this host knows of crashes.
  void ReportCrashesAgain();
  /// Whether requests with one of these parts are not forwarded.
  bool HoldsBack(const std::vector<coordination::PromptPart>& aParts) const;
  /// Time at which the model is expected to be loaded at a server; nullopt when
  /// no server is loading it.
  std::optional<core::MonotonicTime> ExpectedReadyTime(
    const core::ModelName& aModel) const;

  /// Whether the server of a waiting call lacks a grant.
  bool LacksGrants() const { return queue_.LacksGrants(); }
  /// Assigns free server slots to waiting calls.
  void AssignSlots();
  coordination::SharedRetryBudget& RetryBudgetFor(
    const coordination::ServiceName& aService);
  /// Maximum number of idle connections that this host keeps to one server of
  /// the service.
  std::size_t MaxIdleConnections(
    const coordination::ServiceName& aService) const;
  void CountRefusal(GatewayRefusal aReason);

  transport::asio::io_context& loop_;
  GatewaySettings settings_;
  const core::Clock& clock_;
  core::Random random_;
  /// Random id of this process, sent with each report.
  const std::int64_t instance_;
  core::MetricsRegistry metrics_;
  std::unique_ptr<Counters> counters_;

  std::shared_ptr<const coordination::RouteTable> routes_;
  coordination::BackendView view_;
  std::map<coordination::ServiceName, coordination::SharedRetryBudget> budgets_;
  /// Number of entry hosts, which share the retry budget and the connection
  /// limits of the servers; 0: not known yet.
  std::uint32_t hosts_ = 0;
  ServerPool pool_;
  coordination::DispatchQueue queue_;
  /// Calls that wait for a server slot.
  std::map<coordination::DispatchQueue::Id, GatewayCall*> waiting_;
  TenantCounters tenantCounters_{ metrics_ };
  admission::QuotaGate quotas_;
  /// Calls that wait for credit of their tenants.
  std::map<admission::QuotaGate::Id, GatewayCall*> awaitingQuota_;
  admission::QuotaGate::Id lastQuotaId_ = 0;
  /// Expected ready times of the models that are being loaded.
  std::map<core::ModelName, core::MonotonicTime> expectedReady_;

  struct ModelUse
  {
    std::uint32_t inFlight_ = 0;
    std::uint32_t arrivals_ = 0;
  };
  std::map<core::ModelName, ModelUse> models_;
  /// Models of the requests in flight, by server; one entry per request.
  std::map<core::ServerId, std::multiset<core::ModelName>> runningModels_;
  /// Tracks requests during which servers broke their connections.
  coordination::CrashGuard crashGuard_;
  /// To be reported, and reported without a reply so far.
  std::vector<coordination::PromptCrash> crashReports_;
  std::vector<coordination::PromptCrash> sentCrashReports_;
  /// Crashes with parts of prompts, for a new leader; the oldest first.
  std::deque<coordination::PromptCrash> promptCrashes_;
  /// Parts of prompts with a first event since the last report, with the time
  /// of the last one, and the number of their requests.
  std::map<coordination::PromptPart, core::MonotonicTime> startedParts_;
  std::uint32_t starts_ = 0;
  std::set<coordination::PromptPart> heldParts_;
  /// Reports name heldParts_ until the leader, which is new, has replied.
  bool reportHeldParts_ = false;
  /// Leader of which the suspects and heldParts_ are; 0: none.
  std::int64_t crashEpoch_ = 0;
  std::vector<wire::Fingerprint> completedReports_;

  /// Epoch of the leader that sent the server rows (it changes with the leader)
  /// and number of the newest change received from it; 0: none.
  std::int64_t epoch_ = 0;
  std::int64_t seenChange_ = 0;
  /// Whether a leader has sent its list of servers, which may be empty.
  bool serversKnown_ = false;

  std::set<LinkPtr> callerLinks_;
  /// Calls from their request's last byte to the end of their answer.
  std::set<GatewayCall*> calls_;
  /// Answers of servers that calls hold in memory, in bytes.
  std::size_t heldAnswerBytes_ = 0;
  bool draining_ = false;
  /// While draining: time at which requests still waiting for a server slot are
  /// refused.
  core::MonotonicTime drainSlotDeadline_;
  /// While draining: time at which the process stops, finished or not.
  core::MonotonicTime stopTime_;
  std::unique_ptr<transport::LinkListener> callerListener_;
  std::unique_ptr<transport::LinkListener> readinessListener_;
  FleetLink fleet_;
};

} // namespace crocusslip::entry
