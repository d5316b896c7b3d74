#pragma once

#include "core/Clock.hpp"
#include "core/Finding.hpp"
#include "core/Ids.hpp"
#include "core/Units.hpp"
#include "state/ListenAddress.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The settings file of one daemon.
namespace crocusslip::state {

enum class ProgramKind : std::uint8_t
{
  Entry,
  Control,
};

struct MemberSettings
{
  core::MemberId id_;
  ListenAddress address_;
  /// Where the member answers operators; empty when it does not.
  ListenAddress admin_;
  core::FailureDomainId failureDomain_;
  /// Whether the member votes when the group starts for the first time.
  bool voter_ = true;
};

struct TlsSettings
{
  std::string certificate_;
  std::string key_;
  std::string authority_;

  bool Enabled() const { return !certificate_.empty(); }
};

/// Intervals and limits in time; the defaults are those of the design.
struct TimerSettings
{
  core::Duration poll_ = std::chrono::milliseconds(500);
  core::Duration heartbeat_ = std::chrono::milliseconds(100);
  core::Duration electionMin_ = std::chrono::milliseconds(500);
  core::Duration electionMax_ = std::chrono::milliseconds(900);
  core::Duration leaderLease_ = std::chrono::milliseconds(400);
  core::Duration settingsLease_ = std::chrono::seconds(3);
  core::Duration rpcTimeout_ = std::chrono::seconds(2);
  core::Duration connectTimeout_ = std::chrono::seconds(1);
  core::Duration bodyWait_ = std::chrono::seconds(10);
  core::Duration drainWait_ = std::chrono::minutes(5);
  /// Time from reporting not ready until new requests are refused.
  core::Duration readyGrace_ = std::chrono::seconds(2);
  core::Duration metricsScrape_ = std::chrono::milliseconds(500);
};

struct LimitSettings
{
  std::uint32_t requests_ = 10000;
  std::uint32_t connections_ = 4096;
  core::Bytes body_{ 16 * core::kMebi };
  core::Bytes bodiesInMemory_{ 256 * core::kMebi };
  std::uint32_t claims_ = 4000000;
  std::uint32_t snapshotEvery_ = 50000;
};

struct ProcessSettings
{
  ProgramKind program_ = ProgramKind::Entry;
  std::string cluster_;
  core::HostId host_;
  core::FailureDomainId failureDomain_;
  /// Control only.
  core::MemberId member_;
  ListenAddress http_;
  ListenAddress rpc_;
  ListenAddress admin_;
  std::vector<MemberSettings> members_;
  std::string dataFolder_;
  std::uint32_t ioThreads_ = 8;
  std::uint32_t workerThreads_ = 4;
  bool allowPlaintext_ = false;
  /// Lets operators drop this process's messages, for tests of partitions.
  bool allowFaults_ = false;
  TlsSettings tls_;
  std::string logLevel_ = "info";
  /// Empty: standard error.
  std::string logFile_;
  /// Empty: no trace.
  std::string traceFile_;
  /// File with the operators' tokens; empty: none needed on loopback.
  std::string operatorTokens_;
  TimerSettings timers_;
  LimitSettings limits_;

  /// Files whose content is secret; their mode must pass CheckSecretMode.
  std::vector<std::string> SecretFiles() const;
};

struct ParsedProcessSettings
{
  ProcessSettings settings_;
  core::Findings findings_;
};

/// Reads the file's text; all mistakes are reported together.
ParsedProcessSettings
ParseProcessSettings(ProgramKind aProgram,
                     std::string_view aText,
                     const std::string& aFile);

/// A finding when others than the owner may change a daemon's settings file,
/// which names its keys and its authority.
std::optional<core::Finding>
CheckSettingsMode(const std::string& aFile, std::uint32_t aMode);

/// A finding when others than the owner may use a secret file (mode wider
/// than 0600).
std::optional<core::Finding>
CheckSecretMode(const std::string& aFile, std::uint32_t aMode);

} // namespace crocusslip::state
