#include "Control.h"
#include "core/Log.hpp"
#include "entry/Dispatcher.hpp"
#include "transport/Timer.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::entry {

using coordination::FailureKind;

namespace {

/// How long to collect the requests lost in one server failure before the
/// server is probed.
constexpr std::chrono::milliseconds kLostRequestWindow{ 40 };
constexpr std::chrono::milliseconds kProbeTimeout{ 1000 };
/// A failed server is used again after this time unless the control group
/// reports it as not live.
constexpr std::chrono::seconds kFailedServerTimeout{ 5 };

} // namespace

void
Dispatcher::DecideRetry(const RequestPtr& aRequest,
                        FailureKind aKind,
                        core::MonotonicTime aNow,
                        Effects& aEffects)
{
  coordination::FailedAttempt failed;
  failed.kind_ = aKind;
  failed.server_ = aRequest->serverId_;
  failed.domain_ = aRequest->serverDomain_;
  failed.mayHaveRun_ = aRequest->mayHaveRun_;
  failed.idempotent_ = aRequest->idempotent_;
  failed.answerStarted_ = aRequest->answerStarted_.load();
  failed.attempts_ = aRequest->attempts_;
  failed.deadline_ = aRequest->deadline_;
  const auto deployment = deployments_.find(aRequest->Deployment());
  if (deployment != deployments_.end()) {
    failed.expectedService_ = deployment->second.queue_.ServiceTime();
  }
  const coordination::RetryDecision decision =
    retries_.OnFailure(aRequest->Deployment(), failed, aNow, random_);
  if (const auto* retry = std::get_if<coordination::Retry>(&decision)) {
    metrics_.CountRetry(retry->reason_);
    aRequest->avoidDomain_ = retry->avoidDomain_;
    Park(aRequest, retry->at_);
    return;
  }
  const auto& none = std::get<coordination::NoRetry>(decision);
  parked_.erase(aRequest->ticket_);
  RefuseRequest(aRequest,
                { none.reason_, none.ran_, none.Text(), std::nullopt },
                aNow,
                aEffects);
}

void
Dispatcher::AddLostRequest(const RequestPtr& aRequest, Effects& aEffects)
{
  const core::ServerId server = aRequest->serverId_;
  LostRequests& group = lostRequests_[server];
  group.requests_.push_back(aRequest);
  if (group.requests_.size() == 1) {
    aEffects.emplace_back([this, server] {
      transport::SharedTimer().After(kLostRequestWindow,
                                     [this, server] { ProbeServer(server); });
    });
  }
}

// A broken connection alone may also be due to a network fault or an ordinary
// close. Only a server that refuses a new connection counts as failed.
void
Dispatcher::ProbeServer(const core::ServerId& aServer)
{
  std::string address;
  {
    const std::lock_guard lock(mutex_);
    const auto server = servers_.find(aServer);
    address = server == servers_.end() ? "" : server->second.settings_.address_;
  }
  protocol::HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/metrics";
  constexpr std::size_t kLimit = 1024 * 1024;
  client_.Fetch(
    { "http://" + address, kProbeTimeout, true },
    request,
    kLimit,
    [this, aServer](const core::Result<protocol::HttpResponse>& aAnswer,
                    transport::Delivery aDelivery) {
      OnServerProbed(
        aServer, !aAnswer.Ok() && aDelivery == transport::Delivery::NotSent);
    });
}

void
Dispatcher::OnServerProbed(const core::ServerId& aServer, bool aServerFailed)
{
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    const std::vector<RequestPtr> requests =
      std::exchange(lostRequests_[aServer].requests_, {});
    lostRequests_.erase(aServer);
    std::vector<wire::CrashReport> reports;
    const auto server = servers_.find(aServer);
    if (aServerFailed && server != servers_.end()) {
      server->second.failedUntil_ = aNow + kFailedServerTimeout;
      router_.SetServerState(
        server->second.handle_, coordination::ServerState::Failed, aNow);
      std::vector<coordination::InFlightRequest> inFlight;
      inFlight.reserve(requests.size());
      for (const RequestPtr& request : requests) {
        inFlight.push_back(
          { request->Deployment(), request->fingerprint_, request->isolated_ });
      }
      for (const coordination::CrashEvidence& evidence :
           crashes_.OnServerFailure(aServer, inFlight, aNow)) {
        wire::CrashReport report;
        report.deployment = evidence.deployment_.Value();
        report.fingerprint = evidence.fingerprint_.Hex();
        report.server = evidence.server_.Value();
        report.host = settings_.host_.Value();
        report.certain = evidence.certain_;
        reports.push_back(std::move(report));
      }
      core::Log(core::LogLevel::Warning,
                "backend server failed",
                { { "server", aServer.Value() },
                  { "in_flight", std::to_string(requests.size()) },
                  { "reported", std::to_string(reports.size()) } });
    }
    if (reports.empty()) {
      aEffects.emplace_back([this, requests, aServerFailed] {
        RetryLostRequests(requests, aServerFailed);
      });
      return;
    }
    // Retry the suspected requests only after their crash reports were sent to
    // the control group.
    aEffects.emplace_back([this, requests, reports, aServerFailed] {
      link_.ReportCrash(reports, [this, requests, aServerFailed] {
        RetryLostRequests(requests, aServerFailed);
      });
    });
  });
}

void
Dispatcher::RetryLostRequests(const std::vector<RequestPtr>& aRequests,
                              bool aServerFailed)
{
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    for (const RequestPtr& request : aRequests) {
      if (request->phase_ == RequestPhase::Parked) {
        DecideRetry(request, FailureKind::ConnectionLost, aNow, aEffects);
      } else if (request->phase_ == RequestPhase::StreamBroken) {
        ContinueOrEndStream(request, !aServerFailed, {}, aNow, aEffects);
      }
    }
  });
}

} // namespace crocusslip::entry
