#include "coordination/CacheDisplacement.hpp"
#include "coordination/KeepAlive.hpp"
#include "coordination/Placement.hpp"

#include <algorithm>
#include <chrono>

namespace crocusslip::coordination {

namespace {

double
Seconds(core::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

struct StagePlan
{
  const CapacityDeployment* deployment_ = nullptr;
  const CapacityServer* server_ = nullptr;
  double gainSeconds_ = 0;
  double lossSeconds_ = 0;
  double useProbability_ = 0;
};

class StagePlanner
{
public:
  StagePlanner(const PlacementSettings& aSettings,
               const CapacityView& aView,
               const KeepAlive& aKeepAlive,
               core::MonotonicTime aNow)
    : view_(aView)
    , displacement_(aView,
                    aKeepAlive,
                    aSettings.waitCost_,
                    aSettings.stageHorizon_,
                    aNow)
    , cost_(aSettings.waitCost_)
    , minimumGain_(aSettings.stageGainSeconds_)
  {
    for (const auto& [id, server] : aView.Servers()) {
      maxSpeed_ = std::max(maxSpeed_, server.speed_);
    }
  }

  StagePlan BestPlan() const
  {
    StagePlan best;
    best.gainSeconds_ = minimumGain_;
    for (const auto& [id, deployment] : view_.Deployments()) {
      if (deployment.kind_ != DeploymentKind::Model ||
          deployment.minReplicas_ > 0 || !view_.ReplicasOf(id).empty()) {
        continue;
      }
      const double loadSeconds = BestLoad(deployment);
      const double saved =
        cost_.Of(loadSeconds) -
        cost_.Of(Seconds(deployment.loadTime_.front()) / maxSpeed_);
      if (saved <= best.gainSeconds_) {
        continue;
      }
      const double use = displacement_.ProbabilityOfUse(id);
      if (use * saved <= best.gainSeconds_) {
        continue;
      }
      ConsiderServers(deployment, use, loadSeconds, best);
    }
    return best;
  }

private:
  /// Shortest expected load time over the servers that may load it now.
  double BestLoad(const CapacityDeployment& aDeployment) const
  {
    double best = 1e9;
    for (const auto& [id, server] : view_.Servers()) {
      if (IsCandidate(aDeployment, server)) {
        best = std::min(best, Seconds(view_.LoadTime(aDeployment, server)));
      }
    }
    return best;
  }

  static bool IsCandidate(const CapacityDeployment& aDeployment,
                          const CapacityServer& aServer)
  {
    const auto& allowed = aDeployment.servers_;
    return aServer.standing_ == ServerStanding::Live &&
           (allowed.empty() ||
            std::find(allowed.begin(), allowed.end(), aServer.id_) !=
              allowed.end());
  }

  void ConsiderServers(const CapacityDeployment& aDeployment,
                       double aUse,
                       double aLoadSeconds,
                       StagePlan& aBest) const
  {
    for (const auto& [id, server] : view_.Servers()) {
      if (!IsCandidate(aDeployment, server) ||
          view_.FreeMemory(id) < aDeployment.memory_ ||
          server.cacheMemory_ < aDeployment.memory_) {
        continue;
      }
      const double staged =
        Seconds(aDeployment.loadTime_.front()) / server.speed_;
      const double expectedSaving =
        aUse * (cost_.Of(aLoadSeconds) - cost_.Of(staged));
      if (expectedSaving <= aBest.gainSeconds_) {
        continue;
      }
      const double loss = displacement_.DisplacementCost(aDeployment, id);
      const double gain = expectedSaving - loss;
      const bool better =
        gain > aBest.gainSeconds_ ||
        (gain == aBest.gainSeconds_ && aBest.deployment_ != nullptr &&
         aDeployment.id_ < aBest.deployment_->id_);
      if (better) {
        aBest = { &aDeployment, &server, gain, loss, aUse };
      }
    }
  }

  const CapacityView& view_;
  CacheDisplacement displacement_;
  WaitCost cost_;
  double minimumGain_;
  double maxSpeed_ = 0;
};

} // namespace

std::optional<PlacementDecision>
Placement::Stage(const CapacityView& aView, core::MonotonicTime aNow) const
{
  const StagePlan plan =
    StagePlanner(settings_, aView, keepAlive_, aNow).BestPlan();
  if (plan.deployment_ == nullptr) {
    return std::nullopt;
  }
  const CapacityDeployment& deployment = *plan.deployment_;
  const CapacityServer& server = *plan.server_;
  PlacementDecision decision;
  decision.action_ = PlacementAction::Load;
  decision.reason_ = PlacementReason::StageCheckpoint;
  decision.deployment_ = deployment.id_;
  decision.server_ = server.id_;
  decision.memory_ = deployment.memory_;
  decision.tier_ = aView.Tier(deployment.id_, server.id_);
  decision.expectedLoad_ = aView.LoadTime(deployment, server);
  PlacementFigures& figures = decision.figures_;
  figures.needed_ = deployment.memory_;
  figures.maxReplicas_ = deployment.maxReplicas_;
  figures.useProbability_ = plan.useProbability_;
  PlacementCandidate candidate;
  candidate.server_ = server.id_;
  candidate.tier_ = decision.tier_;
  candidate.loadSeconds_ = Seconds(decision.expectedLoad_);
  candidate.displacementCost_ = plan.lossSeconds_;
  candidate.totalCost_ = -plan.gainSeconds_;
  candidate.free_ = aView.FreeMemory(server.id_);
  figures.candidates_.push_back(candidate);
  return decision;
}

} // namespace crocusslip::coordination
