#include "entry/Dispatcher.hpp"

#include "Control.h"
#include "core/Log.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace crocusslip::entry {

using core::RefusalReason;

namespace {

constexpr std::chrono::milliseconds kTickInterval{ 10 };
constexpr std::chrono::seconds kDropIdleInterval{ 5 };
/// Longest time until routing of a parked request is tried again.
constexpr std::chrono::milliseconds kParkedRetryInterval{ 25 };

coordination::RouterSettings
RouterSettingsFor(const state::ProcessSettings& aSettings)
{
  coordination::RouterSettings router;
  router.ownDomain_ = aSettings.failureDomain_;
  router.subsetKey_ = core::Hash64(aSettings.host_.Value());
  return router;
}

std::chrono::milliseconds
ToMilliseconds(core::Duration aDuration)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aDuration);
}

} // namespace

Dispatcher::Dispatcher(const state::ProcessSettings& aSettings,
                       transport::HttpClient& aClient,
                       const core::Clock& aClock,
                       core::MetricsRegistry& aRegistry,
                       RevisionFile& aRevisions,
                       core::Revision aHighest,
                       std::uint64_t aSeed)
  : settings_(aSettings)
  , client_(aClient)
  , clock_(aClock)
  , metrics_(aRegistry)
  , revisions_(aRevisions)
  , link_(aSettings,
          { [this](wire::PollRequest& aRequest) { FillPoll(aRequest); },
            [this](const wire::PollReply& aReply) { OnPollReply(aReply); },
            [this] { OnPollFailed(); },
            [this] { return UrgentDemand(); } })
  , random_(aSeed)
  , lease_(aHighest)
  , polls_(static_cast<std::int64_t>((random_.Next() >> 1U) | 1U))
  , router_(RouterSettingsFor(aSettings))
  , retries_({})
  , crashes_({})
{
}

Dispatcher::~Dispatcher()
{
  Stop();
}

void
Dispatcher::Start()
{
  link_.Start();
  ticks_ = std::thread([this] { RunTicks(); });
}

void
Dispatcher::Stop()
{
  {
    const std::lock_guard lock(tickMutex_);
    stopping_ = true;
  }
  tickStop_.notify_all();
  if (ticks_.joinable()) {
    ticks_.join();
  }
  link_.Stop();
}

void
Dispatcher::Drain()
{
  const std::lock_guard lock(mutex_);
  draining_ = true;
}

bool
Dispatcher::Ready() const
{
  const std::lock_guard lock(mutex_);
  return !draining_ && !drainedByOperator_ && lease_.MayServe(clock_.Now());
}

std::size_t
Dispatcher::InProgress() const
{
  const std::lock_guard lock(mutex_);
  return requests_.size();
}

protocol::HttpResponse
Dispatcher::Refuse(const protocol::Problem& aProblem)
{
  metrics_.CountRefusal(aProblem.reason_, aProblem.ran_);
  return protocol::ToResponse(aProblem);
}

std::shared_ptr<const coordination::AdmissionSettings>
Dispatcher::AdmissionFor(const state::DeploymentSettings& aSettings) const
{
  auto admission = std::make_shared<coordination::AdmissionSettings>();
  constexpr auto kNoLimit = std::numeric_limits<std::uint32_t>::max();
  admission->maxWaiting_ = aSettings.queueLimit_;
  admission->maxWaitingBytes_ = aSettings.queueBytes_;
  admission->maxInFlight_ =
    aSettings.concurrency_ == 0 ? kNoLimit : aSettings.concurrency_;
  admission->rate_ = { aSettings.requestRate_,
                       std::max(1.0, aSettings.requestRate_) };
  for (const core::CallerId& id : aSettings.callers_) {
    const auto caller = tree_.Caller(id);
    if (!caller) {
      continue;
    }
    coordination::CallerPolicy policy;
    policy.weight_ = caller->weight_ > 0 ? caller->weight_ : 1.0;
    policy.rate_ = { caller->requestRate_,
                     std::max(1.0, caller->requestRate_) };
    policy.maxInFlight_ =
      caller->concurrency_ == 0 ? kNoLimit : caller->concurrency_;
    admission->callers_[id] = policy;
  }
  return admission;
}

Dispatcher::Deployment&
Dispatcher::DeploymentFor(
  const std::shared_ptr<const state::DeploymentSettings>& aSettings,
  core::MonotonicTime aNow)
{
  auto found = deployments_.find(aSettings->id_);
  if (found == deployments_.end()) {
    found =
      deployments_.try_emplace(aSettings->id_, AdmissionFor(*aSettings)).first;
    found->second.settings_ = aSettings;
    found->second.lastUse_ = aNow;
    found->second.arrivals_ = arrivals_;
    found->second.arrivalsBase_ = arrivals_;
    SetReplicas(aSettings->id_, found->second, aNow);
  }
  return found->second;
}

void
Dispatcher::UpdateCapacity(Deployment& aDeployment, core::MonotonicTime aNow)
{
  const coordination::RouteCapacity capacity =
    router_.CapacityOf(aDeployment.settings_->id_, aNow);
  coordination::Capacity slots;
  slots.slots_ = capacity.slots_;
  slots.readyAt_ = aDeployment.readyAt_;
  slots.slotsWhenReady_ = aDeployment.slotsWhenReady_;
  slots.slotsWhenWarm_ = capacity.slotsWhenWarm_;
  aDeployment.queue_.SetCapacity(slots);
}

void
Dispatcher::Submit(const RequestPtr& aRequest)
{
  bool urgent = false;
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    metrics_.requests_.Add();
    aRequest->ticket_ = coordination::Ticket(nextTicket_++);
    aRequest->arrived_ = aNow;
    if (draining_) {
      RefuseRequest(aRequest,
                    { RefusalReason::Draining,
                      core::Ran::NotRun,
                      "this host is shutting down",
                      std::chrono::seconds(0) },
                    aNow,
                    aEffects);
      return;
    }
    const auto verdict = crashes_.Verdict(aRequest->fingerprint_, aNow);
    if (verdict == coordination::CrashVerdict::Hold) {
      RefuseRequest(aRequest,
                    { RefusalReason::Quarantined,
                      core::Ran::NotRun,
                      "equal requests crashed their backend servers",
                      std::nullopt },
                    aNow,
                    aEffects);
      return;
    }
    Deployment& deployment = DeploymentFor(aRequest->settings_, aNow);
    deployment.lastUse_ = aNow;
    ++deployment.arrivals_;
    ++arrivals_;
    retries_.OnRequest(aRequest->Deployment(), aNow);
    UpdateCapacity(deployment, aNow);
    aRequest->cold_ =
      aRequest->settings_->kind_ != state::DeploymentKind::Service &&
      deployment.loaded_.empty();
    coordination::WaitingRequest waiting;
    waiting.ticket_ = aRequest->ticket_;
    waiting.caller_ = aRequest->caller_;
    waiting.priority_ = aRequest->priority_;
    waiting.deadline_ = aRequest->deadline_;
    waiting.size_ = core::Bytes(aRequest->exchange_->Request().body_.size());
    requests_[aRequest->ticket_] = aRequest;
    const coordination::OfferResult offered =
      deployment.queue_.Offer(waiting, aNow);
    for (const auto& displaced : offered.displaced_) {
      RefuseAdmission(displaced, aNow, aEffects);
    }
    if (offered.refused_) {
      RefuseAdmission(*offered.refused_, aNow, aEffects);
      return;
    }
    DispatchQueued(deployment, aNow, aEffects);
    // Check for expired requests at the next tick at the latest.
    deployment.nextQueueCheck_ =
      std::min(deployment.nextQueueCheck_, aNow + kTickInterval);
    if (aRequest->cold_ && aRequest->phase_ == RequestPhase::Waiting) {
      urgent = urgent_.insert(aRequest->Deployment()).second;
    }
  });
  if (urgent) {
    link_.DemandChanged();
  }
}

void
Dispatcher::DispatchQueued(Deployment& aDeployment,
                           core::MonotonicTime aNow,
                           Effects& aEffects)
{
  UpdateCapacity(aDeployment, aNow);
  while (const auto ticket = aDeployment.queue_.Next(aNow)) {
    const auto request = requests_.find(*ticket);
    if (request != requests_.end()) {
      StartRequest(RequestPtr(request->second), aNow, aEffects);
    }
  }
}

void
Dispatcher::StartRequest(const RequestPtr& aRequest,
                         core::MonotonicTime aNow,
                         Effects& aEffects)
{
  metrics_.waitTime_.Observe(
    std::chrono::duration<double>(aNow - aRequest->arrived_).count());
  deadlines_.insert({ aRequest->deadline_, aRequest->ticket_ });
  ClaimOrRoute(aRequest, aNow, aEffects);
}

void
Dispatcher::ClaimOrRoute(const RequestPtr& aRequest,
                         core::MonotonicTime aNow,
                         Effects& aEffects)
{
  if (aRequest->key_ && !aRequest->claimed_) {
    StartClaim(aRequest, aNow, aEffects);
  } else {
    Route(aRequest, aNow, aEffects);
  }
}

void
Dispatcher::Route(const RequestPtr& aRequest,
                  core::MonotonicTime aNow,
                  Effects& aEffects)
{
  const auto verdict = crashes_.Verdict(aRequest->fingerprint_, aNow);
  if (verdict == coordination::CrashVerdict::Hold) {
    RefuseRequest(
      aRequest,
      { RefusalReason::Quarantined,
        aRequest->mayHaveRun_ ? core::Ran::Unknown : core::Ran::NotRun,
        "the request crashed its backend servers",
        std::nullopt },
      aNow,
      aEffects);
    return;
  }
  aRequest->isolated_ = verdict == coordination::CrashVerdict::Isolate;
  aRequest->proven_ = verdict == coordination::CrashVerdict::Proven;
  const coordination::RouteResult result = router_.Choose(
    aRequest->Deployment(), aRequest->MakeRouteRequest(), aNow, random_);
  if (const auto* choice = std::get_if<coordination::RouteChoice>(&result)) {
    StartAttempt(aRequest, *choice, aNow, aEffects);
    return;
  }
  const auto& none = std::get<coordination::NoRoute>(result);
  // When all servers have been tried, the next retry may use any of them again.
  if (none.reason_ == coordination::NoRouteReason::NoneEligible) {
    aRequest->tried_.clear();
    aRequest->avoidDomain_ = core::FailureDomainId();
  }
  if (none.reason_ == coordination::NoRouteReason::NoReplica) {
    urgent_.insert(aRequest->Deployment());
    aEffects.emplace_back([this] { link_.DemandChanged(); });
  }
  Park(aRequest, std::min(none.retryAt_, aNow + kParkedRetryInterval));
}

void
Dispatcher::Park(const RequestPtr& aRequest, core::MonotonicTime aUntil)
{
  aRequest->phase_ = RequestPhase::Parked;
  aRequest->retryAt_ = aUntil;
  parked_.insert(aRequest->ticket_);
}

void
Dispatcher::Expire(Deployment& aDeployment,
                   core::MonotonicTime aNow,
                   Effects& aEffects)
{
  const coordination::AdmissionExpiry expiry = aDeployment.queue_.Expire(aNow);
  for (const auto& refusal : expiry.refused_) {
    RefuseAdmission(refusal, aNow, aEffects);
  }
  aDeployment.nextQueueCheck_ = expiry.nextCall_;
}

void
Dispatcher::RunTicks()
{
  while (true) {
    {
      std::unique_lock lock(tickMutex_);
      if (tickStop_.wait_for(
            lock, kTickInterval, [this] { return stopping_; })) {
        return;
      }
    }
    Tick();
  }
}

void
Dispatcher::Tick()
{
  RunLocked([&](core::MonotonicTime aNow, Effects& aEffects) {
    for (auto& [id, deployment] : deployments_) {
      if (deployment.nextQueueCheck_ <= aNow) {
        Expire(deployment, aNow, aEffects);
        DispatchQueued(deployment, aNow, aEffects);
      }
    }
    std::vector<RequestPtr> due;
    for (const coordination::Ticket ticket : parked_) {
      const RequestPtr& request = requests_.at(ticket);
      if (request->retryAt_ <= aNow) {
        due.push_back(request);
      }
    }
    for (const RequestPtr& request : due) {
      parked_.erase(request->ticket_);
      ClaimOrRoute(request, aNow, aEffects);
    }
    while (!deadlines_.empty() && deadlines_.begin()->first <= aNow) {
      const auto found = requests_.find(deadlines_.begin()->second);
      deadlines_.erase(deadlines_.begin());
      if (found == requests_.end() || found->second->answerStarted_.load()) {
        continue;
      }
      const RequestPtr request = found->second;
      const bool ran =
        request->mayHaveRun_ || request->phase_ == RequestPhase::Running;
      request->mayHaveRun_ = ran;
      RefuseRequest(
        request,
        { ran ? RefusalReason::BackendTimeout : RefusalReason::DeadlinePassed,
          ran ? core::Ran::Unknown : core::Ran::NotRun,
          "the deadline has passed",
          std::nullopt },
        aNow,
        aEffects);
    }
    if (nextIdleCheck_ <= aNow) {
      nextIdleCheck_ = aNow + kDropIdleInterval;
      DropIdle(aNow);
    }
  });
}

void
Dispatcher::DropIdle(core::MonotonicTime aNow)
{
  router_.DropIdle(aNow);
  retries_.DropIdle(aNow);
  crashes_.Expire(aNow);
  constexpr std::chrono::minutes kIdleTimeout{ 5 };
  for (auto item = deployments_.begin(); item != deployments_.end();) {
    Deployment& deployment = item->second;
    const bool idle =
      aNow - deployment.lastUse_ > kIdleTimeout &&
      deployment.queue_.Waiting() == 0 && deployment.queue_.InFlight() == 0 &&
      deployment.queue_.Idle(aNow) &&
      polls_.Confirmed(item->first.Value(),
                       static_cast<std::int64_t>(deployment.arrivals_));
    if (!idle) {
      ++item;
      continue;
    }
    polls_.Forget(item->first.Value());
    item = deployments_.erase(item);
  }
}

void
Dispatcher::RefuseAdmission(const coordination::AdmissionRefusal& aRefusal,
                            core::MonotonicTime aNow,
                            Effects& aEffects)
{
  const auto found = requests_.find(aRefusal.ticket_);
  if (found == requests_.end()) {
    return;
  }
  RefuseRequest(RequestPtr(found->second),
                { aRefusal.reason_,
                  aRefusal.ran_,
                  aRefusal.Text(),
                  ToMilliseconds(aRefusal.retryAfter_) },
                aNow,
                aEffects);
}

} // namespace crocusslip::entry
