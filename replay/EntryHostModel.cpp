#include "replay/EntryHostModel.hpp"

#include <algorithm>
#include <chrono>
#include <variant>

namespace crocusslip::replay {

namespace {

using namespace std::chrono_literals;
using coordination::CrashVerdict;

constexpr auto kRouteRetry = 50ms;
/// After the start of a request that crashes its server.
constexpr auto kCrashDelay = 50ms;

coordination::RouterSettings
RouterSettingsOf(std::uint32_t aIndex)
{
  coordination::RouterSettings settings;
  settings.subsetKey_ = aIndex;
  settings.initialServiceTime_ = 1s;
  settings.prefixCacheEntries_ = 1;
  return settings;
}

std::shared_ptr<const coordination::AdmissionSettings>
AdmissionSettingsOf()
{
  auto settings = std::make_shared<coordination::AdmissionSettings>();
  settings->initialServiceTime_ = 1s;
  settings->recheckInterval_ = 100ms;
  return settings;
}

coordination::Ticket
TicketOf(std::size_t aRequest)
{
  return coordination::Ticket(aRequest);
}

} // namespace

EntryHostModel::EntryHostModel(std::uint32_t aIndex,
                               EntryHostContext aContext,
                               std::uint64_t aSeed)
  : id_("entry" + std::to_string(aIndex + 1))
  , context_(std::move(aContext))
  , random_(aSeed)
  , router_(RouterSettingsOf(aIndex))
  , guard_({})
  , retries_({})
  , admission_(AdmissionSettingsOf())
{
  std::map<core::ServerId, std::uint32_t> slots;
  for (const auto& deployment : context_.trace_.settings_.deployments_) {
    for (const core::ServerId& server : deployment.capacity_.servers_) {
      slots[server] =
        std::max(slots[server], deployment.capacity_.concurrency_);
    }
  }
  for (const protocol::TraceServer& server :
       context_.trace_.settings_.servers_) {
    router_.SetServer({ server.id_, server.failureDomain_, slots[server.id_] });
  }
}

const protocol::TraceRequest&
EntryHostModel::Traced(std::size_t aRequest) const
{
  return context_.trace_.requests_[aRequest];
}

core::Digest
EntryHostModel::Fingerprint(std::size_t aRequest) const
{
  const protocol::TraceRequest& request = Traced(aRequest);
  // Copies of the request that crashes servers are equal; others differ.
  const std::string body =
    request.crashes_ ? "crash" : std::to_string(aRequest);
  return coordination::FingerprintOf(request.deployment_, body);
}

core::MonotonicTime
EntryHostModel::Deadline(std::size_t aRequest) const
{
  const protocol::TraceRequest& request = Traced(aRequest);
  return core::MonotonicTime(request.time_ + request.deadline_);
}

EntryHostModel::Waiting&
EntryHostModel::WaitingFor(const core::DeploymentId& aDeployment)
{
  const auto found = waiting_.find(aDeployment);
  if (found != waiting_.end()) {
    return found->second;
  }
  return waiting_
    .emplace(aDeployment,
             Waiting{ coordination::AdmissionQueue(admission_), {} })
    .first->second;
}

void
EntryHostModel::Arrive(std::size_t aRequest)
{
  const core::DeploymentId& deployment = Traced(aRequest).deployment_;
  const bool cold = context_.control_.Loaded(deployment).empty();
  context_.recorder_.OnArrival(aRequest, cold);
  if (cold) {
    context_.recorder_.ColdStarts().OnColdArrival(
      aRequest,
      context_.control_.ExpectedReady(deployment) !=
        core::MonotonicTime::max());
  }
  retries_.OnRequest(deployment, context_.events_.Now());
  Offer(aRequest);
  Pump(deployment);
}

void
EntryHostModel::Offer(std::size_t aRequest)
{
  const protocol::TraceRequest& request = Traced(aRequest);
  Waiting& waiting = WaitingFor(request.deployment_);
  const core::MonotonicTime now = context_.events_.Now();
  const coordination::RouteCapacity capacity =
    router_.CapacityOf(request.deployment_, now);
  waiting.queue_.SetCapacity(
    { capacity.slots_, context_.control_.ExpectedReady(request.deployment_) });
  coordination::WaitingRequest offered;
  offered.ticket_ = TicketOf(aRequest);
  offered.caller_ = request.caller_;
  offered.deadline_ = Deadline(aRequest);
  const coordination::OfferResult result = waiting.queue_.Offer(offered, now);
  const bool mayHaveRun = tried_[aRequest].mayHaveRun_;
  if (result.refused_) {
    context_.recorder_.OnRefused(aRequest,
                                 result.refused_->reason_,
                                 mayHaveRun ? core::Ran::Unknown
                                            : core::Ran::NotRun,
                                 now);
  }
  for (const coordination::AdmissionRefusal& displaced : result.displaced_) {
    context_.recorder_.OnRefused(
      displaced.ticket_.Value(), displaced.reason_, displaced.ran_, now);
  }
}

void
EntryHostModel::Pump(const core::DeploymentId& aDeployment)
{
  const core::MonotonicTime now = context_.events_.Now();
  Waiting& waiting = WaitingFor(aDeployment);
  const coordination::RouteCapacity capacity =
    router_.CapacityOf(aDeployment, now);
  waiting.queue_.SetCapacity(
    { capacity.slots_, context_.control_.ExpectedReady(aDeployment) });
  RouteAgain(waiting);
  while (const auto ticket = waiting.queue_.Next(now)) {
    Route(waiting, *ticket);
  }
  Expire(aDeployment, waiting);
  if (!waiting.unrouted_.empty()) {
    SchedulePump(aDeployment, now + kRouteRetry, waiting.retryAt_);
  }
  ReportDemand(aDeployment, waiting);
}

void
EntryHostModel::SchedulePump(const core::DeploymentId& aDeployment,
                             core::MonotonicTime aTime,
                             core::MonotonicTime& aScheduled)
{
  const core::MonotonicTime now = context_.events_.Now();
  if (aScheduled > now && aScheduled <= aTime) {
    return;
  }
  aScheduled = aTime;
  context_.events_.At(aTime, [this, aDeployment] { Pump(aDeployment); });
}

void
EntryHostModel::Expire(const core::DeploymentId& aDeployment, Waiting& aWaiting)
{
  const coordination::AdmissionExpiry expiry =
    aWaiting.queue_.Expire(context_.events_.Now());
  for (const coordination::AdmissionRefusal& refusal : expiry.refused_) {
    const std::size_t request = refusal.ticket_.Value();
    context_.recorder_.OnRefused(
      request,
      refusal.reason_,
      tried_[request].mayHaveRun_ ? core::Ran::Unknown : core::Ran::NotRun,
      context_.events_.Now());
  }
  if (aWaiting.queue_.Waiting() > 0) {
    SchedulePump(aDeployment, expiry.nextCall_, aWaiting.expireAt_);
  }
}

void
EntryHostModel::RouteAgain(Waiting& aWaiting)
{
  std::vector<Ticket> unrouted;
  unrouted.swap(aWaiting.unrouted_);
  for (const Ticket ticket : unrouted) {
    Route(aWaiting, ticket);
  }
}

void
EntryHostModel::Route(Waiting& aWaiting, Ticket aTicket)
{
  const std::size_t request = aTicket.Value();
  const core::MonotonicTime now = context_.events_.Now();
  const core::Digest fingerprint = Fingerprint(request);
  const CrashVerdict verdict = guard_.Verdict(fingerprint, now);
  const core::Ran ran =
    tried_[request].mayHaveRun_ ? core::Ran::Unknown : core::Ran::NotRun;
  if (verdict == CrashVerdict::Hold) {
    Refuse(aWaiting, aTicket, core::RefusalReason::Quarantined, ran);
    return;
  }
  if (Deadline(request) <= now) {
    Refuse(aWaiting, aTicket, core::RefusalReason::DeadlinePassed, ran);
    return;
  }
  coordination::RouteRequest route;
  route.fingerprint_ = coordination::RouteKeyOf(fingerprint);
  route.proven_ = verdict == CrashVerdict::Proven;
  route.isolated_ = verdict == CrashVerdict::Isolate;
  const coordination::RouteResult result =
    router_.Choose(Traced(request).deployment_, route, now, random_);
  if (const auto* choice = std::get_if<coordination::RouteChoice>(&result)) {
    Forward(request, *choice, route);
    return;
  }
  aWaiting.unrouted_.push_back(aTicket);
}

void
EntryHostModel::Forward(std::size_t aRequest,
                        const coordination::RouteChoice& aChoice,
                        const coordination::RouteRequest& aRoute)
{
  const protocol::TraceRequest& traced = Traced(aRequest);
  const core::MonotonicTime now = context_.events_.Now();
  const std::uint64_t id = nextAttempt_++;
  attempts_[id] = { aRequest, aChoice.server_, aChoice.handle_, aRoute, now };
  ++tried_[aRequest].attempts_;
  router_.OnStart(traced.deployment_, aRoute, aChoice.handle_, now);
  context_.recorder_.ColdStarts().OnForward(aRequest, aChoice.server_, now);
  context_.control_.OnInFlight(traced.deployment_, aChoice.server_, 1);
  ServiceCall call;
  call.attempt_ = id;
  call.service_ = traced.service_;
  call.promptTokens_ = traced.promptTokens_;
  call.started_ = [this, id, aRequest] {
    attempts_.at(id).ran_ = true;
    context_.recorder_.OnRun(aRequest, context_.events_.Now());
    if (Traced(aRequest).crashes_) {
      const core::ServerId server = attempts_.at(id).server_;
      context_.events_.After(kCrashDelay,
                             [this, server] { context_.onCrash_(server); });
    }
  };
  call.firstByte_ = [this, aRequest] {
    if (!Traced(aRequest).crashes_) {
      context_.recorder_.OnFirstByte(aRequest, context_.events_.Now());
    }
  };
  call.finished_ = [this, id] { OnFinished(id); };
  context_.backend_.Serve(traced.deployment_, aChoice.server_, std::move(call));
}

void
EntryHostModel::OnFinished(std::uint64_t aAttempt)
{
  const Attempt attempt = std::move(attempts_.extract(aAttempt).mapped());
  const core::DeploymentId& deployment = Traced(attempt.request_).deployment_;
  const core::MonotonicTime now = context_.events_.Now();
  const core::Duration took = now - attempt.startedAt_;
  router_.OnFinish(deployment,
                   attempt.route_,
                   attempt.handle_,
                   coordination::RequestOutcome::Answered,
                   took,
                   now);
  WaitingFor(deployment)
    .queue_.OnFinish(
      TicketOf(attempt.request_), coordination::ServiceResult::Answered, now);
  guard_.OnCompleted(Fingerprint(attempt.request_), now);
  retries_.OnAnswer(deployment, took, now);
  tried_.erase(attempt.request_);
  context_.recorder_.OnAnswered(attempt.request_, now);
  context_.control_.OnInFlight(deployment, attempt.server_, -1);
  Pump(deployment);
}

void
EntryHostModel::OnServerKilled(const core::ServerId& aServer)
{
  std::vector<Attempt> failed;
  std::vector<coordination::InFlightRequest> inFlight;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.server_ == aServer) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  for (const std::uint64_t id : ids) {
    const Attempt attempt = std::move(attempts_.extract(id).mapped());
    inFlight.push_back({ Traced(attempt.request_).deployment_,
                         Fingerprint(attempt.request_),
                         attempt.route_.isolated_ });
    failed.push_back(attempt);
  }
  if (!inFlight.empty()) {
    context_.onEvidence_(
      guard_.OnServerFailure(aServer, inFlight, context_.events_.Now()));
  }
  for (const Attempt& attempt : failed) {
    OnFailed(attempt);
  }
}

void
EntryHostModel::OnFailed(const Attempt& aAttempt)
{
  const std::size_t request = aAttempt.request_;
  const protocol::TraceRequest& traced = Traced(request);
  const core::MonotonicTime now = context_.events_.Now();
  router_.OnFinish(traced.deployment_,
                   aAttempt.route_,
                   aAttempt.handle_,
                   coordination::RequestOutcome::Failed,
                   now - aAttempt.startedAt_,
                   now);
  context_.control_.OnInFlight(traced.deployment_, aAttempt.server_, -1);
  Waiting& waiting = WaitingFor(traced.deployment_);
  waiting.queue_.OnFinish(
    TicketOf(request), coordination::ServiceResult::Failed, now);
  Tried& tried = tried_[request];
  tried.mayHaveRun_ = true;
  coordination::FailedAttempt failure;
  failure.kind_ = coordination::FailureKind::ConnectionLost;
  failure.server_ = aAttempt.server_;
  failure.mayHaveRun_ = true;
  failure.idempotent_ = traced.idempotent_;
  failure.answerStarted_ = context_.recorder_.FirstByteSent(request);
  failure.attempts_ = tried.attempts_;
  failure.deadline_ = Deadline(request);
  failure.expectedService_ = traced.service_;
  const coordination::RetryDecision decision =
    retries_.OnFailure(traced.deployment_, failure, now, random_);
  if (const auto* retry = std::get_if<coordination::Retry>(&decision)) {
    context_.recorder_.OnRetry(request, retry->reason_);
    context_.events_.At(retry->at_, [this, request] {
      Offer(request);
      Pump(Traced(request).deployment_);
    });
    return;
  }
  const auto& refusal = std::get<coordination::NoRetry>(decision);
  context_.recorder_.OnRefused(request, refusal.reason_, refusal.ran_, now);
}

void
EntryHostModel::Refuse(Waiting& aWaiting,
                       Ticket aTicket,
                       core::RefusalReason aReason,
                       core::Ran aRan)
{
  aWaiting.queue_.OnFinish(
    aTicket, coordination::ServiceResult::Failed, context_.events_.Now());
  context_.recorder_.OnRefused(
    aTicket.Value(), aReason, aRan, context_.events_.Now());
}

void
EntryHostModel::ReportDemand(const core::DeploymentId& aDeployment,
                             Waiting& aWaiting)
{
  const auto unrouted = static_cast<std::uint32_t>(aWaiting.unrouted_.size());
  coordination::HostDemand demand;
  demand.host_ = id_;
  demand.deployment_ = aDeployment;
  demand.waiting_ = aWaiting.queue_.Waiting() + unrouted;
  demand.inFlight_ = aWaiting.queue_.InFlight() - unrouted;
  core::MonotonicTime deadline = aWaiting.queue_.EarliestDeadline();
  for (const Ticket ticket : aWaiting.unrouted_) {
    deadline = std::min(deadline, Deadline(ticket.Value()));
  }
  if (deadline != core::MonotonicTime::max()) {
    demand.earliestDeadline_ = deadline;
  }
  context_.control_.Report(demand);
}

void
EntryHostModel::OnReplicas(const core::DeploymentId& aDeployment)
{
  const core::MonotonicTime now = context_.events_.Now();
  std::vector<coordination::ServerHandle> handles;
  for (const core::ServerId& server : context_.control_.Loaded(aDeployment)) {
    const auto handle = router_.FindServer(server);
    if (handle) {
      handles.push_back(*handle);
    }
  }
  router_.SetReplicas(aDeployment, handles, now);
  const auto waiting = waiting_.find(aDeployment);
  if (waiting != waiting_.end() && (waiting->second.queue_.Waiting() > 0 ||
                                    !waiting->second.unrouted_.empty())) {
    context_.events_.At(now, [this, aDeployment] { Pump(aDeployment); });
  }
}

void
EntryHostModel::SetServerState(const core::ServerId& aServer,
                               coordination::ServerState aState)
{
  const auto handle = router_.FindServer(aServer);
  if (handle) {
    router_.SetServerState(*handle, aState, context_.events_.Now());
  }
}

void
EntryHostModel::SetQuarantine(
  const std::vector<coordination::QuarantineEntry>& aEntries)
{
  guard_.ReplaceQuarantine(aEntries);
}

} // namespace crocusslip::replay
