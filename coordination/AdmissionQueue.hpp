#pragma once

#include "coordination/AdmissionTypes.hpp"
#include "coordination/TokenBucket.hpp"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace crocusslip::coordination {

/// Queue of the waiting requests of one deployment, with weighted fair queueing
/// between callers. A caller's requests are ordered by deadline, moved forward
/// by priority. Each start advances its caller's virtual time by the request's
/// work divided by the caller's weight, and the caller with the least virtual
/// time is served next. A request that is not expected to finish before its
/// deadline is refused on arrival.
class AdmissionQueue
{
public:
  explicit AdmissionQueue(std::shared_ptr<const AdmissionSettings> aSettings);

  /// Accepts the request or refuses it at once.
  OfferResult Offer(const WaitingRequest& aRequest, core::MonotonicTime aNow);
  /// Takes the request to forward now and counts it as in flight. Empty when
  /// no request may start. Never returns a request whose deadline can't be met.
  std::optional<Ticket> Next(core::MonotonicTime aNow);
  /// Removes and refuses the requests that can't meet their deadline.
  AdmissionExpiry Expire(core::MonotonicTime aNow);
  /// Removes a waiting request whose caller disconnected. False when no such
  /// request is waiting.
  bool Remove(Ticket aTicket);
  /// Refuses all waiting requests, e.g. after a failed load.
  std::vector<AdmissionRefusal> RefuseAll(core::RefusalReason aReason,
                                          core::MonotonicTime aNow);
  /// A request that Next returned is done, including its retries.
  void OnFinish(Ticket aTicket,
                ServiceResult aResult,
                core::MonotonicTime aNow);

  void SetCapacity(const Capacity& aCapacity);
  void SetSettings(std::shared_ptr<const AdmissionSettings> aSettings,
                   core::MonotonicTime aNow);

  std::uint32_t Waiting() const;
  std::uint32_t InFlight() const;
  core::Duration ServiceTime() const;
  /// Earliest deadline of the waiting requests; max when none waits.
  core::MonotonicTime EarliestDeadline() const;
  /// Whether the queue holds no requests and no rate limit state, so that it
  /// can be destroyed.
  bool Idle(core::MonotonicTime aNow);
  /// Estimated size of the object and its heap memory.
  std::size_t MemoryBytes() const;

private:
  struct Entry
  {
    WaitingRequest request_;
    core::MonotonicTime arrived_;
    /// Deadline moved forward by priority.
    core::MonotonicTime effectiveDeadline_;
  };
  /// Sort key: a time, with ties broken in order of arrival by the ticket.
  struct Position
  {
    core::MonotonicTime time_;
    Ticket ticket_;
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const Position&, const Position&) = default;
  };
  using Order = std::set<Position>;
  struct Caller
  {
    CallerPolicy policy_;
    TokenBucket bucket_;
    /// Work started for the caller, divided by its weight (fair queueing).
    double virtualTime_ = 0.0;
    double waitingWork_ = 0.0;
    std::uint32_t inFlight_ = 0;
    /// By effective deadline.
    Order waiting_;
  };
  struct Started
  {
    core::CallerId caller_;
    core::MonotonicTime at_;
    double work_ = 1.0;
  };
  struct CallerCursor;

  Caller& CallerOf(const core::CallerId& aId, core::MonotonicTime aNow);
  const CallerPolicy& PolicyOf(const core::CallerId& aId) const;
  std::optional<AdmissionRefusal> CheckLimitsAndDeadline(
    const WaitingRequest& aRequest,
    Caller& aCaller,
    core::MonotonicTime aNow);
  std::optional<AdmissionRefusal> CheckDeadline(const WaitingRequest& aRequest,
                                                const Caller& aCaller,
                                                core::MonotonicTime aNow) const;
  std::optional<AdmissionRefusal> CheckRates(const WaitingRequest& aRequest,
                                             Caller& aCaller,
                                             core::MonotonicTime aNow);
  bool Full(const WaitingRequest& aRequest) const;
  /// Makes room by refusing the last request of the caller with the most
  /// waiting work relative to its weight; false when that is the new request's
  /// own caller.
  bool Displace(const WaitingRequest& aRequest,
                std::vector<AdmissionRefusal>& aDisplaced,
                core::MonotonicTime aNow);
  AdmissionRefusal Refusal(const WaitingRequest& aRequest,
                           core::RefusalReason aReason,
                           core::MonotonicTime aNow) const;
  void AddWaiting(const WaitingRequest& aRequest, core::MonotonicTime aNow);

  core::MonotonicTime EffectiveDeadline(const WaitingRequest& aRequest) const;
  double WorkAhead(const WaitingRequest& aRequest, const Caller& aCaller) const;
  core::Duration MeanService(double aWork) const;
  /// Time that must remain before the deadline when a request starts: the mean
  /// service time, plus a margin while there are more requests than slots. In
  /// that case a late answer wastes a slot that another request could have
  /// used. aArriving counts requests that are not in the queue yet.
  core::Duration RequiredServiceTime(double aWork,
                                     std::uint32_t aArriving) const;
  core::MonotonicTime ExpectedStart(double aWorkAhead,
                                    core::MonotonicTime aNow) const;
  std::uint32_t Slots() const;
  std::uint32_t ExpectedSlots() const;
  /// Whether the request can still meet its deadline. With nothing in flight
  /// any request whose deadline has not passed may start whatever the estimate
  /// says, so that a wrong estimate gets corrected.
  bool Startable(const WaitingRequest& aRequest,
                 core::MonotonicTime aNow) const;
  std::optional<Ticket> FirstStartable(const Caller& aCaller,
                                       core::MonotonicTime aNow) const;
  std::optional<Ticket> PickAged(core::MonotonicTime aNow) const;
  std::optional<Ticket> PickFair(core::MonotonicTime aNow) const;
  void Start(Ticket aTicket, core::MonotonicTime aNow);
  /// Removes the request from the queue and all its indexes.
  WaitingRequest RemoveEntry(Ticket aTicket);

  /// Refuses the requests whose remaining time is below the required service
  /// time.
  void RefuseUnreachable(core::MonotonicTime aNow,
                         std::vector<AdmissionRefusal>& aRefused);
  /// Simulates the order of starts and refuses the requests that are expected
  /// to finish after their deadline.
  void RecheckDeadlines(core::MonotonicTime aNow,
                        std::vector<AdmissionRefusal>& aRefused);
  std::vector<CallerCursor> CallerCursors() const;
  void RemoveIdleCallers(core::MonotonicTime aNow);

  std::shared_ptr<const AdmissionSettings> settings_;
  Capacity capacity_;
  TokenBucket bucket_;
  bool bucketInitialized_ = false;
  std::unordered_map<core::CallerId, Caller> callers_;
  std::unordered_map<Ticket, Entry> entries_;
  Order byArrival_;
  Order byDeadline_;
  std::unordered_map<Ticket, Started> started_;
  core::Bytes waitingBytes_;
  /// Virtual time of the last start.
  double virtualTime_ = 0.0;
  double serviceNanos_ = 0.0;
  double deviationNanos_ = 0.0;
  std::uint32_t startsSinceAged_ = 0;
  core::MonotonicTime lastRecheck_{};
};

} // namespace crocusslip::coordination
