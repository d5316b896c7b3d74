#include "replay/UserModel.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace crocusslip::replay {

namespace {

using namespace std::chrono_literals;
using coordination::CheckpointTier;
using protocol::TraceDeployment;
using protocol::TraceServer;

/// What the two users' descriptions state, and assumptions where they are
/// silent (sizes, times and frequencies; see docs/traces.md).
struct Profile
{
  std::string prefix_;
  std::uint32_t failureDomains_ = 0;
  std::uint32_t runners_ = 0;
  std::uint32_t plainServers_ = 0;
  std::uint32_t models_ = 0;
  std::uint32_t adapters_ = 0;
  std::uint32_t bases_ = 0;
  coordination::StoreLimits store_;
  /// Time for the store to deliver an average checkpoint at full speed; four
  /// at once then use up the start rate.
  double storeSeconds_ = 0;
  double topSessionsPerDay_ = 0;
  double dailyShare_ = 0;
  double weeklyShare_ = 0;
  std::uint32_t dailyFirstHour_ = 0;
  std::uint32_t weeklyDay_ = 0;
  double idleCost_ = 0;
  std::array<double, 24> hours_{};
  std::array<double, 7> weekdays_{};
};

constexpr std::uint64_t kRunnerMemoryMib = 24 * core::kKibi;
constexpr std::uint64_t kRunnerCacheMib = 32 * core::kKibi;
constexpr std::uint32_t kConcurrency = 4;
constexpr double kSpeedSpread = 0.5;

Profile
HaddadProfile()
{
  Profile profile;
  profile.prefix_ = "haddad";
  profile.failureDomains_ = 4;
  profile.runners_ = 18;
  profile.plainServers_ = 4;
  profile.models_ = 105;
  profile.adapters_ = 95;
  profile.bases_ = 12;
  profile.store_ = { 8.0, 4, 32 };
  profile.storeSeconds_ = 0.5;
  profile.topSessionsPerDay_ = 60;
  profile.dailyShare_ = 0.1;
  profile.weeklyShare_ = 0.15;
  profile.dailyFirstHour_ = 6;
  profile.weeklyDay_ = 3;
  profile.idleCost_ = 600;
  profile.hours_ = {
    0.1, 0.1, 0.1, 0.1, 0.3, 0.8, 1.6, 2.2, 2.4, 2.2, 1.9, 1.7,
    1.4, 1.5, 1.7, 1.7, 1.5, 1.1, 0.7, 0.4, 0.2, 0.1, 0.1, 0.1
  };
  profile.weekdays_ = { 1.1, 1.1, 1.1, 1.2, 0.4, 0.9, 1.2 };
  return profile;
}

Profile
MassaFinaProfile()
{
  Profile profile;
  profile.prefix_ = "massa";
  profile.failureDomains_ = 3;
  profile.runners_ = 9;
  profile.plainServers_ = 3;
  profile.models_ = 50;
  profile.adapters_ = 60;
  profile.bases_ = 8;
  profile.store_ = { 3.5, 4, 32 };
  profile.storeSeconds_ = 4 / 3.5;
  profile.topSessionsPerDay_ = 50;
  profile.dailyShare_ = 0.3;
  profile.weeklyShare_ = 0.1;
  profile.dailyFirstHour_ = 3;
  profile.weeklyDay_ = 6;
  profile.idleCost_ = 200;
  profile.hours_ = {
    0.1, 0.1, 0.3, 1.2, 2.0, 1.6, 1.0, 1.0, 1.3, 1.6, 1.9, 2.1,
    1.7, 1.2, 1.1, 1.1, 1.2, 1.3, 1.0, 0.7, 0.4, 0.2, 0.1, 0.1
  };
  profile.weekdays_ = { 0.7, 0.8, 0.8, 0.9, 1.2, 1.4, 1.6 };
  return profile;
}

core::Duration
FromSeconds(double aSeconds)
{
  const double millis = std::max(1.0, std::round(aSeconds * 1000));
  return std::chrono::milliseconds(static_cast<std::int64_t>(millis));
}

/// Between 1 - aSpread and 1 + aSpread, evenly.
double
Around(core::Random& aRandom, double aMean, double aSpread)
{
  return aMean * (1 - aSpread + 2 * aSpread * aRandom.Uniform());
}

class Builder
{
public:
  Builder(const Profile& aProfile, core::Random& aRandom)
    : profile_(aProfile)
    , random_(aRandom)
  {
  }

  UserModel Build()
  {
    model_.store_ = profile_.store_;
    model_.hours_ = profile_.hours_;
    model_.weekdays_ = profile_.weekdays_;
    model_.idleCost_ = profile_.idleCost_;
    AddServers();
    for (std::uint32_t i = 0; i < profile_.models_; ++i) {
      AddModel(i);
    }
    for (std::uint32_t i = 0; i < profile_.adapters_; ++i) {
      AddAdapter(i);
    }
    AddPlainService();
    return std::move(model_);
  }

private:
  void AddServer(const std::string& aId, std::uint32_t aIndex, double aSpeed)
  {
    TraceServer server;
    server.id_ = core::ServerId(aId);
    const std::uint32_t domain = aIndex % profile_.failureDomains_;
    server.failureDomain_ =
      core::FailureDomainId("fd" + std::to_string(domain + 1));
    server.memory_ = core::Bytes(kRunnerMemoryMib * core::kMebi);
    server.cacheMemory_ = core::Bytes(kRunnerCacheMib * core::kMebi);
    server.speed_ = std::round(aSpeed * 100) / 100;
    model_.servers_.push_back(std::move(server));
  }

  void AddServers()
  {
    for (std::uint32_t i = 0; i < profile_.runners_; ++i) {
      const std::string id = "runner" + std::to_string(i + 1);
      AddServer(id, i, Around(random_, 1.0, kSpeedSpread));
      runners_.emplace_back(id);
    }
    for (std::uint32_t i = 0; i < profile_.plainServers_; ++i) {
      const std::string id = "app" + std::to_string(i + 1);
      AddServer(id, i, 1.0);
      plainServers_.emplace_back(id);
    }
  }

  /// A few checkpoints on disk and fewer in memory, unevenly.
  void AddCached(TraceDeployment& aDeployment)
  {
    constexpr double kOnDisk = 0.2;
    constexpr double kInMemory = 0.05;
    for (const core::ServerId& runner : runners_) {
      const double draw = random_.Uniform();
      if (draw < kInMemory) {
        aDeployment.cached_.push_back({ runner, CheckpointTier::Memory });
      } else if (draw < kInMemory + kOnDisk) {
        aDeployment.cached_.push_back({ runner, CheckpointTier::Disk });
      }
    }
  }

  DeploymentTraffic MakeTraffic(const core::DeploymentId& aId,
                                std::uint32_t aRank)
  {
    constexpr double kRankExponent = 0.8;
    DeploymentTraffic traffic;
    traffic.id_ = aId;
    traffic.sessionsPerDay_ =
      profile_.topSessionsPerDay_ / std::pow(aRank + 1.0, kRankExponent);
    traffic.requestsPerSession_ = Around(random_, 4, 0.75);
    traffic.pause_ = FromSeconds(Around(random_, 45, 0.8));
    traffic.service_ = FromSeconds(Around(random_, 1.5, 0.8));
    traffic.deadline_ = FromSeconds(random_.Chance(0.5) ? 10 : 30);
    const double kind = random_.Uniform();
    if (kind < profile_.dailyShare_) {
      traffic.pattern_ = UsePattern::Daily;
      traffic.timeOfDay_ = std::chrono::hours(profile_.dailyFirstHour_) +
                           FromSeconds(random_.Uniform() * 2 * 3600);
    } else if (kind < profile_.dailyShare_ + profile_.weeklyShare_) {
      traffic.pattern_ = UsePattern::Weekly;
      traffic.weekday_ = profile_.weeklyDay_;
      traffic.timeOfDay_ = 8h + FromSeconds(random_.Uniform() * 6 * 3600);
    }
    return traffic;
  }

  void AddModel(std::uint32_t aIndex)
  {
    TraceDeployment deployment;
    coordination::CapacityDeployment& capacity = deployment.capacity_;
    capacity.id_ = core::DeploymentId("model" + std::to_string(aIndex + 1));
    const double sizeGib = Around(random_, 7.5, 0.7);
    const double relativeSize = sizeGib / 7.5;
    capacity.memory_ =
      core::Bytes(static_cast<std::uint64_t>(sizeGib * 1024) * core::kMebi);
    capacity.maxReplicas_ = 3;
    capacity.concurrency_ = kConcurrency;
    capacity.servers_ = runners_;
    const double memory = 0.3 * profile_.storeSeconds_ * relativeSize;
    const double disk = 0.9 * profile_.storeSeconds_ * relativeSize;
    const double remote = profile_.storeSeconds_ * relativeSize + memory;
    capacity.loadTime_ = { FromSeconds(memory),
                           FromSeconds(disk),
                           FromSeconds(remote) };
    AddCached(deployment);
    // The order of popularity is independent of size.
    const DeploymentTraffic traffic =
      MakeTraffic(capacity.id_,
                  static_cast<std::uint32_t>(random_.Below(profile_.models_)));
    capacity.serviceTime_ = traffic.service_;
    model_.traffic_.push_back(traffic);
    model_.deployments_.push_back(std::move(deployment));
  }

  void AddAdapter(std::uint32_t aIndex)
  {
    TraceDeployment deployment;
    coordination::CapacityDeployment& capacity = deployment.capacity_;
    capacity.id_ = core::DeploymentId("adapter" + std::to_string(aIndex + 1));
    capacity.kind_ = coordination::DeploymentKind::Adapter;
    capacity.base_ = core::DeploymentId(
      "model" + std::to_string(aIndex % profile_.bases_ + 1));
    constexpr std::uint64_t kLeastMib = 60;
    capacity.memory_ =
      core::Bytes((kLeastMib + random_.Below(200)) * core::kMebi);
    capacity.maxReplicas_ = 3;
    capacity.concurrency_ = kConcurrency;
    const double remote = Around(random_, 0.010, 0.5);
    capacity.loadTime_ = { FromSeconds(remote / 3),
                           FromSeconds(remote / 2),
                           FromSeconds(remote) };
    const DeploymentTraffic traffic = MakeTraffic(
      capacity.id_,
      static_cast<std::uint32_t>(random_.Below(profile_.adapters_)));
    capacity.serviceTime_ = traffic.service_;
    model_.traffic_.push_back(traffic);
    model_.deployments_.push_back(std::move(deployment));
  }

  /// The booking or order app: always loaded, not idempotent.
  void AddPlainService()
  {
    TraceDeployment deployment;
    coordination::CapacityDeployment& capacity = deployment.capacity_;
    capacity.id_ = core::DeploymentId("orders");
    capacity.memory_ = core::Bytes(core::kGibi);
    capacity.minReplicas_ = profile_.plainServers_;
    capacity.maxReplicas_ = profile_.plainServers_;
    capacity.concurrency_ = 32;
    capacity.servers_ = plainServers_;
    capacity.serviceTime_ = 40ms;
    capacity.loadTime_ = { 10ms, 20ms, 50ms };
    DeploymentTraffic traffic;
    traffic.id_ = capacity.id_;
    traffic.pattern_ = UsePattern::Plain;
    traffic.sessionsPerDay_ = 400;
    traffic.service_ = capacity.serviceTime_;
    traffic.deadline_ = 5s;
    traffic.idempotent_ = false;
    model_.traffic_.push_back(traffic);
    model_.deployments_.push_back(std::move(deployment));
  }

  const Profile& profile_;
  core::Random& random_;
  UserModel model_;
  std::vector<core::ServerId> runners_;
  std::vector<core::ServerId> plainServers_;
};

} // namespace

UserModel
MakeUserModel(TraceUser aUser, core::Random& aRandom)
{
  const Profile profile =
    aUser == TraceUser::Haddad ? HaddadProfile() : MassaFinaProfile();
  return Builder(profile, aRandom).Build();
}

} // namespace crocusslip::replay
