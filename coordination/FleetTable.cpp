#include "coordination/FleetTable.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Time without a report after which a host is removed.
constexpr std::chrono::milliseconds kHostTimeout{ 2500 };
/// Time for which rows of Gone servers are kept, for hosts that lag behind.
constexpr std::chrono::seconds kGoneRetention{ 20 };
/// Smallest changes of load that are published to hosts: in requests, and
/// relative to the published load. The larger one applies.
constexpr std::uint32_t kMinRequestChange = 2;
/// The same for a server that names its pace: its few places are chosen by.
constexpr std::uint32_t kMinPacedRequestChange = 1;
constexpr double kMinRelativeChange = 0.15;
/// Prompt tokens after which older speed samples count half.
constexpr double kSpeedHalfLifeTokens = 40'000;
/// Prompt tokens' worth of the service's mean speed that is mixed into each
/// server's samples, since few samples are unreliable.
constexpr double kSpeedPriorTokens = 3'000;
/// Smallest number of requests, and smallest variance of their tokens relative
/// to the squared mean, for which the time to the first stream event is split
/// into a constant and a part per token.
constexpr double kMinRunsToFit = 30;
constexpr double kMinSpreadToFit = 0.05;
/// Lower bounds of the fitted time per token: relative to the mean, and
/// absolute in microseconds.
constexpr double kMinSlopeShare = 0.25;
constexpr double kMinTokenMicros = 1;
/// Smallest change of prompt tokens in prefill that is published to hosts.
constexpr double kMinUnreadChange = 1500;
/// Intervals of work that iterates over all servers; doing it on each report
/// would be too costly, since hundreds arrive per second, from hundreds of
/// hosts.
constexpr std::chrono::milliseconds kCompareInterval{ 250 };
constexpr std::chrono::milliseconds kPublishInterval{ 250 };
/// Smallest change of slowness that is published to hosts.
constexpr double kMinSlownessChange = 0.1;
/// Half-life of the counts of reported failures and successes.
constexpr double kFailureHalfLifeS = 3;
/// Share of failed answers, and number of them, from which a server is suspect.
constexpr double kMinSuspectShare = 0.2;
constexpr double kMinSuspectFailures = 2;
/// Up to this many hosts, all are sent each urgent change at once. With more,
/// the leader could do little else.
constexpr std::size_t kMaxHostsNotified = 16;

/// Microseconds until the first stream event: a constant, and a part per prompt
/// token.
struct PromptTime
{
  double constant_ = 0;
  double perToken_ = 0;
};

// Fits a line by least squares to the runs of a service. With too few runs, or
// with prompts of nearly equal length, all of the time is attributed to tokens.
PromptTime
FitPromptTime(const PromptTimeSums& aRuns)
{
  const double mean = aRuns.micros_ / std::max(1.0, aRuns.tokens_);
  const double spread =
    aRuns.runs_ * aRuns.tokensSquared_ - aRuns.tokens_ * aRuns.tokens_;
  if (aRuns.runs_ < kMinRunsToFit ||
      spread < kMinSpreadToFit * aRuns.tokens_ * aRuns.tokens_) {
    return { 0, std::max(mean, kMinTokenMicros) };
  }
  const double slope =
    (aRuns.runs_ * aRuns.tokensMicros_ - aRuns.tokens_ * aRuns.micros_) /
    spread;
  const double perToken =
    std::clamp(slope, kMinSlopeShare * mean, std::max(mean, kMinTokenMicros));
  return { (aRuns.micros_ - perToken * aRuns.tokens_) / aRuns.runs_, perToken };
}

bool
ChangedEnough(double aOld, double aNew, double aMinChange)
{
  return std::abs(aOld - aNew) >
         std::max(aMinChange, kMinRelativeChange * aOld);
}

} // namespace

void
FleetTable::MarkChanged(Row& aRow)
{
  aRow.version_ = ++version_;
}

void
FleetTable::MarkFactsChanged(Row& aRow)
{
  MarkChanged(aRow);
  aRow.factsVersion_ = aRow.version_;
}

void
FleetTable::MarkUrgentlyChanged(Row& aRow)
{
  MarkFactsChanged(aRow);
  ++urgentVersion_;
}

void
FleetTable::MarkWaitingHosts(const std::set<core::ModelName>& aOld,
                             const std::set<core::ModelName>& aNew)
{
  for (const core::ModelName& model : aNew) {
    if (aOld.contains(model)) {
      continue;
    }
    for (auto& [name, host] : hosts_) {
      const auto demand = host.demand_.find(model);
      if (demand != host.demand_.end() && demand->second.waiting_ > 0) {
        host.awaitedVersion_ = urgentVersion_;
      }
    }
  }
}

bool
FleetTable::NotifiesAll() const
{
  return hosts_.size() <= kMaxHostsNotified;
}

bool
FleetTable::MustNotify(const core::HostId& aHost, std::uint64_t aSent) const
{
  if (NotifiesAll()) {
    return urgentVersion_ > aSent;
  }
  const auto host = hosts_.find(aHost);
  return host != hosts_.end() && host->second.awaitedVersion_ > aSent;
}

void
FleetTable::Republish(const core::ServerId& aServer)
{
  const auto found = rows_.find(aServer);
  if (found != rows_.end()) {
    MarkFactsChanged(found->second);
  }
}

void
FleetTable::OnList(const std::vector<ListedServer>& aList,
                   core::MonotonicTime aNow)
{
  std::set<core::ServerId> seen;
  for (const ListedServer& listed : aList) {
    seen.insert(listed.server_);
    const auto [entry, isNew] = rows_.try_emplace(listed.server_);
    Row& row = entry->second;
    const bool changed = isNew || row.row_.address_ != listed.address_ ||
                         row.row_.state_ != listed.state_ ||
                         row.row_.slots_ != listed.slots_ ||
                         row.row_.service_ != listed.service_;
    if (!changed) {
      continue;
    }
    row.row_.server_ = listed.server_;
    row.row_.address_ = listed.address_;
    row.row_.service_ = listed.service_;
    row.row_.failureDomain_ = listed.failureDomain_;
    row.row_.state_ = listed.state_;
    row.row_.slots_ = listed.slots_;
    goneSince_.erase(listed.server_);
    MarkUrgentlyChanged(row);
  }
  for (auto& [id, row] : rows_) {
    if (!seen.contains(id) && row.row_.state_ != BackendState::Gone) {
      row.row_.state_ = BackendState::Gone;
      goneSince_[id] = aNow;
      MarkUrgentlyChanged(row);
    }
  }
  std::erase_if(goneSince_, [&](const auto& aEntry) {
    const bool expired = aNow - aEntry.second > kGoneRetention;
    if (expired) {
      rows_.erase(aEntry.first);
      failureStats_.erase(aEntry.first);
      prompts_.erase(aEntry.first);
    }
    return expired;
  });
}

void
FleetTable::OnUsage(const core::HostId& aHost,
                    const std::map<core::ServerId, HostUsage>& aUsage,
                    core::MonotonicTime aNow)
{
  Host& host = hosts_[aHost];
  host.lastReport_ = aNow;
  UpdateTotals(host, false);
  std::set<core::ServerId> changed;
  for (const auto& [server, use] : host.usage_) {
    changed.insert(server);
  }
  host.usage_ = aUsage;
  UpdateTotals(host, true);
  for (const auto& [server, use] : aUsage) {
    changed.insert(server);
    AddPromptSample(server, use);
    if (use.failures_ == 0 && use.successes_ == 0) {
      continue;
    }
    FailureStats& stats = failureStats_[server];
    const double elapsed =
      std::chrono::duration<double>(aNow - stats.updatedAt_).count();
    const double decay = std::exp2(-elapsed / kFailureHalfLifeS);
    stats.failures_ = stats.failures_ * decay + use.failures_;
    stats.successes_ = stats.successes_ * decay + use.successes_;
    stats.updatedAt_ = aNow;
    if (use.failures_ > 0) {
      stats.failingHosts_.insert(aHost);
    } else {
      stats.failingHosts_.erase(aHost);
    }
  }
  if (aNow >= speedsComparedAt_ + kCompareInterval) {
    speedsComparedAt_ = aNow;
    CompareSpeeds();
  }
  for (const core::ServerId& server : changed) {
    PublishLoad(server, aNow);
  }
}

void
FleetTable::AddPromptSample(const core::ServerId& aServer,
                            const HostUsage& aUse)
{
  if (aUse.prompts_.runs_ == 0) {
    return;
  }
  PromptTimeSums& prompts = prompts_[aServer];
  // Old samples decay, since a server may become slow.
  prompts.Scale(std::exp2(-aUse.prompts_.tokens_ / kSpeedHalfLifeTokens));
  prompts.Add(aUse.prompts_);
}

void
FleetTable::CompareSpeeds()
{
  std::map<ServiceName, PromptTimeSums> totals;
  for (const auto& [id, prompts] : prompts_) {
    const auto row = rows_.find(id);
    if (row != rows_.end()) {
      totals[row->second.row_.service_].Add(prompts);
    }
  }
  for (const auto& [id, prompts] : prompts_) {
    const auto found = rows_.find(id);
    if (found == rows_.end()) {
      continue;
    }
    Row& row = found->second;
    const PromptTimeSums& total = totals[row.row_.service_];
    const PromptTime mean = FitPromptTime(total);
    // Few samples are unreliable, so they are mixed with the mean server's
    // speed.
    const double average = total.micros_ / total.tokens_;
    const double weight = prompts.tokens_ + kSpeedPriorTokens;
    const double slowness =
      (prompts.micros_ / average + kSpeedPriorTokens) / weight;
    const double promptTime =
      std::max(0.0, prompts.micros_ - mean.constant_ * prompts.runs_);
    const double nanos =
      1000 * (promptTime + mean.perToken_ * kSpeedPriorTokens) / weight;
    const auto published = static_cast<double>(row.row_.tokenTime_.count());
    if (std::abs(slowness - row.row_.slowness_) > kMinSlownessChange ||
        ChangedEnough(published, nanos, 1)) {
      row.row_.slowness_ = slowness;
      row.row_.tokenTime_ =
        std::chrono::nanoseconds(static_cast<std::int64_t>(nanos));
      MarkChanged(row);
    }
  }
}

void
FleetTable::OnDemand(const core::HostId& aHost,
                     const std::map<core::ModelName, ModelDemand>& aDemand,
                     core::MonotonicTime aNow)
{
  Host& host = hosts_[aHost];
  host.lastReport_ = aNow;
  std::map<core::ModelName, ModelDemand> demand = aDemand;
  // Arrivals that TakeDemand has not returned yet are kept.
  for (const auto& [model, before] : host.demand_) {
    if (before.arrivals_ > 0) {
      demand[model].arrivals_ += before.arrivals_;
    }
  }
  host.demand_ = std::move(demand);
}

void
FleetTable::Expire(core::MonotonicTime aNow)
{
  std::erase_if(hosts_, [&](const auto& aEntry) {
    const bool timedOut = aNow - aEntry.second.lastReport_ > kHostTimeout;
    if (timedOut) {
      UpdateTotals(aEntry.second, false);
    }
    return timedOut;
  });
  if (aNow < loadPublishedAt_ + kPublishInterval) {
    return;
  }
  // Suspicion decays without new reports, so every server is looked at.
  loadPublishedAt_ = aNow;
  for (const auto& [id, row] : rows_) {
    PublishLoad(id, aNow);
  }
}

void
FleetTable::UpdateTotals(const Host& aHost, bool aAdd)
{
  for (const auto& [server, use] : aHost.usage_) {
    Total& total = totals_[server];
    if (aAdd) {
      total.inFlight_ += use.inFlight_;
      total.tokens_ += use.tokens_;
      total.prefillTokens_ += use.prefillTokens_;
    } else {
      total.inFlight_ -= use.inFlight_;
      total.tokens_ -= use.tokens_;
      total.prefillTokens_ -= use.prefillTokens_;
    }
    if (total.inFlight_ == 0 && total.tokens_ == 0 &&
        total.prefillTokens_ == 0) {
      totals_.erase(server);
    }
  }
}

void
FleetTable::PublishLoad(const core::ServerId& aServer, core::MonotonicTime aNow)
{
  const auto entry = rows_.find(aServer);
  if (entry == rows_.end()) {
    return;
  }
  Row& row = entry->second;
  const auto found = totals_.find(aServer);
  const auto [inFlight, tokens, prefillTokens] =
    found == totals_.end() ? Total{} : found->second;
  bool suspect = false;
  const auto stats = failureStats_.find(aServer);
  if (stats != failureStats_.end()) {
    const FailureStats& seen = stats->second;
    const double age =
      std::chrono::duration<double>(aNow - seen.updatedAt_).count();
    const double failures =
      seen.failures_ * std::exp2(-age / kFailureHalfLifeS);
    // Failures that only one host sees may be caused by that host.
    suspect =
      seen.failingHosts_.size() > 1 && failures >= kMinSuspectFailures &&
      seen.failures_ > kMinSuspectShare * (seen.failures_ + seen.successes_);
  }
  // Changes of the token count below 2 % of the server's memory are not
  // published.
  const double tokenStep =
    std::max<double>(1, static_cast<double>(row.row_.memoryTokens_) / 50);
  if (ChangedEnough(row.inFlight_,
                    inFlight,
                    row.meanPace_ > 0 ? kMinPacedRequestChange
                                      : kMinRequestChange) ||
      ChangedEnough(static_cast<double>(row.tokens_),
                    static_cast<double>(tokens),
                    tokenStep) ||
      ChangedEnough(static_cast<double>(row.prefillTokens_),
                    static_cast<double>(prefillTokens),
                    kMinUnreadChange) ||
      suspect != row.row_.suspect_) {
    row.inFlight_ = inFlight;
    row.tokens_ = tokens;
    row.prefillTokens_ = prefillTokens;
    row.row_.suspect_ = suspect;
    MarkChanged(row);
  }
}

void
FleetTable::SetModels(const core::ServerId& aServer,
                      const std::set<core::ModelName>& aModels)
{
  const auto found = rows_.find(aServer);
  if (found != rows_.end() && found->second.row_.models_ != aModels) {
    MarkUrgentlyChanged(found->second);
    MarkWaitingHosts(found->second.row_.models_, aModels);
    found->second.row_.models_ = aModels;
  }
}

void
FleetTable::SetTokenCapacity(const core::ServerId& aServer,
                             std::uint64_t aTokens)
{
  const auto found = rows_.find(aServer);
  if (found != rows_.end() && found->second.row_.memoryTokens_ != aTokens) {
    found->second.row_.memoryTokens_ = aTokens;
    MarkUrgentlyChanged(found->second);
  }
}

void
FleetTable::SetRateLimit(const core::ServerId& aServer,
                         std::optional<double> aPerSecond)
{
  const auto found = rows_.find(aServer);
  if (found == rows_.end() || found->second.row_.rateLimit_ == aPerSecond) {
    return;
  }
  Row& row = found->second;
  const bool begins = !row.row_.rateLimit_ || !aPerSecond;
  row.row_.rateLimit_ = aPerSecond;
  if (begins) {
    MarkUrgentlyChanged(row);
  } else {
    MarkFactsChanged(row);
  }
}

std::vector<BackendRow>
FleetTable::RowsFor(const core::HostId& aHost, std::uint64_t aSeen) const
{
  const auto host = hosts_.find(aHost);
  std::vector<BackendRow> rows;
  for (const auto& [id, row] : rows_) {
    if (row.version_ <= aSeen) {
      continue;
    }
    BackendRow result;
    if (row.factsVersion_ > aSeen) {
      result = row.row_;
    } else {
      result.loadOnly_ = true;
      result.server_ = id;
      result.slowness_ = row.row_.slowness_;
      result.tokenTime_ = row.row_.tokenTime_;
      result.suspect_ = row.row_.suspect_;
      result.pacePercent_ = row.row_.pacePercent_;
      result.queued_ = row.row_.queued_;
    }
    std::uint32_t inFlight = row.inFlight_;
    std::uint64_t tokens = row.tokens_;
    std::uint64_t prefillTokens = row.prefillTokens_;
    if (host != hosts_.end()) {
      const auto own = host->second.usage_.find(id);
      if (own != host->second.usage_.end()) {
        inFlight -= std::min(inFlight, own->second.inFlight_);
        tokens -= std::min(tokens, own->second.tokens_);
        prefillTokens -= std::min(prefillTokens, own->second.prefillTokens_);
      }
    }
    result.othersInFlight_ = inFlight;
    result.othersTokens_ = tokens;
    result.othersPrefillTokens_ = prefillTokens;
    rows.push_back(std::move(result));
  }
  return rows;
}

std::map<core::ModelName, ModelDemand>
FleetTable::TakeDemand()
{
  std::map<core::ModelName, ModelDemand> total;
  for (auto& [name, host] : hosts_) {
    for (auto& [model, demand] : host.demand_) {
      ModelDemand& sum = total[model];
      sum.waiting_ += demand.waiting_;
      sum.inFlight_ += demand.inFlight_;
      sum.arrivals_ += std::exchange(demand.arrivals_, 0);
      sum.weight_ += demand.weight_;
    }
  }
  return total;
}

std::set<core::ModelName>
FleetTable::ActiveModelsAt(const core::ServerId& aServer) const
{
  std::set<core::ModelName> active;
  for (const auto& [name, host] : hosts_) {
    const auto use = host.usage_.find(aServer);
    if (use != host.usage_.end()) {
      active.insert(use->second.active_.begin(), use->second.active_.end());
    }
  }
  return active;
}

std::map<core::ServerId, std::set<core::ModelName>>
FleetTable::ActiveModels() const
{
  std::map<core::ServerId, std::set<core::ModelName>> active;
  for (const auto& [name, host] : hosts_) {
    for (const auto& [server, use] : host.usage_) {
      active[server].insert(use.active_.begin(), use.active_.end());
    }
  }
  return active;
}

std::uint32_t
FleetTable::HostCount() const
{
  return static_cast<std::uint32_t>(hosts_.size());
}

} // namespace crocusslip::coordination
