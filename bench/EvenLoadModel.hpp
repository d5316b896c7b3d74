#pragma once

#include "admission/FleetLines.hpp"
#include "bench/EvenLoadCounts.hpp"
#include "bench/EvenLoadTypes.hpp"
#include "coordination/BackendView.hpp"
#include "coordination/DispatchQueue.hpp"
#include "coordination/FleetTable.hpp"
#include "core/Durations.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <queue>
#include <string>
#include <vector>

/// Many hosts with old views of shared engines whose pace changes.
namespace crocusslip::bench {

/// A discrete-event model with the product's own FleetTable, BackendView and
/// DispatchQueue; equal settings give equal results.
class EvenLoadModel : private EvenLoadCounts
{
public:
  explicit EvenLoadModel(const EvenLoadSettings& aSettings)
    : settings_(aSettings)
    , random_(aSettings.seed_)
    , servers_(aSettings.servers_)
  {
    MakeServers();
    for (std::uint32_t i = 0; i < settings_.hosts_; ++i) {
      hosts_.emplace_back(i);
      Push(RandomTime(settings_.reportInterval_), Kind::Report, i);
      Push(NextArrival(kStart), Kind::Arrive, i);
    }
    Push(kStart, Kind::Tick, 0);
  }

  EvenLoadResult Run()
  {
    const core::MonotonicTime end =
      kStart + settings_.warmUp_ + settings_.length_;
    while (events_.top().at_ < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at_;
      Handle(event);
    }
    return Summary(servers_, settings_.slowEvery_);
  }

private:
  static constexpr core::MonotonicTime kStart{ std::chrono::hours(1) };
  static constexpr std::chrono::milliseconds kTickTime{ 50 };
  static constexpr std::chrono::milliseconds kLongestPause{ 300 };
  static constexpr std::chrono::seconds kJudgeTime{ 1 };
  static constexpr std::chrono::milliseconds kLatencyTarget{ 1000 };
  static constexpr double kTokensPerMs = 20;
  static constexpr double kStepGrowthMs = 0.25;
  static constexpr std::uint32_t kMaxTurnedAway = 5;

  enum class Kind : std::uint8_t
  {
    Arrive,
    Report,
    FirstEvent,
    Finish,
    Again,
    Tick,
  };
  struct Event
  {
    core::MonotonicTime at_;
    Kind kind_ = Kind::Arrive;
    /// Host or request.
    std::uint32_t subject_ = 0;
    friend bool operator>(const Event& aLeft, const Event& aRight)
    {
      return aLeft.at_ > aRight.at_;
    }
  };
  static core::ServerId NameOf(std::uint32_t aServer)
  {
    return core::ServerId("s" + std::to_string(aServer));
  }
  static core::ModelName ModelOf(std::uint32_t aModel)
  {
    return core::ModelName("m" + std::to_string(aModel));
  }
  static core::Duration FromMs(double aMs)
  {
    return core::Duration(static_cast<std::int64_t>(aMs * 1e6));
  }

  void Push(core::MonotonicTime aAt, Kind aKind, std::uint32_t aSubject)
  {
    events_.push({ aAt, aKind, aSubject });
  }
  core::MonotonicTime RandomTime(core::Duration aWithin)
  {
    return kStart + FromMs(random_.Uniform() * core::Seconds(aWithin) * 1e3);
  }
  core::MonotonicTime NextArrival(core::MonotonicTime aNow)
  {
    return aNow + FromMs(random_.Exponential(1e3 / settings_.requestsPerHost_));
  }
  bool Measured() const { return now_ >= kStart + settings_.warmUp_; }
  bool IsSlow(std::uint32_t aServer) const
  {
    return settings_.slowEvery_ > 0 && aServer % settings_.slowEvery_ == 0;
  }

  /// Two models for each server; popular ones have more holders.
  void MakeServers()
  {
    std::vector<std::uint32_t> places;
    for (std::uint32_t model = 0; model < settings_.models_; ++model) {
      popularity_.push_back(0.4 + 1.2 * random_.Uniform());
      const double holders =
        popularity_.back() * 2 * settings_.servers_ / settings_.models_;
      const auto count = std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(std::lround(holders)));
      places.insert(places.end(), count, model);
    }
    std::vector<coordination::ListedServer> list;
    for (std::uint32_t i = 0; i < settings_.servers_; ++i) {
      servers_[i].stepMs_ = 6.8 + 2.2 * random_.Uniform();
      servers_[i].meanPace_ = IsSlow(i) ? settings_.slowPace_ : 1;
      coordination::ListedServer listed;
      listed.server_ = NameOf(i);
      listed.service_ = service_;
      listed.slots_ = settings_.slots_;
      list.push_back(listed);
    }
    table_.OnList(list, kStart);
    std::vector<std::set<core::ModelName>> models(settings_.servers_);
    for (std::uint32_t i = 0; !places.empty(); ++i) {
      const auto place = random_.Below(places.size());
      models[i % settings_.servers_].insert(ModelOf(places[place]));
      places.erase(places.begin() + static_cast<std::ptrdiff_t>(place));
    }
    for (std::uint32_t i = 0; i < settings_.servers_; ++i) {
      table_.SetModels(NameOf(i), models[i]);
      table_.SetTokenCapacity(NameOf(i), 78'000);
    }
    for (const double weight : popularity_) {
      allPopularity_ += weight;
    }
  }

  void Handle(const Event& aEvent)
  {
    switch (aEvent.kind_) {
      case Kind::Arrive:
        OnArrive(aEvent.subject_);
        break;
      case Kind::Report:
        OnReport(aEvent.subject_);
        break;
      case Kind::FirstEvent:
        OnFirstEvent(aEvent.subject_);
        break;
      case Kind::Finish:
        OnFinish(aEvent.subject_);
        break;
      case Kind::Again:
        Enqueue(aEvent.subject_);
        break;
      case Kind::Tick:
        OnTick();
        break;
    }
  }

  std::uint32_t DrawModel()
  {
    double drawn = random_.Uniform() * allPopularity_;
    std::uint32_t model = 0;
    while (model + 1 < settings_.models_ && drawn >= popularity_[model]) {
      drawn -= popularity_[model++];
    }
    return model;
  }

  void OnArrive(std::uint32_t aHost)
  {
    EvenLoadRequest request;
    request.host_ = aHost;
    request.arrivedAt_ = now_;
    request.answerTokens_ = 50 + static_cast<std::uint32_t>(random_.Below(360));
    request.need_.service_ = service_;
    request.need_.model_ = ModelOf(DrawModel());
    request.need_.promptTokens_ = 600 + random_.Below(1600);
    request.need_.tokens_ = request.need_.promptTokens_ + request.answerTokens_;
    request.need_.longestPause_ = kLongestPause;
    request.rank_ = static_cast<std::uint32_t>(random_.Below(2));
    asked_.at(request.rank_) += Measured() ? 1 : 0;
    requests_.push_back(request);
    Enqueue(static_cast<std::uint32_t>(requests_.size() - 1));
    Push(NextArrival(now_), Kind::Arrive, aHost);
  }

  void Enqueue(std::uint32_t aRequest)
  {
    EvenLoadRequest& request = requests_[aRequest];
    EvenLoadHost& host = hosts_[request.host_];
    SetElsewhere(host, request.need_, request.rank_);
    const auto id =
      host.queue_.Add({ request.need_,
                        request.rank_,
                        request.arrivedAt_,
                        request.arrivedAt_ + settings_.patience_,
                        request.arrivedAt_ + kLatencyTarget / 2 });
    host.waiting_[id] = aRequest;
    Assign(request.host_);
  }

  void Assign(std::uint32_t aHost)
  {
    EvenLoadHost& host = hosts_[aHost];
    for (const auto& grant : host.queue_.Assign(host.view_, now_, random_)) {
      const auto found = host.waiting_.find(grant.id_);
      const std::uint32_t request = found->second;
      host.waiting_.erase(found);
      ++host.begun_[requests_[request].need_.model_];
      Send(request, grant.choice_);
    }
    std::erase_if(host.waiting_, [&](const auto& aEntry) {
      const EvenLoadRequest& request = requests_[aEntry.second];
      const bool late = now_ > request.arrivedAt_ + settings_.patience_;
      const bool early = !late && CannotBegin(host, request);
      if (late || early) {
        host.queue_.Remove(aEntry.first);
        Refuse(request, early);
      }
      return late || early;
    });
  }

  bool CannotBegin(const EvenLoadHost& aHost,
                   const EvenLoadRequest& aRequest) const
  {
    const core::Duration age = now_ - aRequest.arrivedAt_;
    if (!settings_.refusesEarly_ || age > kJudgeTime ||
        aRequest.turnedAway_ > 0) {
      return false;
    }
    const auto ahead =
      std::ranges::count_if(aHost.waiting_, [&](const auto& aEntry) {
        const EvenLoadRequest& other = requests_[aEntry.second];
        return other.need_.model_ == aRequest.need_.model_ &&
               std::pair(other.rank_, other.arrivedAt_) <
                 std::pair(aRequest.rank_, aRequest.arrivedAt_);
      });
    return !aHost.lines_
              .Judge(aRequest.need_.model_,
                     aRequest.rank_,
                     static_cast<std::uint32_t>(ahead),
                     settings_.patience_ - age,
                     std::nullopt,
                     now_)
              .canBegin_;
  }

  void Refuse(const EvenLoadRequest& aRequest, bool aEarly)
  {
    if (Measured()) {
      ++(aEarly ? refusedEarly_ : givenUp_);
      refusalMs_ += core::Seconds(now_ - aRequest.arrivedAt_) * 1e3;
    }
  }

  void SetElsewhere(const EvenLoadHost& aHost,
                    coordination::BackendRequirements& aNeed,
                    std::uint32_t aRank) const
  {
    aNeed.moreUrgentElsewhere_ =
      aHost.lines_.MoreUrgentElsewhere(aNeed.model_, aRank, now_);
    aNeed.waitingElsewhere_ = aHost.lines_.WaitingElsewhere(aNeed.model_, now_);
  }

  /// What the gateway and the leader tell each other of lines.
  void ExchangeLines(EvenLoadHost& aHost)
  {
    std::map<core::ModelName, admission::HostLine> report;
    for (const auto& [id, request] : aHost.waiting_) {
      report[requests_[request].need_.model_].line_.AddWaiting(
        requests_[request].rank_);
    }
    for (const auto& [model, inFlight] : aHost.inFlight_) {
      report[model].line_.inFlight_ = inFlight;
    }
    for (const auto& [model, begun] : std::exchange(aHost.begun_, {})) {
      report[model].begun_ = begun;
    }
    fleetLines_.OnReport(aHost.id_, std::move(report), now_);
    fleetLines_.Expire(now_);
    aHost.lines_.OnLines(fleetLines_.LinesFor(aHost.id_, now_), now_);
    aHost.queue_.Update([&](coordination::QueuedRequest& aOne) {
      SetElsewhere(aHost, aOne.need_, aOne.priority_);
    });
  }

  void Sight(const EvenLoadRequest& aRequest)
  {
    if (!settings_.namesPace_) {
      return;
    }
    const EvenLoadServer& server = servers_[aRequest.server_];
    hosts_[aRequest.host_].view_.OnLoadSighting(
      NameOf(aRequest.server_),
      { server.running_,
        static_cast<std::uint32_t>(server.line_.size()),
        settings_.slots_,
        static_cast<std::uint32_t>(100 * server.pace_),
        now_ });
  }

  void Send(std::uint32_t aRequest, const coordination::BackendChoice& aChoice)
  {
    EvenLoadRequest& request = requests_[aRequest];
    request.server_ =
      static_cast<std::uint32_t>(std::stoul(aChoice.server_.Value().substr(1)));
    EvenLoadServer& server = servers_[request.server_];
    if (Measured()) {
      ++server.arrivals_;
      ++arrivals_;
      if (aChoice.estimate_) {
        const double error = aChoice.estimate_->inFlight_ - server.InFlight();
        squaredErrors_ += error * error;
        ++estimates_;
      }
    }
    const bool runs = server.running_ < settings_.slots_;
    if (runs || server.line_.size() < settings_.line_) {
      request.sentAt_ = now_;
      ++hosts_[request.host_].inFlight_[request.need_.model_];
    }
    if (runs) {
      Begin(aRequest);
      return;
    }
    if (server.line_.size() < settings_.line_) {
      server.line_.push_back(aRequest);
      return;
    }
    turnedAway_ += Measured() ? 1 : 0;
    Sight(request);
    auto& view = hosts_[request.host_].view_;
    view.OnPrefillDone(aChoice.server_, request.need_.promptTokens_);
    view.OnFinish(aChoice.server_,
                  request.need_.tokens_,
                  coordination::SendOutcome::Refused,
                  now_);
    request.need_.tried_.insert(aChoice.server_);
    if (++request.turnedAway_ > kMaxTurnedAway) {
      Refuse(request, false);
      return;
    }
    if (view.Choose(request.need_, now_, random_).status_ ==
        coordination::BackendChoiceStatus::NoModel) {
      request.need_.tried_.clear();
    }
    Push(now_ + std::chrono::milliseconds(10U << request.turnedAway_),
         Kind::Again,
         aRequest);
  }

  void Begin(std::uint32_t aRequest)
  {
    const EvenLoadRequest& request = requests_[aRequest];
    EvenLoadServer& server = servers_[request.server_];
    ++server.running_;
    const double eventMs =
      5 * (server.stepMs_ + kStepGrowthMs * server.running_) * server.pace_;
    const double readMs = static_cast<double>(request.need_.promptTokens_) /
                          kTokensPerMs * server.pace_;
    server.readingUntil_ =
      std::max(server.readingUntil_, now_) + FromMs(readMs);
    if (Measured() && server.running_ > 1 &&
        server.readingUntil_ - now_ + FromMs(eventMs) > kLongestPause) {
      longPauses_ += server.running_ - 1;
    }
    Push(server.readingUntil_ + FromMs(eventMs), Kind::FirstEvent, aRequest);
  }

  void OnFirstEvent(std::uint32_t aRequest)
  {
    const EvenLoadRequest& request = requests_[aRequest];
    const EvenLoadServer& server = servers_[request.server_];
    if (request.arrivedAt_ >= kStart + settings_.warmUp_) {
      const core::Duration time = now_ - request.arrivedAt_;
      firstMs_.push_back(core::Seconds(time) * 1e3);
      inTime_.at(request.rank_) += time <= settings_.patience_ ? 1 : 0;
    }
    Sight(request);
    hosts_[request.host_].view_.OnPrefillDone(NameOf(request.server_),
                                              request.need_.promptTokens_);
    // The pace of the rest is the mean: it changes many times in a run.
    const double tokenMs =
      (server.stepMs_ + kStepGrowthMs * server.running_) * server.meanPace_;
    Push(
      now_ + FromMs(tokenMs * request.answerTokens_), Kind::Finish, aRequest);
    Assign(request.host_);
  }

  void OnFinish(std::uint32_t aRequest)
  {
    const EvenLoadRequest request = requests_[aRequest];
    EvenLoadServer& server = servers_[request.server_];
    --server.running_;
    EvenLoadHost& host = hosts_[request.host_];
    host.lines_.OnRun(now_ - request.sentAt_);
    --host.inFlight_[request.need_.model_];
    if (!server.line_.empty()) {
      const std::uint32_t next = server.line_.front();
      server.line_.pop_front();
      Begin(next);
    }
    hosts_[request.host_].view_.OnFinish(NameOf(request.server_),
                                         request.need_.tokens_,
                                         coordination::SendOutcome::Served,
                                         now_);
    Assign(request.host_);
  }

  void OnReport(std::uint32_t aHost)
  {
    Push(now_ + settings_.reportInterval_, Kind::Report, aHost);
    EvenLoadHost& host = hosts_[aHost];
    if (settings_.leaderLostAt_ && now_ > kStart + *settings_.leaderLostAt_) {
      Assign(aHost);
      return;
    }
    std::map<core::ServerId, coordination::HostUsage> uses;
    for (const auto& [id, use] : host.view_.TakeUsage()) {
      coordination::HostUsage& out = uses[id];
      out.inFlight_ = use.inFlight_;
      out.tokens_ = use.tokens_;
      out.successes_ = use.successes_;
      out.prefillTokens_ = use.prefillTokens_;
      if (use.load_) {
        table_.OnLoadSighting(id, *use.load_);
      }
    }
    table_.OnUsage(host.id_, uses, now_);
    table_.Expire(now_);
    if (settings_.refusesEarly_) {
      ExchangeLines(host);
    }
    const auto rows = table_.RowsFor(host.id_, host.seen_);
    if (Measured()) {
      rows_ += rows.size();
      ++replies_;
    }
    for (const coordination::BackendRow& row : rows) {
      host.view_.Update(row);
    }
    host.seen_ = table_.Version();
    host.view_.OnControlContact(settings_.hosts_, now_);
    Assign(aHost);
  }

  void OnTick()
  {
    double total = 0;
    double greatest = 0;
    for (EvenLoadServer& server : servers_) {
      // The pace returns to its mean within some steps.
      server.pace_ += 0.3 * (server.meanPace_ - server.pace_) +
                      0.25 * server.meanPace_ * (random_.Uniform() - 0.5);
      server.pace_ = std::clamp(server.pace_, 0.5, 4.0);
      total += server.InFlight();
      greatest = std::max<double>(greatest, server.InFlight());
    }
    if (Measured() && total > 0) {
      ratios_ += greatest * settings_.servers_ / total;
      ++ticks_;
    }
    Push(now_ + kTickTime, Kind::Tick, 0);
  }

  const coordination::ServiceName service_{ "llm" };
  EvenLoadSettings settings_;
  core::Random random_;
  core::MonotonicTime now_ = kStart;
  coordination::FleetTable table_;
  std::vector<EvenLoadServer> servers_;
  std::deque<EvenLoadHost> hosts_;
  std::vector<double> popularity_;
  double allPopularity_ = 0;
  std::deque<EvenLoadRequest> requests_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  admission::FleetLines fleetLines_;
};

} // namespace crocusslip::bench
