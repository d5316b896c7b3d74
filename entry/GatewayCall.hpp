#pragma once

#include "core/Hash.hpp"
#include "entry/Gateway.hpp"
#include "protocol/EventStream.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace crocusslip::entry {

/// One request of a caller, from its arrival to its answer, including all
/// attempts at backend servers.
class GatewayCall : public std::enable_shared_from_this<GatewayCall>
{
public:
  GatewayCall(Gateway& aGateway,
              std::shared_ptr<transport::CallerLink> aLink,
              transport::HttpRequest aRequest,
              std::shared_ptr<MemoryAccount> aMemory);
  ~GatewayCall();
  GatewayCall(const GatewayCall&) = delete;
  GatewayCall& operator=(const GatewayCall&) = delete;

  /// Returns whether the caller's connection stays open: it has been told of a
  /// close otherwise, or is broken.
  transport::Task<bool> Run();
  /// Called by the gateway when a server slot was assigned.
  void OnSlotAssigned(const coordination::BackendChoice& aChoice);
  /// Whether the call may keep waiting for a server slot.
  bool CanStillGetSlot() const { return SlotDeadline().has_value(); }
  /// Called when the deadline for a server slot may have changed.
  void RecheckDeadline() { timer_.cancel(); }
  /// Called by the gateway when the call no longer waits for credit.
  void OnQuotaVerdict(admission::QuotaGate::Verdict aVerdict);
  /// Answers the caller at once, unless a stream has begun: the process ends.
  void GiveUp();

private:
  /// Time that must remain after a server slot is assigned: the minimum in
  /// which a stream can start and a plain request can run.
  static constexpr std::chrono::milliseconds kStreamReserve{ 400 };
  static constexpr std::chrono::milliseconds kPlainReserve{ 20 };
  /// Time reserved for returning the answer to the caller.
  static constexpr std::chrono::milliseconds kAnswerReturnTime{ 10 };
  /// Retry-After when nothing better is known.
  static constexpr std::chrono::milliseconds kDefaultRetryAfter{ 500 };

  enum class AttemptResult : std::uint8_t
  {
    /// The answer has been written, or the caller has disconnected.
    Done,
    /// The server did not run the request.
    RetryNotRun,
    /// The request may have run, at least in part; only repeatable requests may
    /// be sent again.
    RetryMaybeRun,
    /// The request did not reach the server.
    RetryUnsent,
  };

  /// How long the caller waits, by its header.
  std::optional<std::chrono::milliseconds> CallerPatience() const;
  /// Reads the call headers, chooses the service and computes the fingerprint.
  /// Returns false if the service or the model is unknown.
  bool ResolveRequest();
  /// Finds the tenant of the request's key. Returns false if the request needs
  /// a key and has none that a tenant has.
  bool Authenticate();
  /// The request's key; empty without one.
  std::string_view Key() const;
  /// Whether the newest table no longer has the request's key. A stream that
  /// has begun keeps its key.
  bool KeyWithdrawn() const;
  /// Takes the tenant to which the newest table has moved the key, if it has.
  void UpdateTenant();
  /// Counts the request as in flight for its tenant, or no longer.
  void CountTenantRun(bool aBegins);
  /// Whether servers identify callers by this header.
  bool IdentifiesCaller(std::string_view aHeader) const;
  transport::Task<void> AwaitRoutes();
  /// Takes the request's units out of its tenant's quota. False if there are
  /// none.
  transport::Task<bool> AwaitQuota();
  /// The request is sent to a server, once more if it was before.
  void ChargeQuota();
  /// It did not run there.
  void ReturnQuota();
  /// Gives back the units of a request that was admitted and not sent.
  void ReleaseQuota();
  transport::Task<void> Forward();
  transport::Task<bool> AwaitSlot();
  /// Whether the request is held back for a part of its prompt.
  bool HeldBack() const { return gateway_.HoldsBack(parts_); }
  /// Latest useful time for a server slot; nullopt when waiting longer is
  /// pointless.
  std::optional<core::MonotonicTime> SlotDeadline() const;
  /// Whether the request can begin within aBearable, by the line ahead of it at
  /// all hosts.
  admission::BeginVerdict JudgeBegin(core::Duration aBearable) const;
  void LogVerdict(const admission::BeginVerdict& aVerdict) const;
  /// Latest useful time for a server slot, whatever the line.
  core::MonotonicTime LatestSlotTime() const;
  transport::Task<AttemptResult> Attempt();
  transport::Task<AttemptResult> Exchange(transport::ServerLink& aServer);
  transport::Task<AttemptResult> OnAnswer(transport::ServerLink& aServer,
                                          transport::AnswerHead& aHead);
  transport::Task<AttemptResult> RelayWholeAnswer(
    transport::ServerLink& aServer,
    transport::AnswerHead& aHead);
  /// Reads the head of the answer to this request; skips those to others.
  transport::Task<bool> ReadOwnHead(transport::ServerLink& aServer,
                                    transport::AnswerHead& aHead,
                                    core::Duration aLimit);
  /// Reads a whole body, within the limits of one answer and of all that the
  /// process holds.
  transport::Task<bool> ReadWholeBody(transport::ServerLink& aServer,
                                      std::string& aBody);
  /// Makes room in a body for aMore bytes. False when there is none in time.
  transport::Task<bool> GrowAnswer(std::string& aBody, std::size_t aMore);
  transport::Task<AttemptResult> RelayStream(
    transport::ServerLink& aServer,
    const transport::AnswerHead& aHead);
  transport::Task<bool> WriteStreamHead(const transport::AnswerHead& aHead);
  /// A pooled or a new connection to the chosen server; null on failure.
  transport::Task<std::unique_ptr<transport::ServerLink>> OpenConnection();
  /// Refers to the body of request_.
  transport::ForwardedRequest MakeServerRequest() const;
  /// Whether the current attempt is the last that the route allows.
  bool IsLastAttempt() const;
  /// How long a server may take to begin its answer before the request is
  /// better off elsewhere.
  core::Duration AnswerPatience() const;
  /// Waits for data of the server. False when it was silent for aPatience and
  /// the request can go on elsewhere.
  transport::Task<bool> AwaitServer(transport::ServerLink& aServer,
                                    core::Duration aPatience);
  /// Whether the request can be sent to another server at once; after a long
  /// silence of the current one also to the same server, since a connection
  /// may be broken without a sign.
  bool CanGoOnElsewhere(core::Duration aSilence);
  core::Duration TimeLeft() const;
  bool MayRetry(AttemptResult aResult);
  void Finish(coordination::SendOutcome aOutcome);
  void RecordBrokenConnection();
  void RecordEventTimes();
  transport::Task<void> Refuse(GatewayRefusal aReason,
                               unsigned aStatus,
                               std::optional<core::Duration> aRetryAfter);
  transport::Task<void> RefuseWithoutSlot();
  /// Decides at the head of an answer whether the caller's connection stays
  /// open after it, and returns that.
  bool DecideKeepAlive();
  void WatchCaller();
  void OnCallerGone();
  void AbortAttempt();
  void LogOutcome(std::string_view aOutcome) const;

  Gateway& gateway_;
  const std::shared_ptr<transport::CallerLink> link_;
  transport::HttpRequest request_;
  /// What request_ takes up.
  const std::shared_ptr<MemoryAccount> requestMemory_;
  /// The call uses one version of the table throughout, even when a newer one
  /// is published in the meantime.
  std::shared_ptr<const coordination::RouteTable> routes_;
  const coordination::Route* route_ = nullptr;
  /// Null without tenants, and on anonymous routes.
  const admission::Tenant* tenant_ = nullptr;
  /// The table that tenant_ is of, if it is newer than routes_.
  std::shared_ptr<const coordination::RouteTable> tenantRoutes_;
  /// Whether the request's units are taken out of its tenant's quota, and
  /// whether they count as spent.
  enum class QuotaState : std::uint8_t
  {
    None,
    Reserved,
    Spent,
  };
  QuotaState quotaState_ = QuotaState::None;
  double quotaCost_ = 0;
  std::optional<admission::QuotaGate::Verdict> quotaVerdict_;
  /// 0 is the most urgent.
  std::uint32_t rank_ = 0;
  coordination::BackendRequirements requirements_;
  std::string id_;
  core::Digest fingerprint_;
  /// Shared parts of the prompt.
  std::vector<coordination::PromptPart> parts_;
  core::MonotonicTime arrivedAt_;
  core::MonotonicTime deadline_;

  transport::asio::steady_timer timer_;
  transport::ServerLink* activeLink_ = nullptr;
  /// The current attempt's connection has carried other requests before.
  bool connectionUsedBefore_ = false;
  /// What answers of servers take up, and the part of the current one.
  std::unique_ptr<MemoryAccount> answerMemory_;
  std::size_t answerReserved_ = 0;
  std::optional<coordination::DispatchQueue::Id> queueId_;
  coordination::BackendChoice choice_;
  /// A server slot is assigned to the current attempt.
  bool hasSlot_ = false;
  bool callerGone_ = false;
  /// The process ends before the server does.
  bool givenUp_ = false;
  /// Forward() has returned, whatever the outcome.
  bool finished_ = false;
  bool keepAlive_ = true;
  /// Attempts that had a connection to a server.
  std::uint32_t sends_ = 0;
  /// Attempts that may have run the request.
  std::uint32_t runs_ = 0;
  /// Attempts that a server answered without running the request.
  std::uint32_t notRunAnswers_ = 0;
  /// Attempts that did not reach a server.
  std::uint32_t unsentAttempts_ = 0;
  core::MonotonicTime sentAt_;
  /// The current attempt has not delivered its first event yet.
  bool awaitingFirstEvent_ = false;
  /// A server has sent an event of the answer, in this attempt or before.
  bool begun_ = false;
  /// A server's answer was received whole and is passed on to the caller.
  bool completed_ = false;
  core::Duration queueTime_{ 0 };
  core::Duration timeToFirstEvent_{ 0 };
  /// Longest time between two events; the limit is
  /// requirements_.longestPause_.
  core::Duration longestObservedPause_{ 0 };
  core::MonotonicTime lastEventAt_;
  /// Load of the server when its slot was assigned; logged.
  std::uint32_t loadAtAssignment_ = 0;

  /// Whether the head of a stream has been written to the caller.
  bool streaming_ = false;
  /// Id of the last event passed on to the caller.
  std::optional<std::uint64_t> lastEvent_;
  /// Answer of a failed attempt; sent when no other attempt succeeds.
  std::optional<transport::WholeAnswer> failedAnswer_;
};

} // namespace crocusslip::entry
