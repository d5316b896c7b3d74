#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Units.hpp"
#include "state/RoutePattern.hpp"
#include "state/WarmWindow.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Effective settings as plain structs.
namespace crocusslip::state {

enum class DeploymentKind : std::uint8_t
{
  Model,
  Adapter,
  Service,
};

enum class ServerKind : std::uint8_t
{
  Engine,
  Service,
};

/// Whether an engine refuses an order with a stale fencing number.
enum class Fencing : std::uint8_t
{
  Checked,
  Ignored,
};

enum class LoadReporting : std::uint8_t
{
  Scrape,
  Push,
};

struct DeploymentSettings
{
  core::DeploymentId id_;
  DeploymentKind kind_ = DeploymentKind::Model;
  /// Name under which the engine knows the model or the adapter.
  core::ModelName model_;
  /// For an adapter: the deployment of its base model.
  core::DeploymentId base_;
  std::string version_;
  std::string pool_;
  /// For a service: first part of the paths that it answers.
  std::string pathPrefix_;
  std::vector<core::CallerId> callers_;
  /// The list of callers contains "*".
  bool anyCaller_ = false;
  std::uint32_t maxReplicas_ = 0;
  std::uint32_t minReplicas_ = 0;
  std::uint32_t scaleUpQueue_ = 0;
  core::Bytes memory_;
  core::Duration keepAliveMin_{};
  core::Duration keepAliveMax_{};
  double idleCost_ = 0;
  std::vector<WarmWindow> warmWindows_;
  std::chrono::minutes utcOffset_{ 0 };
  core::Duration deadlineDefault_{};
  core::Duration deadlineMax_{};
  std::uint32_t queueLimit_ = 0;
  core::Bytes queueBytes_;
  std::uint8_t priority_ = 0;
  /// Requests per second; 0 is no limit.
  double requestRate_ = 0;
  /// Requests in progress; 0 is no limit.
  std::uint32_t concurrency_ = 0;
  std::vector<RoutePattern> nonIdempotent_;
  bool requireIdempotencyKey_ = false;
  core::Duration claimRetention_{};
  core::Duration orderDeadline_{};
  double retryBudget_ = 0;
  std::uint32_t retryAttempts_ = 0;
  core::Duration retryBackoff_{};
  /// 0 is no hedging.
  core::Duration hedgeAfter_{};
  /// Times that one broken token stream is resumed; 0: never.
  std::uint32_t streamResumes_ = 0;
  std::uint32_t crashLimit_ = 0;
  core::Bytes bodyLimit_;
  bool prefixAffinity_ = false;

  bool MayCall(const core::CallerId& aCaller) const;
  bool IsNonIdempotent(std::string_view aMethod, std::string_view aPath) const;
};

struct ServerSettings
{
  core::ServerId id_;
  ServerKind kind_ = ServerKind::Engine;
  std::string address_;
  /// The host in the platform's list on which the server runs.
  core::HostId host_;
  core::FailureDomainId failureDomain_;
  core::Bytes memory_;
  std::string pool_;
  std::uint32_t slots_ = 0;
  std::uint32_t accelerators_ = 0;
  Fencing fencing_ = Fencing::Checked;
  LoadReporting loadReporting_ = LoadReporting::Scrape;
};

struct CallerSettings
{
  core::CallerId id_;
  /// SHA-256 of the caller's key, 64 lower-case hexadecimal digits.
  std::string keySha256_;
  double weight_ = 0;
  std::uint8_t priority_ = 0;
  double requestRate_ = 0;
  std::uint32_t concurrency_ = 0;
};

struct ModelSettings
{
  core::ModelName id_;
  core::Bytes memory_;
  core::Bytes checkpoint_;
  core::Duration loadFromMemory_{};
  core::Duration loadFromDisk_{};
  core::Duration loadFromRemote_{};
};

struct StoreSettings
{
  double loadsPerSecond_ = 0;
  std::uint32_t concurrentLoads_ = 0;
  std::uint32_t adapterLoads_ = 0;
};

struct PlatformSettings
{
  std::string hostListUrl_;
  core::Duration pollInterval_{};
};

} // namespace crocusslip::state
