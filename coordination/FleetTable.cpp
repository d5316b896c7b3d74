#include "coordination/FleetTable.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// A host that has not reported for this long no longer counts.
constexpr std::chrono::milliseconds kHostSilence{ 2500 };
/// Rows of servers that are gone are kept for hosts that are behind.
constexpr std::chrono::seconds kKeepGone{ 20 };
/// Change of load that hosts are told.
constexpr std::uint32_t kLoadStep = 2;
constexpr double kLoadShare = 0.15;
/// Prompt tokens after which a sample of speed counts half.
constexpr double kSpeedHalfLifeTokens = 40'000;
/// Prompt tokens whose weight the mean server's speed has.
constexpr double kSpeedPriorTokens = 3'000;
/// Runs, and spread of their tokens against the square of the mean, from which
/// the constant part of the time to the first event is told from the rest.
constexpr double kRunsToFit = 30;
constexpr double kSpreadToFit = 0.05;
constexpr double kLeastSlopeShare = 0.25;
constexpr double kLeastTokenMicros = 1;
/// Change of unread tokens that hosts are told.
constexpr double kUnreadStep = 1500;
/// Intervals of what looks at all servers; reports come hundreds of times a
/// second from hundreds of hosts.
constexpr std::chrono::milliseconds kCompareInterval{ 250 };
constexpr std::chrono::milliseconds kPublishInterval{ 250 };
/// Change of speed that hosts are told.
constexpr double kSpeedStep = 0.1;
/// Half-life of reported failures and successes.
constexpr double kEvidenceHalfLifeS = 3;
/// Share of failed answers from which a server is suspect.
constexpr double kSuspectShare = 0.2;
constexpr double kSuspectFailures = 2;

/// Microseconds until the first event: a constant part and one by tokens.
struct PromptTime
{
  double constant_ = 0;
  double perToken_ = 0;
};

// Least squares over the runs of a service. Without enough of them, or when
// their prompts are about equal, all of the time counts by tokens.
PromptTime
FitPromptTime(const PromptTimeSums& aRuns)
{
  const double mean = aRuns.micros_ / std::max(1.0, aRuns.tokens_);
  const double spread =
    aRuns.runs_ * aRuns.tokensSquared_ - aRuns.tokens_ * aRuns.tokens_;
  if (aRuns.runs_ < kRunsToFit ||
      spread < kSpreadToFit * aRuns.tokens_ * aRuns.tokens_) {
    return { 0, std::max(mean, kLeastTokenMicros) };
  }
  const double slope =
    (aRuns.runs_ * aRuns.tokensMicros_ - aRuns.tokens_ * aRuns.micros_) /
    spread;
  const double perToken = std::clamp(
    slope, kLeastSlopeShare * mean, std::max(mean, kLeastTokenMicros));
  return { (aRuns.micros_ - perToken * aRuns.tokens_) / aRuns.runs_, perToken };
}

bool
Differs(double aOld, double aNew, double aStep)
{
  return std::abs(aOld - aNew) > std::max(aStep, kLoadShare * aOld);
}

} // namespace

void
FleetTable::Touch(Row& aRow)
{
  aRow.change_ = ++change_;
}

void
FleetTable::TouchUrgently(Row& aRow)
{
  Touch(aRow);
  ++urgentChange_;
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
    TouchUrgently(row);
  }
  for (auto& [id, row] : rows_) {
    if (!seen.contains(id) && row.row_.state_ != BackendState::Gone) {
      row.row_.state_ = BackendState::Gone;
      goneSince_[id] = aNow;
      TouchUrgently(row);
    }
  }
  std::erase_if(goneSince_, [&](const auto& aEntry) {
    const bool old = aNow - aEntry.second > kKeepGone;
    if (old) {
      rows_.erase(aEntry.first);
      evidence_.erase(aEntry.first);
      prompts_.erase(aEntry.first);
    }
    return old;
  });
}

void
FleetTable::OnUsage(const core::HostId& aHost,
                    const std::map<core::ServerId, HostUsage>& aUses,
                    core::MonotonicTime aNow)
{
  Host& host = hosts_[aHost];
  host.lastReport_ = aNow;
  Count(host, false);
  std::set<core::ServerId> changed;
  for (const auto& [server, use] : host.uses_) {
    changed.insert(server);
  }
  host.uses_ = aUses;
  Count(host, true);
  for (const auto& [server, use] : aUses) {
    changed.insert(server);
    LearnSpeed(server, use);
    if (use.failures_ == 0 && use.successes_ == 0) {
      continue;
    }
    Evidence& evidence = evidence_[server];
    const double elapsed =
      std::chrono::duration<double>(aNow - evidence.at_).count();
    const double kept = std::exp2(-elapsed / kEvidenceHalfLifeS);
    evidence.failures_ = evidence.failures_ * kept + use.failures_;
    evidence.successes_ = evidence.successes_ * kept + use.successes_;
    evidence.at_ = aNow;
    if (use.failures_ > 0) {
      evidence.failedFor_.insert(aHost);
    } else {
      evidence.failedFor_.erase(aHost);
    }
  }
  if (aNow >= comparedAt_ + kCompareInterval) {
    comparedAt_ = aNow;
    CompareSpeeds();
  }
  for (const core::ServerId& server : changed) {
    PublishLoad(server, aNow);
  }
}

void
FleetTable::LearnSpeed(const core::ServerId& aServer, const HostUsage& aUse)
{
  if (aUse.prompts_.runs_ == 0) {
    return;
  }
  PromptTimeSums& prompts = prompts_[aServer];
  // Old samples fade, since a server may turn slow.
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
    // Few samples say little: they are mixed with ones of the mean server.
    const double average = total.micros_ / total.tokens_;
    const double known = prompts.tokens_ + kSpeedPriorTokens;
    const double slowness =
      (prompts.micros_ / average + kSpeedPriorTokens) / known;
    const double reading =
      std::max(0.0, prompts.micros_ - mean.constant_ * prompts.runs_);
    const double nanos =
      1000 * (reading + mean.perToken_ * kSpeedPriorTokens) / known;
    const auto told = static_cast<double>(row.row_.tokenTime_.count());
    if (std::abs(slowness - row.row_.slowness_) > kSpeedStep ||
        Differs(told, nanos, 1)) {
      row.row_.slowness_ = slowness;
      row.row_.tokenTime_ =
        std::chrono::nanoseconds(static_cast<std::int64_t>(nanos));
      Touch(row);
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
  // Arrivals that nobody has taken yet are kept.
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
    const bool silent = aNow - aEntry.second.lastReport_ > kHostSilence;
    if (silent) {
      Count(aEntry.second, false);
    }
    return silent;
  });
  if (aNow < publishedAt_ + kPublishInterval) {
    return;
  }
  // Suspicion fades without any report.
  publishedAt_ = aNow;
  for (const auto& [id, row] : rows_) {
    PublishLoad(id, aNow);
  }
}

void
FleetTable::Count(const Host& aHost, bool aAdd)
{
  for (const auto& [server, use] : aHost.uses_) {
    Total& total = totals_[server];
    if (aAdd) {
      total.inFlight_ += use.inFlight_;
      total.tokens_ += use.tokens_;
      total.unreadTokens_ += use.unreadTokens_;
    } else {
      total.inFlight_ -= use.inFlight_;
      total.tokens_ -= use.tokens_;
      total.unreadTokens_ -= use.unreadTokens_;
    }
    if (total.inFlight_ == 0 && total.tokens_ == 0 &&
        total.unreadTokens_ == 0) {
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
  const auto [inFlight, tokens, unread] =
    found == totals_.end() ? Total{} : found->second;
  bool suspect = false;
  const auto evidence = evidence_.find(aServer);
  if (evidence != evidence_.end()) {
    const Evidence& seen = evidence->second;
    const double age = std::chrono::duration<double>(aNow - seen.at_).count();
    const double failures =
      seen.failures_ * std::exp2(-age / kEvidenceHalfLifeS);
    // One host's trouble may be its own.
    suspect =
      seen.failedFor_.size() > 1 && failures >= kSuspectFailures &&
      seen.failures_ > kSuspectShare * (seen.failures_ + seen.successes_);
  }
  const double tokenStep =
    std::max<double>(1, static_cast<double>(row.row_.memoryTokens_) / 50);
  if (Differs(row.inFlight_, inFlight, kLoadStep) ||
      Differs(static_cast<double>(row.tokens_),
              static_cast<double>(tokens),
              tokenStep) ||
      Differs(static_cast<double>(row.unreadTokens_),
              static_cast<double>(unread),
              kUnreadStep) ||
      suspect != row.row_.suspect_) {
    row.inFlight_ = inFlight;
    row.tokens_ = tokens;
    row.unreadTokens_ = unread;
    row.row_.suspect_ = suspect;
    Touch(row);
  }
}

void
FleetTable::SetModels(const core::ServerId& aServer,
                      const std::set<core::ModelName>& aModels)
{
  const auto found = rows_.find(aServer);
  if (found != rows_.end() && found->second.row_.models_ != aModels) {
    found->second.row_.models_ = aModels;
    TouchUrgently(found->second);
  }
}

void
FleetTable::SetMemory(const core::ServerId& aServer, std::uint64_t aTokens)
{
  const auto found = rows_.find(aServer);
  if (found != rows_.end() && found->second.row_.memoryTokens_ != aTokens) {
    found->second.row_.memoryTokens_ = aTokens;
    TouchUrgently(found->second);
  }
}

std::vector<BackendRow>
FleetTable::RowsFor(const core::HostId& aHost, std::uint64_t aSeen) const
{
  const auto host = hosts_.find(aHost);
  std::vector<BackendRow> rows;
  for (const auto& [id, row] : rows_) {
    if (row.change_ <= aSeen) {
      continue;
    }
    BackendRow out = row.row_;
    std::uint32_t inFlight = row.inFlight_;
    std::uint64_t tokens = row.tokens_;
    std::uint64_t unread = row.unreadTokens_;
    if (host != hosts_.end()) {
      const auto own = host->second.uses_.find(id);
      if (own != host->second.uses_.end()) {
        inFlight -= std::min(inFlight, own->second.inFlight_);
        tokens -= std::min(tokens, own->second.tokens_);
        unread -= std::min(unread, own->second.unreadTokens_);
      }
    }
    out.othersInFlight_ = inFlight;
    out.othersTokens_ = tokens;
    out.othersUnreadTokens_ = unread;
    rows.push_back(std::move(out));
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
    const auto use = host.uses_.find(aServer);
    if (use != host.uses_.end()) {
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
    for (const auto& [server, use] : host.uses_) {
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
