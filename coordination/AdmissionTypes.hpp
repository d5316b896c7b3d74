#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Reasons.hpp"
#include "core/Units.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Settings, requests and refusals of the admission queue.
namespace crocusslip::coordination {

/// Number of a request inside one entry process.
using Ticket = core::StrongNumber<struct TicketTag, std::uint64_t>;

/// A rate of 0 means no limit.
struct RateLimit
{
  double perSecond_ = 0.0;
  double burst_ = 0.0;
};

/// What one caller may use of a deployment.
struct CallerPolicy
{
  /// Share relative to other callers that wait; a caller that pays more has a
  /// greater weight.
  double weight_ = 1.0;
  RateLimit rate_;
  std::uint32_t maxInFlight_ = std::numeric_limits<std::uint32_t>::max();
  std::uint32_t maxWaiting_ = std::numeric_limits<std::uint32_t>::max();
};

struct AdmissionSettings
{
  std::uint32_t maxWaiting_ = 512;
  core::Bytes maxWaitingBytes_{ 64 * core::kMebi };
  std::uint32_t maxInFlight_ = std::numeric_limits<std::uint32_t>::max();
  RateLimit rate_;
  CallerPolicy defaultCaller_;
  std::unordered_map<core::CallerId, CallerPolicy> callers_;
  /// One level of priority counts as much as a deadline earlier by this. A
  /// request of lower priority is therefore overtaken only for a bounded time.
  core::Duration priorityStep_ = std::chrono::seconds(1);
  /// A request that has waited for this long is aged.
  core::Duration agingAfter_ = std::chrono::milliseconds(500);
  /// One in so many starts goes to the request that has waited longest, if it
  /// is aged, whatever the weight of its caller.
  std::uint32_t agedStartEvery_ = 8;
  /// Service time assumed before the first answer.
  core::Duration initialServiceTime_ = std::chrono::milliseconds(100);
  /// Weight of one new service time in the moving average.
  double serviceTimeWeight_ = 0.1;
  /// Mean deviations added to the mean service time when a deadline is judged
  /// and there are more requests than slots. Replicas on servers of different
  /// speeds spread the service times; with 2, up to 7% of the started requests
  /// of an overload replay were late.
  double deviationMargin_ = 3.0;
  /// Interval at which the waiting requests are judged again, so that a
  /// slower service leads to refusals before the deadlines are reached.
  core::Duration recheckInterval_ = std::chrono::milliseconds(20);
};

struct WaitingRequest
{
  Ticket ticket_;
  core::CallerId caller_;
  /// Higher is more urgent.
  std::int32_t priority_ = 0;
  core::MonotonicTime deadline_;
  core::Bytes size_;
  /// Expected work in units of an average request of the deployment.
  double work_ = 1.0;
};

/// Replica slots that this entry host may use for the deployment.
struct Capacity
{
  std::uint32_t slots_ = 0;
  /// While there are no slots: when the first replica is expected to be
  /// loaded; max when unknown.
  core::MonotonicTime readyAt_ = core::MonotonicTime::max();
  /// Slots that the first replica is expected to have.
  std::uint32_t slotsWhenReady_ = 1;
  /// Slots once slow start is over, for the estimate of waiting times; counts
  /// only when it is above slots_. Slow start lasts for a few first bytes, so
  /// an estimate from its limit refuses requests that would finish in time.
  std::uint32_t slotsWhenWarm_ = 0;
};

/// The figures that decided a refusal, for display to operators.
struct AdmissionFigures
{
  core::MonotonicTime now_;
  core::MonotonicTime deadline_;
  core::MonotonicTime expectedFinish_;
  core::Duration serviceTime_{};
  core::Duration serviceDeviation_{};
  std::uint32_t waiting_ = 0;
  /// Work expected to start before the request.
  double workAhead_ = 0.0;
  std::uint32_t slots_ = 0;
  std::uint32_t inFlight_ = 0;
  std::uint32_t callerWaiting_ = 0;
  std::uint32_t callerInFlight_ = 0;
  core::Bytes waitingBytes_;
  /// The limit that was reached, when a limit decided; 0 otherwise.
  double limit_ = 0.0;
};

/// Refusal of a request that was never forwarded.
struct AdmissionRefusal
{
  Ticket ticket_;
  core::RefusalReason reason_ = core::RefusalReason::Internal;
  core::Ran ran_ = core::Ran::NotRun;
  /// When a new try is expected to be accepted.
  core::Duration retryAfter_{};
  AdmissionFigures figures_;

  /// One line with the figures.
  std::string Text() const;
};

struct OfferResult
{
  /// Empty when the request now waits.
  std::optional<AdmissionRefusal> refused_;
  /// Requests of callers above their share that made room in a full queue.
  std::vector<AdmissionRefusal> displaced_;
};

struct AdmissionExpiry
{
  std::vector<AdmissionRefusal> refused_;
  /// When to call again; max when nothing waits.
  core::MonotonicTime nextCall_ = core::MonotonicTime::max();
};

enum class ServiceResult : std::uint8_t
{
  /// Teaches the service time.
  Answered,
  /// Failed or cancelled; the time taken says nothing.
  Failed,
};

} // namespace crocusslip::coordination
