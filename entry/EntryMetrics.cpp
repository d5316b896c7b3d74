#include "entry/EntryMetrics.hpp"

#include <string>

namespace crocusslip::entry {

namespace {

constexpr std::array<std::string_view, 5> kStreamResults = {
  "same_engine", "import", "refused", "mismatch", "ended",
};
static_assert(kStreamResults.size() ==
              static_cast<std::size_t>(StreamResult::Count));

} // namespace

EntryMetrics::EntryMetrics(core::MetricsRegistry& aRegistry)
  : requests_(aRegistry.AddCounter("crocusslip_requests_total",
                                   "",
                                   "Requests received."))
  , answered_(aRegistry.AddCounter("crocusslip_answers_total",
                                   "",
                                   "Requests answered by a backend server."))
  , cancelled_(aRegistry.AddCounter("crocusslip_cancelled_total",
                                    "",
                                    "Requests whose caller disconnected."))
  , lateAnswers_(
      aRegistry.AddCounter("crocusslip_late_answers_total",
                           "",
                           "Answers of abandoned attempts that were dropped."))
  , ranUnknown_(aRegistry.AddCounter("crocusslip_refusals_ran_unknown_total",
                                     "",
                                     "Refusals of requests that may have run."))
  , waitTime_(aRegistry.AddHistogram("crocusslip_wait_seconds",
                                     "",
                                     "Time from arrival to the first attempt."))
  , coldStart_(aRegistry.AddHistogram(
      "crocusslip_cold_start_seconds",
      "",
      "Time to the first byte of requests that found no loaded replica."))
  , firstByteTime_(
      aRegistry.AddHistogram("crocusslip_first_byte_seconds",
                             "",
                             "Time from arrival to the first byte."))
{
  for (std::size_t i = 0; i < core::kRefusalReasons; ++i) {
    const auto reason = static_cast<core::RefusalReason>(i);
    refusals_.at(i) =
      &aRegistry.AddCounter("crocusslip_refusals_total",
                            "reason=\"" + std::string(Name(reason)) + "\"",
                            "Refused requests by reason.");
  }
  for (std::size_t i = 0; i < core::kRetryReasons; ++i) {
    const auto reason = static_cast<core::RetryReason>(i);
    retries_.at(i) =
      &aRegistry.AddCounter("crocusslip_retries_total",
                            "reason=\"" + std::string(Name(reason)) + "\"",
                            "Further attempts by reason.");
  }
  for (std::size_t i = 0; i < kStreamResults.size(); ++i) {
    streams_.at(i) = &aRegistry.AddCounter(
      "crocusslip_broken_streams_total",
      "result=\"" + std::string(kStreamResults.at(i)) + "\"",
      "Results of continuing streams that broke before their closing event.");
  }
}

void
EntryMetrics::CountRefusal(core::RefusalReason aReason, core::Ran aRan)
{
  refusals_.at(static_cast<std::size_t>(aReason))->Add();
  if (aRan == core::Ran::Unknown) {
    ranUnknown_.Add();
  }
}

void
EntryMetrics::CountRetry(core::RetryReason aReason)
{
  retries_.at(static_cast<std::size_t>(aReason))->Add();
}

void
EntryMetrics::CountStream(StreamResult aResult)
{
  streams_.at(static_cast<std::size_t>(aResult))->Add();
}

} // namespace crocusslip::entry
