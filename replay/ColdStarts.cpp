#include "replay/ColdStarts.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <ostream>

namespace crocusslip::replay {

namespace {

using coordination::CheckpointTier;
using coordination::PlacementReason;

/// From demand to a committed decision; waits up to this long before a load is
/// decided are the decision's, longer ones are waits for memory.
constexpr double kDecisionSeconds = 0.006;

constexpr std::array<std::string_view, kColdCauses> kCauseNames = {
  "first_request",   "idle_deadline", "staged",         "evicted",
  "already_loading", "server_lost",   "not_loaded_yet",
};

constexpr std::array<std::string_view, kColdParts> kPartNames = {
  "decision",    "memory",      "store",  "load_memory", "load_disk",
  "load_remote", "slow_server", "router", "prompt",      "no_answer",
};

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

double&
PartOf(std::array<double, kColdParts>& aParts, ColdPart aPart)
{
  return aParts.at(static_cast<std::size_t>(aPart));
}

ColdPart
LoadPart(CheckpointTier aTier)
{
  switch (aTier) {
    case CheckpointTier::Memory:
      return ColdPart::LoadMemory;
    case CheckpointTier::Disk:
      return ColdPart::LoadDisk;
    case CheckpointTier::Remote:
      break;
  }
  return ColdPart::LoadRemote;
}

/// Length of the part of [aFrom, aUntil] before aEnd; moves aFrom to there.
double
TakeUntil(core::MonotonicTime& aFrom,
          core::MonotonicTime aEnd,
          core::MonotonicTime aUntil)
{
  const core::MonotonicTime end = std::clamp(aEnd, aFrom, aUntil);
  const double length = Seconds(end - aFrom);
  aFrom = end;
  return length;
}

} // namespace

std::string_view
Name(ColdCause aCause)
{
  return kCauseNames.at(static_cast<std::size_t>(aCause));
}

std::string_view
Name(ColdPart aPart)
{
  return kPartNames.at(static_cast<std::size_t>(aPart));
}

ColdStartLog::ColdStartLog(const protocol::Trace& aTrace)
  : trace_(aTrace)
{
  for (const protocol::TraceDeployment& deployment :
       aTrace.settings_.deployments_) {
    deployments_[deployment.capacity_.id_] = &deployment;
  }
  for (const protocol::TraceServer& server : aTrace.settings_.servers_) {
    speeds_[server.id_] = server.speed_;
    fastest_ = std::max(fastest_, server.speed_);
  }
}

const protocol::TraceDeployment*
ColdStartLog::Deployment(const core::DeploymentId& aDeployment) const
{
  const auto found = deployments_.find(aDeployment);
  return found == deployments_.end() ? nullptr : found->second;
}

void
ColdStartLog::OnLoadDecided(const coordination::PlacementDecision& aDecision,
                            core::MonotonicTime aNow)
{
  Load& load = loads_[Key{ aDecision.deployment_, aDecision.server_ }];
  load = {};
  load.tier_ = aDecision.tier_;
  load.staged_ = aDecision.reason_ == PlacementReason::StageCheckpoint;
  load.decided_ = aNow;
  load.started_ = core::MonotonicTime::max();
  load.loaded_ = core::MonotonicTime::max();
}

void
ColdStartLog::OnLoadStarted(const core::DeploymentId& aDeployment,
                            const core::ServerId& aServer,
                            core::MonotonicTime aNow)
{
  loads_[Key{ aDeployment, aServer }].started_ = aNow;
}

void
ColdStartLog::OnLoaded(const core::DeploymentId& aDeployment,
                       const core::ServerId& aServer,
                       core::MonotonicTime aNow)
{
  loads_[Key{ aDeployment, aServer }].loaded_ = aNow;
}

void
ColdStartLog::OnUnload(const coordination::PlacementDecision& aDecision)
{
  const auto load =
    loads_.find(Key{ aDecision.deployment_, aDecision.server_ });
  ColdCause cause = ColdCause::IdleDeadline;
  if (aDecision.action_ == coordination::PlacementAction::Evict) {
    cause = ColdCause::Evicted;
  } else if (load != loads_.end() && load->second.staged_) {
    cause = ColdCause::Staged;
  }
  unloadedBy_[aDecision.deployment_] = cause;
}

void
ColdStartLog::OnReplicaLost(const core::DeploymentId& aDeployment)
{
  unloadedBy_[aDeployment] = ColdCause::ServerLost;
}

void
ColdStartLog::OnUse(const core::DeploymentId& aDeployment)
{
  used_.insert(aDeployment);
}

void
ColdStartLog::OnColdArrival(std::size_t aRequest, bool aLoading)
{
  const core::DeploymentId& id = trace_.requests_[aRequest].deployment_;
  Pending& pending = pending_[aRequest];
  const auto unloaded = unloadedBy_.find(id);
  if (aLoading) {
    pending.cause_ = ColdCause::AlreadyLoading;
  } else if (!used_.contains(id)) {
    pending.cause_ = ColdCause::FirstRequest;
  } else if (unloaded != unloadedBy_.end()) {
    pending.cause_ = unloaded->second;
  } else {
    pending.cause_ = ColdCause::NotLoadedYet;
  }
}

core::MonotonicTime
ColdStartLog::AddLoad(Pending& aPending,
                      const core::DeploymentId& aDeployment,
                      const core::ServerId& aServer,
                      core::MonotonicTime aFrom,
                      core::MonotonicTime aUntil) const
{
  const auto found = loads_.find(Key{ aDeployment, aServer });
  if (found == loads_.end() || found->second.loaded_ < aFrom) {
    return aFrom;
  }
  const Load& load = found->second;
  auto& parts = aPending.parts_;
  core::MonotonicTime from = aFrom;
  const double undecided = TakeUntil(from, load.decided_, aUntil);
  PartOf(parts, ColdPart::Decision) += std::min(undecided, kDecisionSeconds);
  PartOf(parts, ColdPart::Memory) +=
    std::max(0.0, undecided - kDecisionSeconds);
  PartOf(parts, ColdPart::Store) += TakeUntil(from, load.started_, aUntil);
  const double loading = TakeUntil(from, load.loaded_, aUntil);
  const double atFastest = loading * speeds_.at(aServer) / fastest_;
  PartOf(parts, LoadPart(load.tier_)) += atFastest;
  PartOf(parts, ColdPart::SlowServer) += loading - atFastest;
  return from;
}

void
ColdStartLog::OnForward(std::size_t aRequest,
                        const core::ServerId& aServer,
                        core::MonotonicTime aNow)
{
  const auto found = pending_.find(aRequest);
  if (found == pending_.end() || found->second.forwarded_) {
    return;
  }
  Pending& pending = found->second;
  pending.forwarded_ = aNow;
  const protocol::TraceRequest& request = trace_.requests_[aRequest];
  core::MonotonicTime from(request.time_);
  const protocol::TraceDeployment* deployment = Deployment(request.deployment_);
  if (deployment != nullptr && deployment->capacity_.base_) {
    from = AddLoad(pending, *deployment->capacity_.base_, aServer, from, aNow);
  }
  from = AddLoad(pending, request.deployment_, aServer, from, aNow);
  PartOf(pending.parts_, ColdPart::Router) += Seconds(aNow - from);
}

std::optional<ColdStart>
ColdStartLog::Finish(std::size_t aRequest,
                     double aWaitSeconds,
                     bool aAnswered) const
{
  const auto found = pending_.find(aRequest);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  const Pending& pending = found->second;
  ColdStart start;
  start.request_ = aRequest;
  start.waitSeconds_ = aWaitSeconds;
  start.cause_ = pending.cause_;
  if (!aAnswered || !pending.forwarded_) {
    PartOf(start.parts_, ColdPart::NoAnswer) = aWaitSeconds;
    return start;
  }
  start.parts_ = pending.parts_;
  const core::MonotonicTime arrival(trace_.requests_[aRequest].time_);
  PartOf(start.parts_, ColdPart::Prompt) =
    aWaitSeconds - Seconds(*pending.forwarded_ - arrival);
  return start;
}

namespace {

struct Share
{
  std::uint64_t count_ = 0;
  double seconds_ = 0;
};

void
PrintShares(std::string_view aTitle,
            const std::map<std::string_view, Share>& aShares,
            double aSeconds,
            std::ostream& aOutput)
{
  std::vector<std::pair<std::string_view, Share>> sorted(aShares.begin(),
                                                         aShares.end());
  std::stable_sort(
    sorted.begin(), sorted.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.seconds_ > aRight.second.seconds_;
    });
  aOutput << std::left << std::setw(18) << aTitle << std::right << std::setw(8)
          << "starts" << std::setw(11) << "seconds" << std::setw(9) << "share"
          << '\n';
  for (const auto& [name, share] : sorted) {
    aOutput << std::left << std::setw(18) << name << std::right << std::setw(8)
            << share.count_ << std::setw(11) << share.seconds_ << std::setw(9)
            << share.seconds_ / std::max(aSeconds, 1e-9) << '\n';
  }
}

} // namespace

void
PrintColdStarts(const std::vector<ColdStart>& aColdStarts,
                double aPercentile,
                std::ostream& aOutput)
{
  std::vector<ColdStart> starts = aColdStarts;
  std::stable_sort(starts.begin(),
                   starts.end(),
                   [](const ColdStart& aLeft, const ColdStart& aRight) {
                     return aLeft.waitSeconds_ > aRight.waitSeconds_;
                   });
  const auto kept = static_cast<std::size_t>(
    std::ceil((1 - aPercentile) * static_cast<double>(starts.size()) - 1e-9));
  starts.resize(std::min(starts.size(), kept));
  std::map<std::string_view, Share> causes;
  std::map<std::string_view, Share> parts;
  double seconds = 0;
  for (const ColdStart& start : starts) {
    seconds += start.waitSeconds_;
    Share& cause = causes[Name(start.cause_)];
    ++cause.count_;
    cause.seconds_ += start.waitSeconds_;
    for (std::size_t i = 0; i < kColdParts; ++i) {
      // A part under a millisecond is not counted as one of the start's.
      Share& part = parts[kPartNames.at(i)];
      part.count_ += start.parts_.at(i) > 0.001 ? 1 : 0;
      part.seconds_ += start.parts_.at(i);
    }
  }
  aOutput << std::fixed << std::setprecision(3);
  aOutput << "cold starts " << aColdStarts.size() << ", reported "
          << starts.size() << ", from "
          << (starts.empty() ? 0 : starts.back().waitSeconds_) << " s\n";
  PrintShares("cause", causes, seconds, aOutput);
  PrintShares("part of the wait", parts, seconds, aOutput);
}

} // namespace crocusslip::replay
