#include "coordination/BackendView.hpp"

#include "core/Durations.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Consecutive failures after which a server is ejected.
constexpr std::uint32_t kFailuresToEject = 2;
constexpr std::chrono::milliseconds kBaseEjectionTime{ 1000 };
constexpr std::chrono::milliseconds kMaxEjectionTime{ 8000 };
/// Weight of a new latency in the moving mean.
constexpr double kLatencyWeight = 0.2;
/// Latency assumed for a server that has not answered yet.
constexpr double kUnknownLatencyMs = 20;
/// Score factor of a server in another failure domain.
constexpr double kOtherDomainPenalty = 1.05;
constexpr double kSuspectPenalty = 4;
/// Runs in flight that double the score of an idle engine.
constexpr double kRunsPerLoadUnit = 4;
constexpr double kPrefillPenalty = 1.5;
/// With more runs on a server, prefill time reflects its load, not its speed.
constexpr std::uint32_t kMaxLoadForPromptTime = 4;
/// Maximum share of an engine's slots in use: with more, the streams of all its
/// runs pause for longer than callers want.
constexpr double kMaxSlotShare = 0.4;
/// The same for a request that can no longer meet its latency target even on a
/// fast server.
constexpr double kOverdueMaxSlotShare = 0.8;
/// Maximum share of a server's token memory reserved by the estimated tokens of
/// runs. Answers are often shorter than their limit, but a server that runs out
/// of memory preempts runs.
constexpr double kMaxMemoryShare = 0.95;
/// Maximum share of the longest accepted pause that prefill may take; the rest
/// is for the decode steps of the runs.
constexpr double kMaxPrefillShare = 0.8;
/// Time in which a host's own sighting of a rate limit is preferred to the
/// published one.
constexpr std::chrono::seconds kOwnSightingTime{ 2 };
/// Time in which grants must be used.
constexpr std::chrono::seconds kGrantTime{ 1 };
/// Without an answer of the control group for this long, a host sends its equal
/// share of a limited rate without grants.
constexpr std::chrono::seconds kControlSilence{ 1 };

} // namespace

void
PromptTimeSums::Add(const PromptTimeSums& aOther)
{
  runs_ += aOther.runs_;
  tokens_ += aOther.tokens_;
  micros_ += aOther.micros_;
  tokensSquared_ += aOther.tokensSquared_;
  tokensMicros_ += aOther.tokensMicros_;
}

void
PromptTimeSums::Scale(double aFactor)
{
  runs_ *= aFactor;
  tokens_ *= aFactor;
  micros_ *= aFactor;
  tokensSquared_ *= aFactor;
  tokensMicros_ *= aFactor;
}

BackendView::BackendView(core::FailureDomainId aOwnDomain)
  : ownDomain_(std::move(aOwnDomain))
{
}

void
BackendView::Update(BackendRow aRow)
{
  if (!aRow.loadOnly_) {
    Server& server = servers_[aRow.server_];
    server.row_ = std::move(aRow);
    server.estimate_.OnPublishedPace(server.row_.pacePercent_);
    if (server.row_.state_ != BackendState::Ready) {
      server.saidLeaving_ = false;
    }
    const auto& sighting = server.usage_.sighting_;
    const bool agree = sighting && sighting->perSecond_.has_value() ==
                                     server.row_.rateLimit_.has_value();
    const bool old =
      sighting && controlContact_ - sighting->at_ > kOwnSightingTime;
    if (!server.row_.rateLimit_ && (agree || old)) {
      server.usage_.sighting_.reset();
    }
    return;
  }
  const auto found = servers_.find(aRow.server_);
  if (found == servers_.end()) {
    return;
  }
  BackendRow& row = found->second.row_;
  row.othersInFlight_ = aRow.othersInFlight_;
  row.othersTokens_ = aRow.othersTokens_;
  row.othersPrefillTokens_ = aRow.othersPrefillTokens_;
  row.slowness_ = aRow.slowness_;
  row.tokenTime_ = aRow.tokenTime_;
  row.suspect_ = aRow.suspect_;
  row.pacePercent_ = aRow.pacePercent_;
  row.queued_ = aRow.queued_;
  found->second.estimate_.OnPublishedPace(aRow.pacePercent_);
}

void
BackendView::Remove(const core::ServerId& aServer)
{
  servers_.erase(aServer);
}

std::vector<core::ServerId>
BackendView::Ids() const
{
  std::vector<core::ServerId> ids;
  for (const auto& [id, server] : servers_) {
    ids.push_back(id);
  }
  return ids;
}

bool
BackendView::Ejected(const Server& aServer, core::MonotonicTime aNow) const
{
  return aServer.ejectedUntil_ && aNow < *aServer.ejectedUntil_;
}

bool
BackendView::WouldStallStreams(const Server& aServer,
                               const BackendRequirements& aRequirements)
{
  const BackendRow& row = aServer.row_;
  const std::uint64_t pending =
    row.othersPrefillTokens_ + aServer.usage_.prefillTokens_;
  if (pending == 0 || aRequirements.overdue_ ||
      aRequirements.longestPause_ <= core::Duration(0)) {
    return false;
  }
  const auto prefillTime =
    row.tokenTime_ *
    static_cast<std::int64_t>(pending + aRequirements.promptTokens_);
  return prefillTime > kMaxPrefillShare * aRequirements.longestPause_;
}

bool
BackendView::HasCapacity(const Server& aServer,
                         const BackendRequirements& aRequirements,
                         core::MonotonicTime aNow) const
{
  const BackendRow& row = aServer.row_;
  const bool byPace = UsesEstimate(aServer);
  if (byPace && !HasPlace(aServer, aRequirements, aNow)) {
    return false;
  }
  const double usableSlots =
    row.memoryTokens_ > 0
      ? std::max(
          1.0,
          (aRequirements.overdue_ ? kOverdueMaxSlotShare : kMaxSlotShare) *
            row.slots_)
      : row.slots_;
  if (!byPace && row.slots_ > 0 &&
      row.othersInFlight_ + aServer.usage_.inFlight_ >= usableSlots) {
    return false;
  }
  if (row.memoryTokens_ == 0 || aRequirements.tokens_ == 0) {
    return true;
  }
  if (WouldStallStreams(aServer, aRequirements)) {
    return false;
  }
  const std::uint64_t used = row.othersTokens_ + aServer.usage_.tokens_;
  const auto limit = static_cast<std::uint64_t>(
    kMaxMemoryShare * static_cast<double>(row.memoryTokens_));
  return used == 0 || used + aRequirements.tokens_ <= limit;
}

double
BackendView::Score(const Server& aServer, core::MonotonicTime) const
{
  const BackendRow& row = aServer.row_;
  const double inFlight = row.othersInFlight_ + aServer.usage_.inFlight_;
  double score = 0;
  if (row.memoryTokens_ > 0) {
    // Each run slows down the batch; each prefill in progress stalls all
    // streams of the server.
    score = row.slowness_ * (1 + inFlight / kRunsPerLoadUnit +
                             kPrefillPenalty * aServer.prefilling_);
  } else {
    const double slots = row.slots_ == 0 ? 1.0 : row.slots_;
    const double latency =
      aServer.latencyMs_ > 0 ? aServer.latencyMs_ : kUnknownLatencyMs;
    // The constant term keeps latency in the score of an idle server.
    score = latency * (0.2 + inFlight / slots);
  }
  return score * PenaltyOf(aServer);
}

double
BackendView::PenaltyOf(const Server& aServer) const
{
  const BackendRow& row = aServer.row_;
  const double domain =
    row.failureDomain_ != ownDomain_ ? kOtherDomainPenalty : 1;
  const bool doubtful = row.suspect_ || aServer.failuresInRow_ > 0;
  return domain * (doubtful ? kSuspectPenalty : 1);
}

std::optional<double>
BackendView::RateLimitOf(const Server& aServer, core::MonotonicTime aNow)
{
  const auto& sighting = aServer.usage_.sighting_;
  const bool recent = sighting && aNow - sighting->at_ < kOwnSightingTime;
  return recent ? sighting->perSecond_ : aServer.row_.rateLimit_;
}

std::optional<double>
BackendView::RateLimitOf(const core::ServerId& aServer,
                         core::MonotonicTime aNow) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? std::nullopt
                                 : RateLimitOf(found->second, aNow);
}

bool
BackendView::HasGrant(const Server& aServer, core::MonotonicTime aNow)
{
  return aServer.grants_ > 0 && aNow < aServer.grantsUntil_;
}

bool
BackendView::MayStart(const Server& aServer, core::MonotonicTime aNow) const
{
  const auto limit = RateLimitOf(aServer, aNow);
  if (!limit || HasGrant(aServer, aNow)) {
    return true;
  }
  const core::MonotonicTime since = std::max<core::MonotonicTime>(
    controlContact_ + kControlSilence, aServer.startedWithoutGrant_);
  return core::Seconds(aNow - since) * *limit >= hosts_;
}

bool
BackendView::OnRateSighting(const core::ServerId& aServer,
                            const RateSighting& aSighting)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return false;
  }
  Server& server = found->second;
  const auto before = RateLimitOf(server, aSighting.at_);
  const bool concerned = server.row_.rateLimit_ || server.usage_.sighting_;
  if (aSighting.perSecond_ || concerned) {
    server.usage_.sighting_ = aSighting;
  }
  return before != aSighting.perSecond_;
}

void
BackendView::OnLeaving(const core::ServerId& aServer)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    found->second.saidLeaving_ =
      found->second.row_.state_ == BackendState::Ready;
  }
}

void
BackendView::OnRetryAfter(const core::ServerId& aServer,
                          core::MonotonicTime aUntil)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    found->second.closedUntil_ = std::max(found->second.closedUntil_, aUntil);
  }
}

void
BackendView::OnGrants(const core::ServerId& aServer,
                      std::uint32_t aCount,
                      core::MonotonicTime aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  Server& server = found->second;
  server.grants_ = (HasGrant(server, aNow) ? server.grants_ : 0) + aCount;
  server.grantsUntil_ = aNow + kGrantTime;
}

void
BackendView::SpendGrant(const core::ServerId& aServer, core::MonotonicTime aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  if (HasGrant(found->second, aNow)) {
    --found->second.grants_;
  } else {
    found->second.startedWithoutGrant_ = aNow;
  }
}

void
BackendView::OnControlContact(std::uint32_t aHosts, core::MonotonicTime aNow)
{
  hosts_ = std::max(1U, aHosts);
  controlContact_ = aNow;
  UpdateUsualLoads();
}

bool
BackendView::SlotsTaken(const BackendRequirements& aRequirements) const
{
  std::uint64_t inFlight = 0;
  std::uint64_t slots = 0;
  for (const auto& [id, server] : servers_) {
    const BackendRow& row = server.row_;
    const bool suits = aRequirements.model_.Empty() ||
                       row.models_.contains(aRequirements.model_);
    if (suits && row.service_ == aRequirements.service_ &&
        row.state_ == BackendState::Ready) {
      inFlight += row.othersInFlight_ + server.usage_.inFlight_;
      slots += row.slots_;
    }
  }
  return slots > 0 && inFlight >= slots;
}

BackendChoice
BackendView::Choose(const BackendRequirements& aRequirements,
                    core::MonotonicTime aNow,
                    core::Random& aRandom) const
{
  BackendChoice choice;
  const Server* best = nullptr;
  double bestScore = 0;
  double bestGrantKey = 0;
  double needsGrantScore = 0;
  const Server* lastResort = nullptr;
  std::vector<Option> options;
  bool allNamePace = true;
  for (const auto& [id, server] : servers_) {
    const BackendRow& row = server.row_;
    if (row.service_ != aRequirements.service_ ||
        row.state_ != BackendState::Ready || server.saidLeaving_ ||
        aRequirements.tried_.contains(id)) {
      continue;
    }
    if (choice.status_ == BackendChoiceStatus::NoServer) {
      choice.status_ = BackendChoiceStatus::NoModel;
    }
    if (!aRequirements.model_.Empty() &&
        !row.models_.contains(aRequirements.model_)) {
      continue;
    }
    if (aNow < server.closedUntil_) {
      choice.status_ = BackendChoiceStatus::Full;
      continue;
    }
    const bool mayStart = MayStart(server, aNow);
    if (Ejected(server, aNow)) {
      if (!mayStart) {
        continue;
      }
      if (lastResort == nullptr ||
          *server.ejectedUntil_ < *lastResort->ejectedUntil_) {
        lastResort = &server;
      }
      continue;
    }
    if (!HasCapacity(server, aRequirements, aNow)) {
      choice.status_ = BackendChoiceStatus::Full;
      continue;
    }
    // Jitter of up to 10% keeps hosts with the same view from choosing the same
    // server.
    const double score = Score(server, aNow) * (0.9 + 0.2 * aRandom.Uniform());
    if (!mayStart) {
      choice.status_ = BackendChoiceStatus::Full;
      // Any of them may be the one with grants left.
      const double key = score * aRandom.Uniform();
      if (choice.needsGrant_.Empty() || key < bestGrantKey) {
        choice.needsGrant_ = id;
        bestGrantKey = key;
        needsGrantScore = score;
      }
      continue;
    }
    options.push_back({ &server, score });
    allNamePace = allNamePace && UsesEstimate(server);
    if (best == nullptr || score < bestScore) {
      best = &server;
      bestScore = score;
    }
  }
  if (allNamePace && !options.empty()) {
    const Option& chosen =
      ChooseByEstimate(options, aRequirements, aNow, aRandom, choice);
    best = chosen.server_;
    bestScore = chosen.score_;
  }
  // If all servers that could run the request are ejected, use the one whose
  // ejection ends first: a common cause must not stop the whole service.
  if (best == nullptr && choice.status_ != BackendChoiceStatus::Full &&
      lastResort != nullptr) {
    best = lastResort;
  }
  if (best != nullptr) {
    if (bestScore <= needsGrantScore) {
      choice.needsGrant_ = core::ServerId();
    }
    choice.status_ = BackendChoiceStatus::Found;
    choice.server_ = best->row_.server_;
    choice.address_ = best->row_.address_;
  }
  return choice;
}

void
BackendView::OnStart(const core::ServerId& aServer,
                     const BackendRequirements& aRequirements)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    ++found->second.usage_.inFlight_;
    ++found->second.prefilling_;
    found->second.usage_.tokens_ += aRequirements.tokens_;
    found->second.usage_.prefillTokens_ += aRequirements.promptTokens_;
  }
}

void
BackendView::OnFinish(const core::ServerId& aServer,
                      std::uint64_t aTokens,
                      SendOutcome aOutcome,
                      core::MonotonicTime aNow)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  Server& server = found->second;
  Usage& use = server.usage_;
  use.inFlight_ -= std::min<std::uint32_t>(use.inFlight_, 1);
  use.tokens_ -= std::min(use.tokens_, aTokens);
  if (aOutcome == SendOutcome::Served) {
    ++use.successes_;
    server.failuresInRow_ = 0;
    server.ejectedUntil_.reset();
    server.ejectionTime_ = core::Duration(0);
    return;
  }
  if (aOutcome != SendOutcome::Failed && aOutcome != SendOutcome::Unreachable) {
    return;
  }
  ++(aOutcome == SendOutcome::Failed ? use.failures_ : use.unreachable_);
  ++server.failuresInRow_;
  // A failed connection is stronger evidence than one failed answer.
  if (aOutcome == SendOutcome::Unreachable ||
      server.failuresInRow_ >= kFailuresToEject) {
    server.ejectionTime_ = std::clamp<core::Duration>(
      server.ejectionTime_ * 2, kBaseEjectionTime, kMaxEjectionTime);
    server.ejectedUntil_ = aNow + server.ejectionTime_;
  }
}

void
BackendView::OnPrefillDone(const core::ServerId& aServer,
                           std::uint64_t aPromptTokens)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  Server& server = found->second;
  server.prefilling_ -= std::min<std::uint32_t>(server.prefilling_, 1);
  server.usage_.prefillTokens_ -=
    std::min(server.usage_.prefillTokens_, aPromptTokens);
}

void
BackendView::OnPromptTime(const core::ServerId& aServer,
                          std::uint64_t aTokens,
                          core::Duration aTime)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || LoadOf(aServer) > kMaxLoadForPromptTime) {
    return;
  }
  const auto tokens = static_cast<double>(aTokens);
  const double micros =
    std::chrono::duration<double, std::micro>(aTime).count();
  found->second.usage_.prompts_.Add(
    { 1, tokens, micros, tokens * tokens, tokens * micros });
}

void
BackendView::OnLatency(const core::ServerId& aServer, core::Duration aTime)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  const double ms = std::chrono::duration<double, std::milli>(aTime).count();
  double& mean = found->second.latencyMs_;
  mean = mean == 0 ? ms : mean + kLatencyWeight * (ms - mean);
}

void
BackendView::OnModelMissing(const core::ServerId& aServer,
                            const core::ModelName& aModel)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    found->second.row_.models_.erase(aModel);
    found->second.usage_.missing_.push_back(aModel);
  }
}

std::map<core::ServerId, BackendView::Usage>
BackendView::TakeUsage()
{
  std::map<core::ServerId, Usage> uses;
  for (auto& [id, server] : servers_) {
    Usage& use = server.usage_;
    const bool idle = use.inFlight_ == 0 && use.failures_ == 0 &&
                      use.successes_ == 0 && use.unreachable_ == 0 &&
                      use.prompts_.runs_ == 0 && use.missing_.empty() &&
                      !use.sighting_ && !use.load_;
    if (!idle) {
      uses[id] = use;
    }
    use.failures_ = 0;
    use.successes_ = 0;
    use.unreachable_ = 0;
    use.prompts_ = {};
    use.missing_.clear();
    use.load_.reset();
  }
  return uses;
}

std::uint32_t
BackendView::LoadOf(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? 0
                                 : found->second.row_.othersInFlight_ +
                                     found->second.usage_.inFlight_;
}

const BackendView::Usage*
BackendView::UsageOf(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second.usage_;
}

const BackendRow*
BackendView::Find(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second.row_;
}

} // namespace crocusslip::coordination
