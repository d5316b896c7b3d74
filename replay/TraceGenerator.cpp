#include "replay/TraceGenerator.hpp"

#include "replay/UserModel.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace crocusslip::replay {

namespace {

using namespace std::chrono_literals;
using protocol::Trace;
using protocol::TraceEvent;
using protocol::TraceEventKind;
using protocol::TraceRequest;

constexpr std::array<std::string_view, 2> kUserNames = { "haddad",
                                                         "massa-fina" };
constexpr std::array<std::string_view, 8> kScenarioNames = {
  "ordinary-day", "month-end",           "sunday-rush",   "first-requests",
  "slow-store",   "failure-domain-lost", "hosts-leaving", "crashing-request",
};

constexpr core::Duration kDay = 24h;
constexpr core::Duration kWeek = 7 * kDay;
constexpr std::uint32_t kEntryHosts = 9;
constexpr std::uint32_t kSunday = 6;
constexpr std::uint32_t kWednesday = 2;
constexpr double kMonthEndFactor = 10;
constexpr double kRushFactor = 4;
constexpr auto kRushStart = 8h;
constexpr auto kRushEnd = 12h;

core::Duration
FromSeconds(double aSeconds)
{
  return std::chrono::milliseconds(
    static_cast<std::int64_t>(std::round(aSeconds * 1000)));
}

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

class Generator
{
public:
  explicit Generator(const GeneratorSettings& aSettings)
    : settings_(aSettings)
    , random_(aSettings.seed_)
    , model_(MakeUserModel(aSettings.user_, random_))
  {
  }

  Trace Generate();

private:
  bool IsRush() const
  {
    return settings_.scenario_ == TraceScenario::SundayRush ||
           settings_.scenario_ == TraceScenario::FailureDomainLost;
  }
  std::uint32_t MeasuredWeekday() const
  {
    return IsRush() ? kSunday : kWednesday;
  }
  void FillSettings();
  double Factor(core::Duration aTime) const;
  double HourWeight(core::Duration aTime) const;
  void AddTraffic(const DeploymentTraffic& aTraffic);
  void AddRandomSessions(const DeploymentTraffic& aTraffic);
  void AddRegularSessions(const DeploymentTraffic& aTraffic);
  void AddSession(const DeploymentTraffic& aTraffic, core::Duration aStart);
  void AddRequest(const DeploymentTraffic& aTraffic,
                  core::Duration aTime,
                  std::uint32_t aCaller);
  void AddFirstRequests();
  void AddCrashingRequest();
  void AddEvents();
  void AddEvent(const TraceEvent& aEvent) { trace_.events_.push_back(aEvent); }

  GeneratorSettings settings_;
  core::Random random_;
  UserModel model_;
  Trace trace_;
};

void
Generator::FillSettings()
{
  protocol::TraceSettings& settings = trace_.settings_;
  settings.name_ = std::string(Name(settings_.user_)) + " " +
                   std::string(Name(settings_.scenario_));
  settings.made_ = true;
  settings.seed_ = settings_.seed_;
  settings.measureFrom_ = settings_.historyWeeks_ * kWeek +
                          MeasuredWeekday() * kDay +
                          std::chrono::hours(settings_.firstHour_);
  settings.end_ = settings.measureFrom_ + std::chrono::hours(settings_.hours_);
  settings.replayFrom_ = std::max(settings.measureFrom_ - core::Duration(1h),
                                  core::Duration::zero());
  settings.entryHosts_ = kEntryHosts;
  settings.idleCost_ = model_.idleCost_;
  settings.store_ = model_.store_;
  settings.servers_ = model_.servers_;
  settings.deployments_ = model_.deployments_;
}

/// Traffic relative to an ordinary day.
double
Generator::Factor(core::Duration aTime) const
{
  const bool measured = aTime >= trace_.settings_.measureFrom_;
  if (settings_.scenario_ == TraceScenario::MonthEnd && measured) {
    return kMonthEndFactor;
  }
  const core::Duration inWeek = aTime % kWeek;
  const core::Duration inDay = aTime % kDay;
  const bool rush =
    inWeek >= kSunday * kDay && inDay >= kRushStart && inDay < kRushEnd;
  return IsRush() && rush ? kRushFactor : 1.0;
}

double
Generator::HourWeight(core::Duration aTime) const
{
  const auto hour = static_cast<std::size_t>(aTime / 1h % 24);
  const auto weekday = static_cast<std::size_t>(aTime / kDay % 7);
  return model_.hours_.at(hour) * model_.weekdays_.at(weekday);
}

/// Poisson arrivals, thinned to the weight of each hour.
void
Generator::AddRandomSessions(const DeploymentTraffic& aTraffic)
{
  const double highest =
    *std::max_element(model_.hours_.begin(), model_.hours_.end()) *
    *std::max_element(model_.weekdays_.begin(), model_.weekdays_.end()) *
    (settings_.scenario_ == TraceScenario::MonthEnd ? kMonthEndFactor
                                                    : kRushFactor);
  const double meanGap = Seconds(kDay) / (aTraffic.sessionsPerDay_ * highest);
  core::Duration time = FromSeconds(random_.Exponential(meanGap));
  while (time < trace_.settings_.end_) {
    if (random_.Chance(HourWeight(time) * Factor(time) / highest)) {
      AddSession(aTraffic, time);
    }
    time += FromSeconds(random_.Exponential(meanGap));
  }
}

void
Generator::AddRegularSessions(const DeploymentTraffic& aTraffic)
{
  constexpr double kSpreadSeconds = 600;
  constexpr double kHappens = 0.95;
  const bool weekly = aTraffic.pattern_ == UsePattern::Weekly;
  core::Duration day = weekly ? aTraffic.weekday_ * kDay : core::Duration{};
  for (; day < trace_.settings_.end_; day += weekly ? kWeek : kDay) {
    const core::Duration start =
      day + aTraffic.timeOfDay_ +
      FromSeconds((random_.Uniform() * 2 - 1) * kSpreadSeconds);
    const auto sessions =
      static_cast<int>(std::max(1.0, std::sqrt(Factor(start))));
    for (int i = 0; i < sessions; ++i) {
      if (random_.Chance(kHappens)) {
        AddSession(aTraffic, start + i * core::Duration(2min));
      }
    }
  }
}

void
Generator::AddTraffic(const DeploymentTraffic& aTraffic)
{
  switch (aTraffic.pattern_) {
    case UsePattern::Sessions:
    case UsePattern::Plain:
      AddRandomSessions(aTraffic);
      break;
    case UsePattern::Daily:
    case UsePattern::Weekly:
      AddRegularSessions(aTraffic);
      break;
  }
}

void
Generator::AddSession(const DeploymentTraffic& aTraffic, core::Duration aStart)
{
  constexpr std::uint32_t kCallers = 40;
  const auto caller = static_cast<std::uint32_t>(random_.Below(kCallers));
  AddRequest(aTraffic, aStart, caller);
  if (aTraffic.requestsPerSession_ <= 1) {
    return;
  }
  const double more = aTraffic.requestsPerSession_ - 1;
  core::Duration time = aStart;
  while (random_.Chance(more / (more + 1))) {
    time += FromSeconds(random_.Exponential(Seconds(aTraffic.pause_)));
    AddRequest(aTraffic, time, caller);
  }
}

void
Generator::AddRequest(const DeploymentTraffic& aTraffic,
                      core::Duration aTime,
                      std::uint32_t aCaller)
{
  if (aTime >= trace_.settings_.end_) {
    return;
  }
  constexpr double kTokensPerSecond = 40;
  const double work = 0.5 + random_.Uniform();
  TraceRequest request;
  request.time_ = aTime;
  request.deployment_ = aTraffic.id_;
  request.caller_ = core::CallerId("caller" + std::to_string(aCaller + 1));
  request.deadline_ = aTraffic.deadline_;
  request.service_ = FromSeconds(Seconds(aTraffic.service_) * work);
  request.promptTokens_ = static_cast<std::uint32_t>(50 + random_.Below(800));
  request.outputTokens_ = static_cast<std::uint32_t>(
    Seconds(request.service_) * kTokensPerSecond + 1);
  request.entryHost_ = static_cast<std::uint32_t>(random_.Below(kEntryHosts));
  request.idempotent_ = aTraffic.idempotent_;
  trace_.requests_.push_back(std::move(request));
}

/// Every entry host sees a first request for a dozen deployments at once.
void
Generator::AddFirstRequests()
{
  constexpr std::size_t kDeployments = 12;
  const core::Duration start = trace_.settings_.measureFrom_ + 30min;
  for (std::size_t i = 0; i < kDeployments; ++i) {
    const DeploymentTraffic& traffic =
      model_.traffic_[i * model_.traffic_.size() / (kDeployments + 1)];
    for (std::uint32_t host = 0; host < kEntryHosts; ++host) {
      AddRequest(traffic, start + FromSeconds(random_.Uniform() * 0.05), host);
      trace_.requests_.back().entryHost_ = host;
    }
  }
}

void
Generator::AddCrashingRequest()
{
  const auto traffic =
    std::find_if(model_.traffic_.begin(),
                 model_.traffic_.end(),
                 [](const DeploymentTraffic& aOne) {
                   return aOne.pattern_ == UsePattern::Sessions;
                 });
  const core::Duration start = trace_.settings_.measureFrom_ + 45min;
  constexpr int kResends = 6;
  for (int i = 0; i < kResends; ++i) {
    AddRequest(*traffic, start + i * core::Duration(20s), 0);
    trace_.requests_.back().crashes_ = true;
  }
}

void
Generator::AddEvents()
{
  const core::Duration start = trace_.settings_.measureFrom_;
  TraceEvent event;
  switch (settings_.scenario_) {
    case TraceScenario::SlowStore:
      event.kind_ = TraceEventKind::StoreSlowed;
      event.time_ = start + 15min;
      event.factor_ = 4;
      AddEvent(event);
      event.kind_ = TraceEventKind::StoreRestored;
      event.time_ = trace_.settings_.end_ - core::Duration(15min);
      AddEvent(event);
      break;
    case TraceScenario::FailureDomainLost:
      event.kind_ = TraceEventKind::FailureDomainLost;
      event.failureDomain_ = model_.servers_.front().failureDomain_;
      event.time_ = start / kDay * kDay + kRushStart + 30min;
      AddEvent(event);
      break;
    case TraceScenario::HostsLeaving:
      event.kind_ = TraceEventKind::ServerLeaving;
      for (std::size_t i = 0; i < 4; ++i) {
        event.time_ = start + 20min + i * core::Duration(5min);
        event.server_ = model_.servers_[i * 2].id_;
        AddEvent(event);
      }
      break;
    default:
      break;
  }
}

Trace
Generator::Generate()
{
  FillSettings();
  for (const DeploymentTraffic& traffic : model_.traffic_) {
    AddTraffic(traffic);
  }
  if (settings_.scenario_ == TraceScenario::FirstRequests) {
    AddFirstRequests();
  }
  if (settings_.scenario_ == TraceScenario::CrashingRequest) {
    AddCrashingRequest();
  }
  AddEvents();
  std::stable_sort(trace_.requests_.begin(),
                   trace_.requests_.end(),
                   [](const TraceRequest& aLeft, const TraceRequest& aRight) {
                     return aLeft.time_ < aRight.time_;
                   });
  if (settings_.historyWeeks_ == 0) {
    std::erase_if(trace_.requests_, [this](const TraceRequest& aRequest) {
      return aRequest.time_ < trace_.settings_.replayFrom_;
    });
  }
  return std::move(trace_);
}

template<typename Value, std::size_t Size>
std::optional<Value>
FindName(const std::array<std::string_view, Size>& aNames,
         std::string_view aName)
{
  const auto* found = std::find(aNames.begin(), aNames.end(), aName);
  if (found == aNames.end()) {
    return std::nullopt;
  }
  return static_cast<Value>(std::distance(aNames.begin(), found));
}

} // namespace

protocol::Trace
GenerateTrace(const GeneratorSettings& aSettings)
{
  return Generator(aSettings).Generate();
}

std::string_view
Name(TraceUser aUser)
{
  return kUserNames.at(static_cast<std::size_t>(aUser));
}

std::string_view
Name(TraceScenario aScenario)
{
  return kScenarioNames.at(static_cast<std::size_t>(aScenario));
}

std::optional<TraceUser>
FindTraceUser(std::string_view aName)
{
  return FindName<TraceUser>(kUserNames, aName);
}

std::optional<TraceScenario>
FindTraceScenario(std::string_view aName)
{
  return FindName<TraceScenario>(kScenarioNames, aName);
}

} // namespace crocusslip::replay
