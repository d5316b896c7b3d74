#include "coordination/ServerTable.hpp"

#include "coordination/TimeMath.hpp"
#include "core/Hash.hpp"

#include <algorithm>
#include <cmath>

namespace crocusslip::coordination {

namespace {

/// Weight of one report in the long-run mean of the load from other routers.
constexpr double kMeanOtherLoadWeight = 0.02;
/// Weight of one answer in the moving mean of the service time.
constexpr double kServiceTimeWeight = 0.02;
/// Cap on the observations of a server, so that the mean follows changes of
/// speed.
constexpr double kMaxObservationWeight = 50.0;
/// Observations of a server before its mean is used to estimate the variances.
constexpr double kMinWeightForVariance = 5.0;
/// Weight of one answer in the moving variances.
constexpr double kVarianceWeight = 0.01;
/// Bound on the ratio of a single observation to the average, both ways.
constexpr double kMaxServiceTimeRatio = 10.0;
constexpr std::uint32_t kMaxEjectionDoublings = 16;

} // namespace

ServerTable::ServerTable(const RouterSettings& aSettings)
  : settings_(aSettings)
{
}

ServerHandle
ServerTable::Set(const ServerInfo& aInfo)
{
  const auto [found, added] = byId_.try_emplace(aInfo.server_, 0);
  if (added && free_.empty()) {
    found->second = static_cast<std::uint32_t>(servers_.size());
    servers_.emplace_back();
  } else if (added) {
    found->second = free_.back();
    free_.pop_back();
  }
  RoutedServer& server = servers_[found->second];
  if (added) {
    const std::uint32_t generation = server.generation_ + 1;
    server = RoutedServer();
    server.generation_ = generation;
    server.id_ = aInfo.server_;
    server.hash_ = core::Hash64(aInfo.server_.Value());
    server.occupied_ = true;
  }
  server.domain_ = aInfo.domain_;
  server.roundTrip_ = DistanceTo(aInfo.domain_);
  server.slots_ = aInfo.slots_ == 0 ? settings_.defaultSlots_ : aInfo.slots_;
  return { found->second, server.generation_ };
}

void
ServerTable::SetState(ServerHandle aServer,
                      ServerState aState,
                      core::MonotonicTime aNow)
{
  RoutedServer* server = Get(aServer);
  if (server == nullptr || server->state_ == aState) {
    return;
  }
  if (aState == ServerState::Failed) {
    server->failedAt_ = aNow;
  }
  if (server->state_ == ServerState::Failed) {
    server->recoveryLimit_ = settings_.slowStartInitial_;
    server->failuresInRow_ = 0;
  }
  server->state_ = aState;
  ++epoch_;
}

void
ServerTable::Remove(ServerHandle aServer)
{
  RoutedServer* server = Get(aServer);
  if (server == nullptr) {
    return;
  }
  byId_.erase(server->id_);
  server->occupied_ = false;
  free_.push_back(aServer.index_);
  ++epoch_;
}

std::optional<ServerHandle>
ServerTable::Find(const core::ServerId& aId) const
{
  const auto found = byId_.find(aId);
  if (found == byId_.end()) {
    return std::nullopt;
  }
  return ServerHandle{ found->second, servers_[found->second].generation_ };
}

RoutedServer*
ServerTable::Get(ServerHandle aServer)
{
  return const_cast<RoutedServer*>(std::as_const(*this).Get(aServer));
}

const RoutedServer*
ServerTable::Get(ServerHandle aServer) const
{
  if (aServer.index_ >= servers_.size()) {
    return nullptr;
  }
  const RoutedServer& server = servers_[aServer.index_];
  const bool same =
    server.occupied_ && server.generation_ == aServer.generation_;
  return same ? &server : nullptr;
}

void
ServerTable::OnStart(ServerHandle aServer, bool aIsolated)
{
  RoutedServer* server = Get(aServer);
  if (server == nullptr) {
    return;
  }
  ++server->ownInFlight_;
  server->isolatedInFlight_ += aIsolated ? 1 : 0;
}

void
ServerTable::OnFinish(ServerHandle aServer,
                      bool aIsolated,
                      RequestOutcome aOutcome,
                      core::MonotonicTime aNow)
{
  RoutedServer* server = Get(aServer);
  if (server == nullptr) {
    return;
  }
  server->ownInFlight_ -= std::min(server->ownInFlight_, 1U);
  server->isolatedInFlight_ -=
    std::min(server->isolatedInFlight_, aIsolated ? 1U : 0U);
  if (aOutcome == RequestOutcome::Failed) {
    OnFailure(*server, aNow);
  } else if (aOutcome == RequestOutcome::Answered) {
    OnSuccess(*server);
  }
}

void
ServerTable::OnReport(ServerHandle aServer,
                      const LoadReport& aReport,
                      core::MonotonicTime aNow)
{
  RoutedServer* server = Get(aServer);
  const core::MonotonicTime measuredAt = aNow - aReport.age_;
  if (server == nullptr ||
      (server->reports_ > 0 && measuredAt < server->measuredAt_)) {
    return;
  }
  server->reportedLoad_ = aReport.running_ + aReport.queued_;
  server->otherLoad_ =
    std::max(0.0, server->reportedLoad_ - server->ownInFlight_);
  ++server->reports_;
  const double weight =
    std::max(kMeanOtherLoadWeight, 1.0 / static_cast<double>(server->reports_));
  server->meanOtherLoad_ +=
    weight * (server->otherLoad_ - server->meanOtherLoad_);
  server->measuredAt_ = measuredAt;
}

void
ServerTable::Reserve(ServerHandle aServer, core::MonotonicTime aUntil)
{
  RoutedServer* server = Get(aServer);
  if (server != nullptr) {
    server->reservedUntil_ = aUntil;
  }
}

void
ServerTable::LearnServiceTime(RoutedServer& aServer,
                              double aServiceNanos,
                              double aMeanNanos,
                              core::MonotonicTime aNow)
{
  meanServiceNanos_ =
    meanServiceNanos_ == 0.0
      ? aServiceNanos
      : meanServiceNanos_ +
          kServiceTimeWeight * (aServiceNanos - meanServiceNanos_);
  const double ratio = std::clamp(aServiceNanos / aMeanNanos,
                                  1.0 / kMaxServiceTimeRatio,
                                  kMaxServiceTimeRatio);
  const double before = aServer.serviceTimeWeight_ * DecayFactor(aServer, aNow);
  if (before >= kMinWeightForVariance) {
    LearnVariance(ratio - aServer.relativeServiceTime_,
                  aServer.relativeServiceTime_,
                  before);
  }
  aServer.serviceTimeWeight_ = std::min(before + 1.0, kMaxObservationWeight);
  aServer.relativeServiceTime_ +=
    (ratio - aServer.relativeServiceTime_) / aServer.serviceTimeWeight_;
  aServer.learnedAt_ = aNow;
}

void
ServerTable::LearnVariance(double aDeviation, double aMean, double aWeight)
{
  // The deviation includes the variance of the estimated mean; remove it.
  const double single = aDeviation * aDeviation * aWeight / (aWeight + 1.0);
  varianceWithin_ += kVarianceWeight * (single - varianceWithin_);
  const double between =
    (aMean - 1.0) * (aMean - 1.0) - varianceWithin_ / aWeight;
  varianceBetween_ += kVarianceWeight * (between - varianceBetween_);
}

double
ServerTable::OtherLoad(const RoutedServer& aServer,
                       core::MonotonicTime aNow) const
{
  const double kept = ReportWeight(aServer, aNow);
  return kept * aServer.otherLoad_ + (1.0 - kept) * aServer.meanOtherLoad_;
}

double
ServerTable::ServiceTimeFactor(const RoutedServer& aServer,
                               core::MonotonicTime aNow) const
{
  const double weight = aServer.serviceTimeWeight_ * DecayFactor(aServer, aNow);
  const double explained = varianceBetween_ * weight;
  if (explained <= 0.0) {
    return 1.0;
  }
  const double shrinkage = explained / (explained + varianceWithin_);
  return 1.0 + shrinkage * (aServer.relativeServiceTime_ - 1.0);
}

std::uint32_t
ServerTable::OwnLimit(const RoutedServer& aServer,
                      core::MonotonicTime aNow) const
{
  const auto others =
    static_cast<std::uint32_t>(std::lround(OtherLoad(aServer, aNow)));
  // At least one, so that other routers' load never excludes this router.
  std::uint32_t limit = others < aServer.slots_ ? aServer.slots_ - others : 1U;
  if (aServer.recoveryLimit_ > 0) {
    limit = std::min(limit, aServer.recoveryLimit_);
  }
  return limit;
}

bool
ServerTable::Ejected(const RoutedServer& aServer,
                     core::MonotonicTime aNow) const
{
  return aNow < aServer.ejectedUntil_;
}

std::size_t
ServerTable::MemoryBytes() const
{
  return sizeof(*this) + servers_.capacity() * sizeof(RoutedServer) +
         byId_.size() * (sizeof(*byId_.begin()) + 2 * sizeof(void*));
}

double
ServerTable::ReportWeight(const RoutedServer& aServer,
                          core::MonotonicTime aNow) const
{
  const double service = meanServiceNanos_ > 0.0
                           ? meanServiceNanos_
                           : ToNanos(settings_.initialServiceTime_);
  // Time in which the reported requests are expected to complete.
  const double turnover =
    service * std::max(1.0, aServer.otherLoad_ / aServer.slots_);
  return std::exp(-ToNanos(aNow - aServer.measuredAt_) / turnover);
}

double
ServerTable::DecayFactor(const RoutedServer& aServer,
                         core::MonotonicTime aNow) const
{
  const double age = ToNanos(aNow - aServer.learnedAt_);
  return std::exp2(-age / ToNanos(settings_.speedHalfLife_));
}

void
ServerTable::OnFailure(RoutedServer& aServer, core::MonotonicTime aNow)
{
  ++aServer.failuresInRow_;
  if (aServer.failuresInRow_ < settings_.ejectAfterFailures_ ||
      Ejected(aServer, aNow)) {
    return;
  }
  const std::uint32_t doublings =
    std::min(aServer.ejections_, kMaxEjectionDoublings);
  const core::Duration time = std::min<core::Duration>(
    settings_.ejectMax_, settings_.ejectBase_ * (1LL << doublings));
  aServer.ejectedUntil_ = aNow + time;
  aServer.recoveryLimit_ = settings_.slowStartInitial_;
  // The first failure after the ejection ends ejects the server again.
  aServer.failuresInRow_ = settings_.ejectAfterFailures_ - 1;
  ++aServer.ejections_;
  ++epoch_;
}

void
ServerTable::OnSuccess(RoutedServer& aServer)
{
  aServer.failuresInRow_ = 0;
  if (aServer.recoveryLimit_ == 0) {
    return;
  }
  ++aServer.recoveryLimit_;
  if (aServer.recoveryLimit_ >= aServer.slots_) {
    aServer.recoveryLimit_ = 0;
    aServer.ejections_ = 0;
  }
}

core::Duration
ServerTable::DistanceTo(const core::FailureDomainId& aDomain) const
{
  if (aDomain == settings_.ownDomain_) {
    return core::Duration::zero();
  }
  const auto found = settings_.oneWayDelay_.find(aDomain);
  const core::Duration oneWay = found == settings_.oneWayDelay_.end()
                                  ? settings_.defaultDistance_
                                  : found->second;
  return 2 * oneWay;
}

} // namespace crocusslip::coordination
