#include "control/CapacityController.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <iterator>
#include <type_traits>
#include <utility>

namespace crocusslip::control {

namespace {

using coordination::HeldReplicaPhase;
using coordination::PlacementAction;
using coordination::PlacementDecision;

constexpr std::chrono::milliseconds kStep{ 50 };
constexpr std::chrono::milliseconds kUnloadInterval{ 250 };
constexpr std::chrono::seconds kTimeInterval{ 1 };
constexpr std::chrono::hours kWeek{ 24 * 7 };
/// 1970-01-05, the first Monday of Unix time.
constexpr std::chrono::hours kFirstMonday{ 24 * 4 };

core::MonotonicTime
WeekOrigin(const core::Clock& aClock)
{
  const auto sinceMonday =
    (aClock.WallNow().time_since_epoch() - core::Duration(kFirstMonday)) %
    core::Duration(kWeek);
  return aClock.Now() - sinceMonday;
}

coordination::LoadClass
ClassOf(const PlacementDecision& aDecision, bool aAdapter)
{
  if (aDecision.tier_ != coordination::CheckpointTier::Remote) {
    return coordination::LoadClass::Local;
  }
  return aAdapter ? coordination::LoadClass::Adapter
                  : coordination::LoadClass::Model;
}

} // namespace

CapacityController::CapacityController(Group& aGroup,
                                       ServerTracker& aServers,
                                       transport::HttpClient& aClient,
                                       const core::Clock& aClock,
                                       DecisionLog& aLog,
                                       core::MetricsRegistry& aMetrics,
                                       const CapacitySettings& aSettings)
  : group_(aGroup)
  , servers_(aServers)
  , client_(aClient)
  , clock_(aClock)
  , log_(aLog)
  , settings_(aSettings)
  , loads_(aMetrics.AddCounter("crocusslip_loads_total",
                               "",
                               "Loads that were confirmed."))
  , unloads_(aMetrics.AddCounter("crocusslip_unloads_total",
                                 "",
                                 "Unloads that were confirmed."))
  , ordersSent_(aMetrics.AddCounter("crocusslip_orders_sent_total",
                                    "",
                                    "Orders sent to backend servers."))
  , ordersUnclear_(
      aMetrics.AddCounter("crocusslip_orders_unclear_total",
                          "",
                          "Orders whose answer did not tell the outcome."))
  , loadTime_(aMetrics.AddHistogram("crocusslip_load_seconds",
                                    "",
                                    "Time from a load order to its end."))
  , orders_(settings_.orders_)
  , keepAlive_(coordination::LearnedKeepAlive{}, WeekOrigin(aClock))
  , placement_(settings_.placement_, keepAlive_)
{
}

CapacityController::~CapacityController()
{
  Stop();
}

void
CapacityController::Start()
{
  thread_ = std::thread([this] { Run(); });
}

void
CapacityController::Stop()
{
  {
    const std::lock_guard lock(eventsMutex_);
    stopping_ = true;
  }
  eventsReady_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void
CapacityController::Post(coordination::OrderEvent aEvent)
{
  {
    const std::lock_guard lock(eventsMutex_);
    events_.push_back(std::move(aEvent));
  }
  eventsReady_.notify_one();
}

void
CapacityController::ReportDemand(const std::vector<ReportedDemand>& aDemand)
{
  bool urgent = false;
  {
    const std::lock_guard lock(mutex_);
    const core::MonotonicTime now = clock_.Now();
    for (const ReportedDemand& report : aDemand) {
      const coordination::HostDemand& demand = report.demand_;
      demand_.Report(demand, now);
      reported_.insert(demand.deployment_);
      if (report.arrivals_ > 0) {
        NoteUse(demand.deployment_, now);
      }
      if (demand.inFlight_ > 0 || report.arrivals_ > 0) {
        lastUse_[demand.deployment_] = now;
      }
      urgent = urgent || demand.waiting_ > 0;
    }
  }
  if (urgent) {
    {
      const std::lock_guard lock(eventsMutex_);
      wake_ = true;
    }
    eventsReady_.notify_one();
  }
}

void
CapacityController::RenewDemand(const core::HostId& aHost)
{
  const std::lock_guard lock(mutex_);
  demand_.Renew(aHost, clock_.Now());
}

// An adapter runs on its base model, so that its use keeps both loaded.
void
CapacityController::NoteUse(const core::DeploymentId& aDeployment,
                            core::MonotonicTime aNow)
{
  keepAlive_.OnUse(aDeployment, aNow);
  const coordination::CapacityDeployment* deployment =
    view_.Deployment(aDeployment);
  if (deployment != nullptr && deployment->base_) {
    keepAlive_.OnUse(*deployment->base_, aNow);
    lastUse_[*deployment->base_] = aNow;
    reported_.insert(*deployment->base_);
  }
}

void
CapacityController::OnApplied(core::LogIndex aIndex,
                              const state::Command& aCommand,
                              const state::Answer& aAnswer)
{
  const auto* decision = std::get_if<state::DecisionAnswer>(&aAnswer);
  if (decision != nullptr &&
      decision->result_ == state::DecisionResult::Decided) {
    Post(coordination::DecisionApplied{ core::OrderId(aIndex.Value()) });
    return;
  }
  if (std::holds_alternative<state::ObserveOrder>(aCommand)) {
    {
      const std::lock_guard lock(eventsMutex_);
      wake_ = true;
    }
    eventsReady_.notify_one();
  }
}

std::optional<core::Duration>
CapacityController::ReadyIn(const state::ReplicaKey& aKey) const
{
  const std::lock_guard lock(mutex_);
  const auto found = loading_.find(aKey);
  if (found == loading_.end()) {
    return std::nullopt;
  }
  const core::Duration passed = clock_.Now() - found->second.since_;
  return std::max(core::Duration::zero(), found->second.expected_ - passed);
}

void
CapacityController::Run()
{
  std::deque<coordination::OrderEvent> events;
  while (true) {
    {
      std::unique_lock lock(eventsMutex_);
      eventsReady_.wait_for(
        lock, kStep, [this] { return stopping_ || wake_ || !events_.empty(); });
      if (stopping_) {
        return;
      }
      wake_ = false;
      std::ranges::move(events_, std::back_inserter(events));
      events_.clear();
    }
    const core::MonotonicTime now = clock_.Now();
    const std::lock_guard lock(mutex_);
    const coordination::LeadershipStep step = FollowLeadership(now);
    if (step == coordination::LeadershipStep::Paused) {
      continue;
    }
    const bool leads = step == coordination::LeadershipStep::Gained ||
                       step == coordination::LeadershipStep::Leading;
    if (leads) {
      for (const coordination::OrderEvent& event : events) {
        Feed(event, now);
      }
      Step(now);
    }
    events.clear();
  }
}

coordination::LeadershipStep
CapacityController::FollowLeadership(core::MonotonicTime aNow)
{
  const bool leads = group_.MayDecide();
  const core::Term term = group_.Status().term_;
  const coordination::LeadershipStep step = leadership_.Follow(leads, term);
  if (step == coordination::LeadershipStep::Lost) {
    planned_.clear();
    loading_.clear();
    scheduler_.reset();
    Feed(coordination::LeadershipLost{}, aNow);
  } else if (step == coordination::LeadershipStep::Gained) {
    Feed(coordination::LeadershipGained{ term }, aNow);
    orderFollower_.Restart();
    FollowStore();
    FollowServers();
  }
  return step;
}

void
CapacityController::Step(core::MonotonicTime aNow)
{
  FollowSettings();
  servers_.Poll(tree_.Platform(), settings_.scrapeInterval_);
  for (const core::ServerId& server : servers_.Reclaimed()) {
    Feed(coordination::ServerReclaimed{ server }, aNow);
  }
  Feed(coordination::OrderTick{}, aNow);
  FollowReplicas(aNow);
  DecideLoads(aNow);
  StartLoads(aNow);
  if (unloadsNext_ <= aNow) {
    unloadsNext_ = aNow + kUnloadInterval;
    RefreshAllUse(aNow);
    DecideUnloads(aNow);
  }
  ProposeTime(aNow);
}

void
CapacityController::ProposeTime(core::MonotonicTime aNow)
{
  if (timeNext_ > aNow) {
    return;
  }
  timeNext_ = aNow + kTimeInterval;
  const auto wall =
    std::chrono::time_point_cast<state::AgreedDuration>(clock_.WallNow());
  group_.Propose(state::AdvanceTime{ wall }, [](const ProposalResult&) {});
}

bool
CapacityController::InWarmWindow(
  const state::DeploymentSettings& aDeployment) const
{
  const core::WallTime now = clock_.WallNow();
  return std::any_of(aDeployment.warmWindows_.begin(),
                     aDeployment.warmWindows_.end(),
                     [&](const state::WarmWindow& aWindow) {
                       return aWindow.Contains(now, aDeployment.utcOffset_);
                     });
}

void
CapacityController::DecideLoads(core::MonotonicTime aNow)
{
  std::vector<coordination::DeploymentDemand> demand = demand_.Waiting(aNow);
  std::set<core::DeploymentId> demanded;
  for (const coordination::DeploymentDemand& one : demand) {
    demanded.insert(one.deployment_);
  }
  const auto addWarmUp = [&](const core::DeploymentId& aDeployment) {
    if (demanded.insert(aDeployment).second) {
      coordination::DeploymentDemand warmUp;
      warmUp.deployment_ = aDeployment;
      warmUp.waitingSince_ = aNow;
      warmUp.warmUp_ = true;
      demand.push_back(std::move(warmUp));
    }
  };
  for (const core::DeploymentId& id : kept_) {
    const auto settings = tree_.Deployment(id);
    const coordination::CapacityDeployment* capacity = view_.Deployment(id);
    if (!settings || capacity == nullptr) {
      continue;
    }
    const std::uint32_t least = InWarmWindow(*settings)
                                  ? std::max(1U, settings->minReplicas_)
                                  : settings->minReplicas_;
    if (least != capacity->minReplicas_) {
      coordination::CapacityDeployment changed = *capacity;
      changed.minReplicas_ = least;
      view_.SetDeployment(std::move(changed));
    }
    if (view_.ReplicasOf(id).size() < least) {
      addWarmUp(id);
    }
  }
  for (const coordination::WarmUp& warmUp : keepAlive_.DueWarmUps(aNow)) {
    addWarmUp(warmUp.deployment_);
  }
  std::erase_if(planned_, [&](const auto& aItem) {
    const bool unwanted = aItem.second.phase_ == PlannedPhase::Queued &&
                          !demanded.contains(aItem.first.deployment_);
    if (unwanted) {
      scheduler_->Cancel(aItem.first.deployment_, aItem.first.server_);
      view_.RemoveReplica(aItem.first.deployment_, aItem.first.server_);
    }
    return unwanted;
  });
  for (const PlacementDecision& decision :
       placement_.Decide(view_, demand, aNow)) {
    log_.Add(
      clock_.WallNow(), decision.deployment_.Value(), decision.Explain());
    if (decision.action_ == PlacementAction::Load) {
      PlanLoad(decision, aNow);
    } else if (decision.action_ == PlacementAction::Evict) {
      WantUnload(decision, aNow);
    }
  }
}

void
CapacityController::PlanLoad(const PlacementDecision& aDecision,
                             core::MonotonicTime aNow)
{
  const state::ReplicaKey key{ aDecision.deployment_, aDecision.server_ };
  if (!planned_
         .emplace(key, Planned{ PlannedPhase::Queued, aDecision.memory_, aNow })
         .second) {
    return;
  }
  coordination::HeldReplica held;
  held.deployment_ = key.deployment_;
  held.server_ = key.server_;
  held.phase_ = HeldReplicaPhase::Loading;
  held.memory_ = aDecision.memory_;
  held.lastUse_ = aNow;
  held.readyAt_ = aNow + aDecision.expectedLoad_;
  view_.SetReplica(std::move(held));
  const coordination::CapacityDeployment* deployment =
    view_.Deployment(key.deployment_);
  coordination::QueuedLoad load;
  load.deployment_ = key.deployment_;
  load.server_ = key.server_;
  load.class_ =
    ClassOf(aDecision,
            deployment != nullptr &&
              deployment->kind_ == coordination::DeploymentKind::Adapter);
  load.enqueuedAt_ = aNow;
  load.earliestDeadline_ = aDecision.earliestDeadline_;
  load.waiting_ = aDecision.figures_.waiting_;
  load.expected_ = aDecision.expectedLoad_;
  load.additional_ = aDecision.figures_.replicas_ > 0;
  scheduler_->Enqueue(std::move(load));
}

void
CapacityController::StartLoads(core::MonotonicTime aNow)
{
  while (const auto load = scheduler_->NextToStart(aNow)) {
    const state::ReplicaKey key{ load->deployment_, load->server_ };
    const auto planned = planned_.find(key);
    const auto deployment = tree_.Deployment(load->deployment_);
    const auto server = tree_.Server(load->server_);
    if (planned == planned_.end() || !deployment || !server) {
      scheduler_->OnFinish(load->deployment_, load->server_, false, aNow);
      continue;
    }
    planned->second.phase_ = PlannedPhase::Proposed;
    planned->second.since_ = aNow;
    loading_[key] = { aNow, load->expected_ };
    state::DecideLoad decide;
    decide.deployment_ = load->deployment_;
    decide.server_ = load->server_;
    decide.memory_ = planned->second.memory_;
    decide.capacity_ = server->memory_;
    decide.maximumReplicas_ = deployment->maxReplicas_;
    decide.timeout_ =
      std::chrono::ceil<std::chrono::milliseconds>(deployment->orderDeadline_);
    decide.engine_ = ToEngineKind(server->fencing_);
    Feed(coordination::DecisionRequested{ decide }, aNow);
  }
}

void
CapacityController::DecideUnloads(core::MonotonicTime aNow)
{
  for (const PlacementDecision& decision :
       placement_.Unloads(view_, demand_, aNow)) {
    log_.Add(
      clock_.WallNow(), decision.deployment_.Value(), decision.Explain());
    WantUnload(decision, aNow);
  }
}

void
CapacityController::WantUnload(const PlacementDecision& aDecision,
                               core::MonotonicTime aNow)
{
  state::DecideUnload decide;
  decide.deployment_ = aDecision.deployment_;
  decide.server_ = aDecision.server_;
  decide.timeout_ = settings_.orders_.unloadTimeout_;
  Feed(coordination::DecisionRequested{ decide }, aNow);
}

} // namespace crocusslip::control
