#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

/// Reasons of refusals and retries; each has a counter.
namespace crocusslip::core {

enum class RefusalReason : std::uint8_t
{
  UnknownDeployment,
  UnknownRoute,
  MethodNotAllowed,
  Malformed,
  LengthRequired,
  BodyTooLarge,
  BodyTimeout,
  Unauthorized,
  Forbidden,
  CallerLimit,
  DeploymentLimit,
  QueueFull,
  DeadlineUnreachable,
  DeadlinePassed,
  LoadFailed,
  NoReplica,
  SettingsLeaseExpired,
  Draining,
  Quarantined,
  RetryBudgetExhausted,
  BackendConnectFailed,
  BackendFailed,
  BackendTimeout,
  StreamBroken,
  KeyInProgress,
  KeyReused,
  KeyExpired,
  KeyOutcomeUnknown,
  ClaimTableFull,
  ClaimUnavailable,
  /// The control leader's disk is full, so that nothing can be recorded.
  ControlDiskFull,
  Overloaded,
  Internal,
  Count,
};

enum class RetryReason : std::uint8_t
{
  ConnectFailed,
  ConnectionLostBeforeBody,
  BackendOverloaded,
  BackendLeaving,
  BackendFailed,
  StreamResumed,
  Hedge,
  Count,
};

/// Whether a refused request may have run.
enum class Ran : std::uint8_t
{
  NotRun,
  Unknown,
};

std::string_view
Name(RefusalReason aReason);
std::string_view
Name(RetryReason aReason);
std::string_view
Name(Ran aRan);

inline constexpr std::size_t kRefusalReasons =
  static_cast<std::size_t>(RefusalReason::Count);
inline constexpr std::size_t kRetryReasons =
  static_cast<std::size_t>(RetryReason::Count);

} // namespace crocusslip::core
