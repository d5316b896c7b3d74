#include "control/AdminApi.hpp"

#include "control/AdminBodies.hpp"

#include <array>
#include <utility>

namespace crocusslip::control {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;

namespace {

constexpr std::string_view kPrefix = "/admin/v1/";
constexpr std::size_t kWorkers = 4;
constexpr std::size_t kWaitingRequests = 256;

} // namespace

struct AdminApi::Route
{
  std::string_view method_;
  std::string_view path_;
  Role role_;
  /// Only the leader may answer.
  bool leader_;
  HttpResponse (AdminApi::*handler_)(const HttpRequest&, const Operator&);
};

AdminApi::AdminApi(Group& aGroup,
                   ControlService& aService,
                   ServerTracker& aServers,
                   DecisionLog& aLog,
                   core::MetricsRegistry& aMetrics,
                   const state::ProcessSettings& aProcess,
                   OperatorRoles aRoles)
  : group_(aGroup)
  , service_(aService)
  , servers_(aServers)
  , log_(aLog)
  , metrics_(aMetrics)
  , process_(aProcess)
  , roles_(std::move(aRoles))
  , workers_(kWorkers, kWaitingRequests)
{
}

AdminApi::~AdminApi()
{
  workers_.Stop();
}

void
AdminApi::Handle(const std::shared_ptr<transport::HttpExchange>& aExchange)
{
  const std::string& path = aExchange->Request().path_;
  if (path == "/livez") {
    aExchange->Reply(HttpResponse::Text(200, "ok\n"));
    return;
  }
  if (path == "/readyz") {
    const bool ready =
      !group_.Status().halted_ && group_.Status().leader_ != core::MemberId();
    aExchange->Reply(ready ? HttpResponse::Text(200, "ready\n")
                           : HttpResponse::Text(503, "no leader\n"));
    return;
  }
  if (path == "/metrics") {
    aExchange->Reply(HttpResponse::Text(200, metrics_.Text()));
    return;
  }
  // A change waits for its commit, which must not block the HTTP threads.
  const bool accepted = workers_.Submit(
    [this, aExchange] { aExchange->Reply(Answer(aExchange->Request())); });
  if (!accepted) {
    aExchange->Reply(AdminFailure(503, "too many requests wait"));
  }
}

HttpResponse
AdminApi::Answer(const HttpRequest& aRequest)
{
  const auto caller = roles_.Find(aRequest.headers_.Find("Authorization"));
  if (!caller) {
    HttpResponse response = AdminFailure(401, "an operator's token is needed");
    response.headers_.Set("WWW-Authenticate", "Bearer");
    return response;
  }
  return Dispatch(aRequest, *caller);
}

HttpResponse
AdminApi::Dispatch(const HttpRequest& aRequest, const Operator& aOperator)
{
  static const std::array kRoutes = {
    Route{ "GET", "status", Role::Read, false, &AdminApi::GetStatus },
    Route{ "GET", "deployments", Role::Read, true, &AdminApi::GetDeployments },
    Route{ "GET", "replicas", Role::Read, true, &AdminApi::GetReplicas },
    Route{ "GET", "hosts", Role::Read, true, &AdminApi::GetHosts },
    Route{ "GET", "members", Role::Read, false, &AdminApi::GetMembers },
    Route{ "GET", "why", Role::Read, true, &AdminApi::GetWhy },
    Route{ "GET", "config", Role::Read, true, &AdminApi::GetConfig },
    Route{ "GET", "config/history", Role::Read, true, &AdminApi::GetHistory },
    Route{ "GET", "quarantine", Role::Read, true, &AdminApi::GetQuarantine },
    Route{ "GET", "audit", Role::Read, true, &AdminApi::GetAudit },
    Route{ "POST", "config", Role::Operate, true, &AdminApi::PostConfig },
    Route{ "POST", "drain", Role::Operate, true, &AdminApi::PostDrain },
    Route{ "POST",
           "quarantine/release",
           Role::Operate,
           true,
           &AdminApi::PostRelease },
    Route{ "POST", "members", Role::Administer, true, &AdminApi::PostMembers },
    Route{
      "POST", "transfer", Role::Administer, true, &AdminApi::PostTransfer },
    Route{ "POST", "log", Role::Operate, false, &AdminApi::PostLogLevel },
    Route{ "POST", "fault", Role::Administer, false, &AdminApi::PostFault },
  };
  std::string_view path = aRequest.path_;
  bool known = path.substr(0, kPrefix.size()) == kPrefix;
  path.remove_prefix(known ? kPrefix.size() : 0);
  bool pathKnown = false;
  for (const Route& route : kRoutes) {
    if (!known || route.path_ != path) {
      continue;
    }
    pathKnown = true;
    if (route.method_ != aRequest.method_) {
      continue;
    }
    if (aOperator.role_ < route.role_) {
      return AdminFailure(403, "the operator's role does not allow this");
    }
    if (route.leader_ && !group_.MayDecide()) {
      return NotLeader();
    }
    return (this->*route.handler_)(aRequest, aOperator);
  }
  return pathKnown ? AdminFailure(405, "method not allowed")
                   : AdminFailure(404, "no such path");
}

HttpResponse
AdminApi::NotLeader() const
{
  const GroupStatus status = group_.Status();
  const std::string address = status.leader_ == process_.member_
                                ? std::string()
                                : AdminAddressOf(status.leader_);
  HttpResponse response = AdminAnswer(
    address.empty() ? 503 : 421,
    { { "error",
        address.empty() ? "there is no leader now" : "not the leader" },
      { "leader", address } });
  response.headers_.Set("Retry-After", "1");
  return response;
}

std::string
AdminApi::AdminAddressOf(core::MemberId aMember) const
{
  for (const state::MemberSettings& member : process_.members_) {
    if (member.id_ == aMember && !member.admin_.Empty()) {
      return member.admin_.Text();
    }
  }
  return {};
}

} // namespace crocusslip::control
