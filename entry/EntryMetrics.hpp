#pragma once

#include "core/Metrics.hpp"
#include "core/Reasons.hpp"

#include <array>

namespace crocusslip::entry {

/// Result of trying to continue a broken stream.
enum class StreamResult : std::uint8_t
{
  /// Continued by the same engine.
  SameEngine,
  /// Continued by another engine from exported KV state.
  Import,
  /// An engine refused to continue or could not be reached.
  Refused,
  /// An engine answered with a different generation or position.
  Mismatch,
  /// The stream was ended with an error event.
  Ended,
  Count,
};

/// Counters and histograms of an entry process.
class EntryMetrics
{
public:
  explicit EntryMetrics(core::MetricsRegistry& aRegistry);

  void CountRefusal(core::RefusalReason aReason, core::Ran aRan);
  void CountRetry(core::RetryReason aReason);
  void CountStream(StreamResult aResult);

  core::Counter& requests_;
  core::Counter& answered_;
  core::Counter& cancelled_;
  core::Counter& lateAnswers_;
  /// Refusals of requests that may have run.
  core::Counter& ranUnknown_;
  core::DurationHistogram& waitTime_;
  core::DurationHistogram& coldStart_;
  core::DurationHistogram& firstByteTime_;

private:
  std::array<core::Counter*, core::kRefusalReasons> refusals_{};
  std::array<core::Counter*, core::kRetryReasons> retries_{};
  std::array<core::Counter*, static_cast<std::size_t>(StreamResult::Count)>
    streams_{};
};

} // namespace crocusslip::entry
