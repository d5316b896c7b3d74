#include "protocol/Problem.hpp"

#include <nlohmann/json.hpp>

namespace crocusslip::protocol {

namespace {

using core::RefusalReason;

std::string
Title(RefusalReason aReason)
{
  std::string title(Name(aReason));
  for (char& letter : title) {
    if (letter == '_') {
      letter = ' ';
    }
  }
  return title;
}

} // namespace

std::uint16_t
StatusOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::UnknownDeployment:
    case RefusalReason::UnknownRoute:
      return 404;
    case RefusalReason::MethodNotAllowed:
      return 405;
    case RefusalReason::Malformed:
      return 400;
    case RefusalReason::LengthRequired:
      return 411;
    case RefusalReason::BodyTooLarge:
      return 413;
    case RefusalReason::BodyTimeout:
      return 408;
    case RefusalReason::Unauthorized:
      return 401;
    case RefusalReason::Forbidden:
      return 403;
    case RefusalReason::CallerLimit:
    case RefusalReason::DeploymentLimit:
      return 429;
    case RefusalReason::Quarantined:
    case RefusalReason::KeyReused:
    case RefusalReason::KeyExpired:
      return 422;
    case RefusalReason::KeyInProgress:
      return 409;
    case RefusalReason::DeadlinePassed:
    case RefusalReason::BackendTimeout:
      return 504;
    case RefusalReason::BackendFailed:
    case RefusalReason::BackendConnectFailed:
    case RefusalReason::StreamBroken:
    case RefusalReason::KeyOutcomeUnknown:
      return 502;
    case RefusalReason::Internal:
      return 500;
    case RefusalReason::QueueFull:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::LoadFailed:
    case RefusalReason::NoReplica:
    case RefusalReason::SettingsLeaseExpired:
    case RefusalReason::Draining:
    case RefusalReason::RetryBudgetExhausted:
    case RefusalReason::ClaimTableFull:
    case RefusalReason::ClaimUnavailable:
    case RefusalReason::ControlDiskFull:
    case RefusalReason::Overloaded:
    case RefusalReason::Count:
      return 503;
  }
  return 503;
}

std::string
ToJson(const Problem& aProblem)
{
  const nlohmann::json document = {
    { "type", "urn:crocusslip:refusal:" + std::string(Name(aProblem.reason_)) },
    { "title", Title(aProblem.reason_) },
    { "status", StatusOf(aProblem.reason_) },
    { "detail", aProblem.detail_ },
    { "reason", Name(aProblem.reason_) },
    { "ran", Name(aProblem.ran_) },
  };
  return document.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

HttpResponse
ToResponse(const Problem& aProblem)
{
  HttpResponse response =
    HttpResponse::Json(StatusOf(aProblem.reason_), ToJson(aProblem));
  response.headers_.Set("Content-Type", "application/problem+json");
  if (aProblem.retryAfter_) {
    const auto seconds =
      std::chrono::ceil<std::chrono::seconds>(*aProblem.retryAfter_);
    response.headers_.Set("Retry-After", std::to_string(seconds.count()));
  }
  return response;
}

} // namespace crocusslip::protocol
