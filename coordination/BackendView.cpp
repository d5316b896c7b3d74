#include "coordination/BackendView.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Failures in a row after which a server is left out.
constexpr std::uint32_t kFailuresToLeaveOut = 2;
constexpr std::chrono::milliseconds kFirstOut{ 1000 };
constexpr std::chrono::milliseconds kLongestOut{ 8000 };
/// Weight of a new latency in the mean.
constexpr double kLatencyWeight = 0.2;
/// Latency of a server that has not answered yet.
constexpr double kUnknownLatencyMs = 20;
/// Penalty of a server in another failure domain, as a share of the score.
constexpr double kOtherDomain = 1.05;
constexpr double kSuspectPenalty = 4;
/// Runs at a server that count as much as the first one.
constexpr double kRunsPerPenalty = 4;
constexpr double kBeginningPenalty = 1.5;
/// With more runs at a server, its speed can't be told from its load.
constexpr std::uint32_t kLoadToLearnSpeed = 4;
/// Share of an engine's places that are used: with more, the streams of all
/// its runs pause for longer than callers want.
constexpr double kPlacesShare = 0.4;
/// The same for a request that could no longer be in time with a fast place.
constexpr double kPressedPlacesShare = 0.8;
/// Share of a server's token memory that is filled by estimate; answers are
/// often shorter than their limit, but an overfull server preempts.
constexpr double kMemoryShare = 0.95;
/// Share of the longest pause that callers accept in which prompts are read;
/// the rest is for the steps of the runs themselves.
constexpr double kReadingShare = 0.8;

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

BackendView::BackendView(core::FailureDomainId aOwn)
  : own_(std::move(aOwn))
{
}

void
BackendView::Update(BackendRow aRow)
{
  Server& server = servers_[aRow.server_];
  server.row_ = std::move(aRow);
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
BackendView::Out(const Server& aServer, core::MonotonicTime aNow) const
{
  return aServer.outUntil_ && aNow < *aServer.outUntil_;
}

bool
BackendView::HoldsUpRuns(const Server& aServer,
                         const BackendRequirements& aNeed)
{
  const BackendRow& row = aServer.row_;
  const std::uint64_t unread =
    row.othersUnreadTokens_ + aServer.use_.unreadTokens_;
  if (unread == 0 || aNeed.overdue_ ||
      aNeed.longestPause_ <= core::Duration(0)) {
    return false;
  }
  const auto reading =
    row.tokenTime_ * static_cast<std::int64_t>(unread + aNeed.promptTokens_);
  return reading > kReadingShare * aNeed.longestPause_;
}

bool
BackendView::HasPlace(const Server& aServer,
                      const BackendRequirements& aNeed) const
{
  const BackendRow& row = aServer.row_;
  const double places =
    row.memoryTokens_ > 0
      ? std::max(1.0,
                 (aNeed.overdue_ ? kPressedPlacesShare : kPlacesShare) *
                   row.slots_)
      : row.slots_;
  if (row.slots_ > 0 &&
      row.othersInFlight_ + aServer.use_.inFlight_ >= places) {
    return false;
  }
  if (row.memoryTokens_ == 0 || aNeed.tokens_ == 0) {
    return true;
  }
  if (HoldsUpRuns(aServer, aNeed)) {
    return false;
  }
  const std::uint64_t used = row.othersTokens_ + aServer.use_.tokens_;
  const auto limit = static_cast<std::uint64_t>(
    kMemoryShare * static_cast<double>(row.memoryTokens_));
  return used == 0 || used + aNeed.tokens_ <= limit;
}

double
BackendView::Score(const Server& aServer, core::MonotonicTime) const
{
  const BackendRow& row = aServer.row_;
  const double inFlight = row.othersInFlight_ + aServer.use_.inFlight_;
  double score = 0;
  if (row.memoryTokens_ > 0) {
    // Each run makes the batch slower; each prompt that is being read holds up
    // all streams of the server.
    score = row.slowness_ * (1 + inFlight / kRunsPerPenalty +
                             kBeginningPenalty * aServer.beginning_);
  } else {
    const double slots = row.slots_ == 0 ? 1.0 : row.slots_;
    const double latency =
      aServer.latencyMs_ > 0 ? aServer.latencyMs_ : kUnknownLatencyMs;
    score = latency * (0.2 + inFlight / slots);
  }
  if (row.failureDomain_ != own_) {
    score *= kOtherDomain;
  }
  if (row.suspect_ || aServer.failuresInRow_ > 0) {
    score *= kSuspectPenalty;
  }
  return score;
}

BackendChoice
BackendView::Choose(const BackendRequirements& aNeed,
                    core::MonotonicTime aNow,
                    core::Random& aRandom) const
{
  BackendChoice choice;
  const Server* best = nullptr;
  double bestScore = 0;
  const Server* lastResort = nullptr;
  for (const auto& [id, server] : servers_) {
    const BackendRow& row = server.row_;
    if (row.service_ != aNeed.service_ || row.state_ != BackendState::Ready ||
        aNeed.tried_.contains(id)) {
      continue;
    }
    if (choice.status_ == BackendChoiceStatus::NoServer) {
      choice.status_ = BackendChoiceStatus::NoModel;
    }
    if (!aNeed.model_.Empty() && !row.models_.contains(aNeed.model_)) {
      continue;
    }
    if (Out(server, aNow)) {
      if (lastResort == nullptr || *server.outUntil_ < *lastResort->outUntil_) {
        lastResort = &server;
      }
      continue;
    }
    if (!HasPlace(server, aNeed)) {
      choice.status_ = BackendChoiceStatus::Full;
      continue;
    }
    // A little chance keeps hosts with equal pictures apart.
    const double score = Score(server, aNow) * (0.9 + 0.2 * aRandom.Uniform());
    if (best == nullptr || score < bestScore) {
      best = &server;
      bestScore = score;
    }
  }
  // When all that could run it are left out, the one that returns first is
  // better than none: a common cause must not stop the whole service.
  if (best == nullptr && choice.status_ != BackendChoiceStatus::Full &&
      lastResort != nullptr) {
    best = lastResort;
  }
  if (best != nullptr) {
    choice.status_ = BackendChoiceStatus::Found;
    choice.server_ = best->row_.server_;
    choice.address_ = best->row_.address_;
  }
  return choice;
}

void
BackendView::OnStart(const core::ServerId& aServer,
                     const BackendRequirements& aNeed)
{
  const auto found = servers_.find(aServer);
  if (found != servers_.end()) {
    ++found->second.use_.inFlight_;
    ++found->second.beginning_;
    found->second.use_.tokens_ += aNeed.tokens_;
    found->second.use_.unreadTokens_ += aNeed.promptTokens_;
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
  Use& use = server.use_;
  use.inFlight_ -= std::min<std::uint32_t>(use.inFlight_, 1);
  use.tokens_ -= std::min(use.tokens_, aTokens);
  if (aOutcome == SendOutcome::Served) {
    ++use.successes_;
    server.failuresInRow_ = 0;
    server.outUntil_.reset();
    server.outFor_ = core::Duration(0);
    return;
  }
  if (aOutcome != SendOutcome::Failed && aOutcome != SendOutcome::Unreachable) {
    return;
  }
  ++(aOutcome == SendOutcome::Failed ? use.failures_ : use.unreachable_);
  ++server.failuresInRow_;
  // A connection that can't be made says more than one failed answer.
  if (aOutcome == SendOutcome::Unreachable ||
      server.failuresInRow_ >= kFailuresToLeaveOut) {
    server.outFor_ =
      std::clamp<core::Duration>(server.outFor_ * 2, kFirstOut, kLongestOut);
    server.outUntil_ = aNow + server.outFor_;
  }
}

void
BackendView::OnPromptRead(const core::ServerId& aServer,
                          std::uint64_t aPromptTokens)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end()) {
    return;
  }
  Server& server = found->second;
  server.beginning_ -= std::min<std::uint32_t>(server.beginning_, 1);
  server.use_.unreadTokens_ -=
    std::min(server.use_.unreadTokens_, aPromptTokens);
}

void
BackendView::OnPromptTime(const core::ServerId& aServer,
                          std::uint64_t aTokens,
                          core::Duration aTime)
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || LoadOf(aServer) > kLoadToLearnSpeed) {
    return;
  }
  const auto tokens = static_cast<double>(aTokens);
  const double micros =
    std::chrono::duration<double, std::micro>(aTime).count();
  found->second.use_.prompts_.Add(
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
    found->second.use_.missing_.push_back(aModel);
  }
}

std::map<core::ServerId, BackendView::Use>
BackendView::TakeUsage()
{
  std::map<core::ServerId, Use> uses;
  for (auto& [id, server] : servers_) {
    Use& use = server.use_;
    const bool idle = use.inFlight_ == 0 && use.failures_ == 0 &&
                      use.successes_ == 0 && use.unreachable_ == 0 &&
                      use.prompts_.runs_ == 0 && use.missing_.empty();
    if (!idle) {
      uses[id] = use;
    }
    use.failures_ = 0;
    use.successes_ = 0;
    use.unreachable_ = 0;
    use.prompts_ = {};
    use.missing_.clear();
  }
  return uses;
}

std::uint32_t
BackendView::LoadOf(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end()
           ? 0
           : found->second.row_.othersInFlight_ + found->second.use_.inFlight_;
}

const BackendRow*
BackendView::Find(const core::ServerId& aServer) const
{
  const auto found = servers_.find(aServer);
  return found == servers_.end() ? nullptr : &found->second.row_;
}

} // namespace crocusslip::coordination
