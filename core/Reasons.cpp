#include "core/Reasons.hpp"

#include <array>

namespace crocusslip::core {

namespace {

constexpr std::array<std::string_view, kRefusalReasons> kRefusalNames = {
  "unknown_deployment",
  "unknown_route",
  "method_not_allowed",
  "malformed",
  "length_required",
  "body_too_large",
  "body_timeout",
  "unauthorized",
  "forbidden",
  "caller_limit",
  "deployment_limit",
  "queue_full",
  "deadline_unreachable",
  "deadline_passed",
  "load_failed",
  "no_replica",
  "settings_lease_expired",
  "draining",
  "quarantined",
  "retry_budget_exhausted",
  "backend_connect_failed",
  "backend_failed",
  "backend_timeout",
  "stream_broken",
  "key_in_progress",
  "key_reused",
  "key_expired",
  "key_outcome_unknown",
  "claim_table_full",
  "claim_unavailable",
  "control_disk_full",
  "overloaded",
  "internal",
};

constexpr std::array<std::string_view, kRetryReasons> kRetryNames = {
  "connect_failed",
  "connection_lost_before_body",
  "backend_overloaded",
  "backend_leaving",
  "backend_failed",
  "stream_resumed",
  "hedge",
};

} // namespace

std::string_view
Name(RefusalReason aReason)
{
  return kRefusalNames.at(static_cast<std::size_t>(aReason));
}

std::string_view
Name(RetryReason aReason)
{
  return kRetryNames.at(static_cast<std::size_t>(aReason));
}

std::string_view
Name(Ran aRan)
{
  return aRan == Ran::NotRun ? "not_run" : "unknown";
}

} // namespace crocusslip::core
