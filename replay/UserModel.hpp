#pragma once

#include "core/Random.hpp"
#include "protocol/TraceFile.hpp"
#include "replay/TraceGenerator.hpp"

#include <array>
#include <string>
#include <vector>

namespace crocusslip::replay {

/// When a deployment is used.
enum class UsePattern : std::uint8_t
{
  /// Sessions at random times, weighted by the hours of the day.
  Sessions,
  /// One session each day at about the same time.
  Daily,
  /// One session each week at about the same time.
  Weekly,
  /// Single requests to a plain service throughout the day.
  Plain,
};

/// Traffic of one deployment.
struct DeploymentTraffic
{
  core::DeploymentId id_;
  UsePattern pattern_ = UsePattern::Sessions;
  double sessionsPerDay_ = 0;
  /// Mean requests in a session and mean pause between them.
  double requestsPerSession_ = 1;
  core::Duration pause_{};
  /// For Daily and Weekly: time of the session within the day, and weekday.
  core::Duration timeOfDay_{};
  std::uint32_t weekday_ = 0;
  core::Duration deadline_{};
  core::Duration service_{};
  bool idempotent_ = true;
};

/// One user's servers, store, deployments and traffic.
struct UserModel
{
  std::vector<protocol::TraceServer> servers_;
  coordination::StoreLimits store_;
  std::vector<protocol::TraceDeployment> deployments_;
  std::vector<DeploymentTraffic> traffic_;
  /// Relative traffic by hour of the day; the mean is 1.
  std::array<double, 24> hours_{};
  /// Relative traffic by weekday, Monday first.
  std::array<double, 7> weekdays_{};
  double idleCost_ = 0;
};

UserModel
MakeUserModel(TraceUser aUser, core::Random& aRandom);

} // namespace crocusslip::replay
