#pragma once

#include "admission/QuotaGate.hpp"
#include "admission/QuotaLedger.hpp"
#include "bench/QuotaModelSettings.hpp"
#include "coordination/ReportTimes.hpp"
#include "core/Durations.hpp"
#include "core/Random.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocusslip::bench {

using namespace std::chrono_literals;

/// Hosts, the leader and callers of some tenants, without network or threads.
class QuotaModel
{
public:
  explicit QuotaModel(QuotaModelSettings aSettings)
    : settings_(std::move(aSettings))
    , random_(settings_.seed_)
    , ledger_(std::make_unique<admission::QuotaLedger>(settings_.bound_))
  {
  }

  QuotaModelResult Run()
  {
    const std::uint32_t all = settings_.hosts_ + settings_.addHosts_;
    for (std::uint32_t i = 0; i < all; ++i) {
      hosts_.emplace_back(std::make_unique<Host>());
      Host& host = *hosts_.back();
      host.id_ = core::HostId("h" + std::to_string(i));
      host.quota_ = QuotasOf();
      host.from_ = i < settings_.hosts_ ? kBegin : At(settings_.addAt_);
      const core::Duration phase = Scaled(600ms, random_.Uniform());
      Post(host.from_ + phase, [this, &host] { Report(host); });
    }
    for (std::size_t i = 0; i < settings_.tenants_.size(); ++i) {
      runs_.emplace_back();
      Post(kBegin, [this, i] { Arrive(i); });
    }
    ledger_->SetLimits(QuotasOf());
    if (settings_.leaderDiesAt_.count() >= 0) {
      Post(At(settings_.leaderDiesAt_), [this] { ledger_.reset(); });
      Post(At(settings_.leaderDiesAt_ + settings_.leaderGap_), [this] {
        ledger_ = std::make_unique<admission::QuotaLedger>(settings_.bound_);
        ledger_->SetLimits(QuotasOf());
      });
    }
    if (settings_.changeAt_.count() >= 0) {
      Post(At(settings_.changeAt_), [this] {
        for (QuotaModelTenant& tenant : settings_.tenants_) {
          tenant.quota_.perSecond_ *= settings_.change_;
          tenant.quota_.burst_ *= settings_.change_;
          // Callers send what they sent before.
          tenant.use_ /= settings_.change_;
        }
        if (ledger_) {
          ledger_->SetLimits(QuotasOf());
        }
      });
    }
    const core::MonotonicTime end = kBegin + settings_.time_;
    while (!events_.empty() && events_.begin()->first < end) {
      now_ = events_.begin()->first;
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    Judge();
    const double hostSeconds =
      static_cast<double>(settings_.hosts_) * core::Seconds(settings_.time_);
    result_.leaderMicros_ =
      1e6 * core::Seconds(leaderTime_) /
      static_cast<double>(std::max<std::uint64_t>(1, messages_));
    result_.messagesPerHost_ = static_cast<double>(messages_) / hostSeconds;
    result_.entriesPerHost_ = static_cast<double>(entries_) / hostSeconds;
    return result_;
  }

private:
  using Millis = std::chrono::milliseconds;
  static constexpr core::MonotonicTime kBegin{ std::chrono::hours(1) };
  static constexpr std::chrono::milliseconds kClumpTime{ 60 };
  static constexpr std::chrono::milliseconds kLongestWait{ 1000 };

  struct Host
  {
    core::HostId id_;
    core::MonotonicTime from_;
    admission::QuotaGate gate_;
    /// As of its table.
    std::map<admission::TenantName, admission::Quota> quota_;
    std::uint32_t knownHosts_ = 0;
    bool reporting_ = false;
    core::MonotonicTime answeredAt_;
    /// Requests that wait: tenant and cost.
    std::map<std::uint64_t, std::pair<std::size_t, double>> waiting_;
    std::uint64_t nextReport_ = 0;
    /// Baselines.
    std::vector<double> level_;
    std::vector<core::MonotonicTime> levelAt_;
    std::vector<bool> exhausted_;
  };

  struct RunRecord
  {
    core::MonotonicTime at_;
    double units_ = 0;
  };

  static core::MonotonicTime At(Millis aTime) { return kBegin + aTime; }
  static core::Duration Scaled(core::Duration aTime, double aFactor)
  {
    return core::Duration(static_cast<core::Duration::rep>(
      static_cast<double>(aTime.count()) * aFactor));
  }
  static admission::TenantName NameOf(std::size_t aTenant)
  {
    return admission::TenantName("t" + std::to_string(aTenant));
  }
  std::map<admission::TenantName, admission::Quota> QuotasOf() const
  {
    std::map<admission::TenantName, admission::Quota> quotas;
    for (std::size_t i = 0; i < settings_.tenants_.size(); ++i) {
      quotas[NameOf(i)] = settings_.tenants_[i].quota_;
    }
    return quotas;
  }
  void Post(core::MonotonicTime aAt, std::function<void()> aEvent)
  {
    events_.emplace(aAt, std::move(aEvent));
  }
  bool IsCut(const Host& aHost) const
  {
    if (settings_.cutAt_.count() < 0 || now_ < At(settings_.cutAt_) ||
        now_ >= At(settings_.cutAt_ + settings_.cutTime_)) {
      return false;
    }
    const auto index =
      std::ranges::find_if(
        hosts_, [&](const auto& aOther) { return aOther.get() == &aHost; }) -
      hosts_.begin();
    return index < settings_.cutHosts_;
  }

  void Arrive(std::size_t aTenant)
  {
    const QuotaModelTenant& tenant = settings_.tenants_[aTenant];
    const bool jumped =
      settings_.jumpAt_.count() >= 0 && now_ >= At(settings_.jumpAt_);
    const double perSecond = tenant.use_ * (jumped ? tenant.jump_ : 1) *
                             tenant.quota_.perSecond_ / tenant.meanCost_;
    const core::Duration gap =
      Scaled(1s, random_.Exponential(settings_.clump_ / perSecond));
    core::MonotonicTime next = now_ + gap;
    // The rate changes in one instant.
    if (!jumped && settings_.jumpAt_.count() >= 0 &&
        next > At(settings_.jumpAt_)) {
      next = At(settings_.jumpAt_);
    } else {
      Clump(aTenant);
    }
    Post(next, [this, aTenant] { Arrive(aTenant); });
  }

  void Clump(std::size_t aTenant)
  {
    const auto present = static_cast<std::uint64_t>(std::ranges::count_if(
      hosts_, [&](const auto& aHost) { return aHost->from_ <= now_; }));
    Host& host = *hosts_.at(random_.Below(present));
    std::uint32_t size = 1;
    while (random_.Chance(1 - 1 / settings_.clump_) && size < 12) {
      ++size;
    }
    const QuotaModelTenant& tenant = settings_.tenants_[aTenant];
    for (std::uint32_t i = 0; i < size; ++i) {
      const double cost =
        tenant.quota_.unit_ == admission::QuotaUnit::Requests
          ? 1
          : std::floor(tenant.meanCost_ * (0.25 + 1.5 * random_.Uniform()));
      core::MonotonicTime at =
        now_ +
        (i == 0 ? core::Duration(0) : Scaled(kClumpTime, random_.Uniform()));
      Post(at, [this, &host, aTenant, cost] { Request(host, aTenant, cost); });
    }
  }

  void Request(Host& aHost, std::size_t aTenant, double aCost)
  {
    if (settings_.frozen_ && IsCut(aHost)) {
      Post(At(settings_.cutAt_ + settings_.cutTime_),
           [=, this, &aHost] { Request(aHost, aTenant, aCost); });
      return;
    }
    ++result_.requests_;
    if (settings_.policy_ != QuotaPolicy::Ledger) {
      if (TakeBaseline(aHost, aTenant, aCost)) {
        Start(aHost, aTenant, aCost);
      } else {
        Refuse(aTenant, aCost);
      }
      return;
    }
    const std::uint64_t id = ++lastId_;
    const auto verdict = aHost.gate_.Take(
      NameOf(aTenant), aHost.quota_[NameOf(aTenant)], id, aCost, now_, random_);
    if (verdict == admission::QuotaGate::Verdict::Admitted) {
      Start(aHost, aTenant, aCost);
    } else if (verdict == admission::QuotaGate::Verdict::Refused) {
      Refuse(aTenant, aCost);
    } else {
      ++result_.waited_;
      aHost.waiting_[id] = { aTenant, aCost };
      Post(now_ + kLongestWait, [this, &aHost, id, aTenant, aCost] {
        if (aHost.waiting_.erase(id) == 0) {
          return;
        }
        if (aHost.gate_.Expire(NameOf(aTenant), id, now_)) {
          Start(aHost, aTenant, aCost);
        } else {
          Refuse(aTenant, aCost);
        }
      });
    }
    if (aHost.gate_.NeedsReport()) {
      ReportSoon(aHost);
    }
  }

  bool TakeBaseline(Host& aHost, std::size_t aTenant, double aCost)
  {
    if (settings_.policy_ == QuotaPolicy::FreeRunning) {
      return aHost.exhausted_.size() <= aTenant || !aHost.exhausted_[aTenant];
    }
    const admission::Quota& quota = settings_.tenants_[aTenant].quota_;
    aHost.level_.resize(settings_.tenants_.size(), -1);
    aHost.levelAt_.resize(settings_.tenants_.size(), now_);
    double& level = aHost.level_[aTenant];
    const double hosts = settings_.hosts_;
    const double most = std::max(quota.burst_ / hosts, aCost);
    level =
      level < 0
        ? most
        : std::min(most,
                   level + quota.perSecond_ / hosts *
                             core::Seconds(now_ - aHost.levelAt_[aTenant]));
    aHost.levelAt_[aTenant] = now_;
    if (level < aCost) {
      return false;
    }
    level -= aCost;
    return true;
  }

  void Start(Host& aHost, std::size_t aTenant, double aCost)
  {
    const core::MonotonicTime at =
      now_ + Scaled(settings_.serverWait_, random_.Uniform());
    Post(at, [this, &aHost, aTenant, aCost] {
      aHost.gate_.OnSent(NameOf(aTenant), aCost, now_);
      runs_[aTenant].push_back({ now_, aCost });
    });
  }

  double UnitsInWindow(std::size_t aTenant) const
  {
    double units = 0;
    const auto& runs = runs_[aTenant];
    for (auto run = runs.rbegin();
         run != runs.rend() && run->at_ > now_ - settings_.bound_.window_;
         ++run) {
      units += run->units_;
    }
    return units;
  }

  void Refuse(std::size_t aTenant, double aCost)
  {
    if (now_ < At(settings_.judgeFrom_)) {
      return;
    }
    ++result_.refused_;
    const admission::Quota& quota = settings_.tenants_[aTenant].quota_;
    if (UnitsInWindow(aTenant) + aCost <=
        quota.perSecond_ * core::Seconds(settings_.bound_.window_) +
          quota.burst_) {
      ++result_.wronglyRefused_;
    }
  }

  void ReportSoon(Host& aHost)
  {
    if (aHost.reporting_) {
      return;
    }
    const auto times = coordination::ReportTimesFor(settings_.hosts_, false);
    const std::uint64_t number = ++aHost.nextReport_;
    Post(std::max(now_, aHost.answeredAt_ + times.minPause_),
         [this, &aHost, number] {
           if (aHost.nextReport_ == number) {
             Report(aHost);
           }
         });
  }

  void Report(Host& aHost)
  {
    if (aHost.reporting_) {
      return;
    }
    if (settings_.frozen_ && IsCut(aHost)) {
      Post(At(settings_.cutAt_ + settings_.cutTime_),
           [this, &aHost] { Report(aHost); });
      return;
    }
    aHost.reporting_ = true;
    const auto uses = aHost.gate_.TakeReport(now_);
    const bool complete = aHost.gate_.ReportIsComplete();
    const core::Duration way = Scaled(15ms, 0.3 + random_.Uniform());
    Post(now_ + way, [this, &aHost, uses, complete, way] {
      if (!ledger_ || IsCut(aHost)) {
        // The connection fails, or its call times out.
        Post(now_ + Scaled(600ms, random_.Uniform()), [this, &aHost] {
          aHost.reporting_ = false;
          Report(aHost);
        });
        return;
      }
      const auto begin = std::chrono::steady_clock::now();
      ledger_->OnReport(aHost.id_, 1, complete, aHost.knownHosts_, uses, now_);
      const auto grants = ledger_->Grant(aHost.id_, now_);
      leaderTime_ += std::chrono::steady_clock::now() - begin;
      ++messages_;
      entries_ += uses.size() + grants.size();
      Post(now_ + way, [this, &aHost, grants] { OnReply(aHost, grants); });
    });
  }

  void OnReply(
    Host& aHost,
    const std::map<admission::TenantName, admission::QuotaGrant>& aGrants)
  {
    if (settings_.frozen_ && IsCut(aHost)) {
      Post(At(settings_.cutAt_ + settings_.cutTime_),
           [=, this, &aHost] { OnReply(aHost, aGrants); });
      return;
    }
    aHost.reporting_ = false;
    aHost.answeredAt_ = now_;
    aHost.knownHosts_ = settings_.hosts_;
    aHost.quota_ = QuotasOf();
    aHost.exhausted_.resize(settings_.tenants_.size());
    for (std::size_t i = 0; i < settings_.tenants_.size(); ++i) {
      const admission::Quota& quota = settings_.tenants_[i].quota_;
      aHost.exhausted_[i] =
        settings_.policy_ == QuotaPolicy::FreeRunning &&
        UnitsInWindow(i) >=
          quota.perSecond_ * core::Seconds(settings_.bound_.window_) +
            quota.burst_;
    }
    for (const auto& [id, verdict] : aHost.gate_.OnReply(aGrants, now_)) {
      const auto waiting = aHost.waiting_.extract(id);
      const auto [tenant, cost] = waiting.mapped();
      if (verdict == admission::QuotaGate::Verdict::Admitted) {
        Start(aHost, tenant, cost);
      } else {
        Refuse(tenant, cost);
      }
    }
    const auto times = coordination::ReportTimesFor(settings_.hosts_, false);
    const std::uint64_t number = ++aHost.nextReport_;
    Post(now_ + times.pause_, [this, &aHost, number] {
      if (aHost.nextReport_ == number) {
        Report(aHost);
      }
    });
    if (aHost.gate_.NeedsReport()) {
      ReportSoon(aHost);
    }
  }

  /// A lowered limit binds one window after all hosts have it.
  void Judge()
  {
    for (std::size_t i = 0; i < runs_.size(); ++i) {
      const admission::Quota& quota = settings_.tenants_[i].quota_;
      const double most =
        (quota.perSecond_ * core::Seconds(settings_.bound_.window_) +
         quota.burst_) *
          (1 + settings_.bound_.overshoot_) +
        (quota.unit_ == admission::QuotaUnit::Tokens ? settings_.bound_.slack_
                                                     : 0);
      const core::MonotonicTime from =
        settings_.changeAt_.count() < 0 ? kBegin : At(settings_.changeAt_ + 1s);
      double units = 0;
      std::deque<RunRecord> window;
      for (const RunRecord& run : runs_[i]) {
        if (run.at_ < from) {
          continue;
        }
        units += run.units_;
        window.push_back(run);
        while (window.front().at_ <= run.at_ - settings_.bound_.window_) {
          units -= window.front().units_;
          window.pop_front();
        }
        if (units / most > result_.peak_) {
          result_.peak_ = units / most;
          result_.peakTenant_ = i;
          result_.peakAt_ = run.at_ - kBegin;
        }
      }
    }
  }

  QuotaModelSettings settings_;
  core::Random random_;
  core::MonotonicTime now_ = kBegin;
  std::multimap<core::MonotonicTime, std::function<void()>> events_;
  /// Null while there is no leader.
  std::unique_ptr<admission::QuotaLedger> ledger_;
  std::vector<std::unique_ptr<Host>> hosts_;
  /// By tenant, in the order of time.
  std::vector<std::vector<RunRecord>> runs_;
  std::uint64_t lastId_ = 0;
  std::uint64_t messages_ = 0;
  std::uint64_t entries_ = 0;
  core::Duration leaderTime_{ 0 };
  QuotaModelResult result_;
};

} // namespace crocusslip::bench
