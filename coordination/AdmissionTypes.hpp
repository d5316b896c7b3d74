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

/// Number of a request, unique within one entry process.
using Ticket = core::StrongNumber<struct TicketTag, std::uint64_t>;

/// A rate of 0 means no limit.
struct RateLimit
{
  double perSecond_ = 0.0;
  double burst_ = 0.0;
};

/// Weight and limits of one caller at a deployment.
struct CallerPolicy
{
  /// Share of the starts relative to other waiting callers; a caller that pays
  /// more has a greater weight.
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
  /// One level of priority moves the deadline forward by this for ordering, so
  /// that requests of higher priority overtake only for a bounded time.
  core::Duration priorityStep_ = std::chrono::seconds(1);
  /// A request that has waited for this long counts as aged.
  core::Duration agingAfter_ = std::chrono::milliseconds(500);
  /// One in this many starts goes to the request that has waited longest, if
  /// it is aged, whatever the weight of its caller.
  std::uint32_t agedStartEvery_ = 8;
  /// Service time assumed before the first answer.
  core::Duration initialServiceTime_ = std::chrono::milliseconds(100);
  /// Weight of a new sample in the moving averages of the service time and its
  /// deviation.
  double serviceTimeWeight_ = 0.1;
  /// Multiple of the mean deviation that is added to the mean service time in
  /// deadline checks while there are more requests than slots. Service times
  /// vary between replicas on servers of different speeds; with a factor of 2,
  /// up to 7% of the started requests of an overload replay were late.
  double deviationMargin_ = 3.0;
  /// Interval at which the deadlines of waiting requests are checked again, so
  /// that a slower service leads to refusals before the deadlines pass.
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
  /// Expected work relative to an average request of the deployment.
  double work_ = 1.0;
};

/// Replica slots that this entry host may use for the deployment.
struct Capacity
{
  std::uint32_t slots_ = 0;
  /// When the first replica is expected to be loaded, while there are no
  /// slots; max when unknown.
  core::MonotonicTime readyAt_ = core::MonotonicTime::max();
  /// Expected slots of the first replica.
  std::uint32_t slotsWhenReady_ = 1;
  /// Slots after slow start, for the estimate of waiting times; ignored unless
  /// above slots_. Slow start ends after the first bytes of a few answers, so
  /// an estimate from its limit would refuse requests that can finish in time.
  std::uint32_t slotsWhenWarm_ = 0;
};

/// State of the queue that led to a refusal, for display to operators.
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
  /// The limit that was reached; 0 when no limit was the reason.
  double limit_ = 0.0;
};

/// Refusal of a request that was never forwarded.
struct AdmissionRefusal
{
  Ticket ticket_;
  core::RefusalReason reason_ = core::RefusalReason::Internal;
  core::Ran ran_ = core::Ran::NotRun;
  /// Delay after which a retry is expected to be accepted.
  core::Duration retryAfter_{};
  AdmissionFigures figures_;

  /// Reason and figures in one line.
  std::string Text() const;
};

struct OfferResult
{
  /// Empty when the request was accepted into the queue.
  std::optional<AdmissionRefusal> refused_;
  /// Requests of the callers with the most waiting work relative to their
  /// weight that were removed from a full queue to make room.
  std::vector<AdmissionRefusal> displaced_;
};

struct AdmissionExpiry
{
  std::vector<AdmissionRefusal> refused_;
  /// When to call Expire again; max when no request is waiting.
  core::MonotonicTime nextCall_ = core::MonotonicTime::max();
};

enum class ServiceResult : std::uint8_t
{
  /// Completed; the duration is a sample of the service time.
  Answered,
  /// Failed or cancelled; its duration is not a sample.
  Failed,
};

} // namespace crocusslip::coordination
