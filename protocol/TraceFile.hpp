#pragma once

#include "coordination/CapacityView.hpp"
#include "coordination/KeepAlive.hpp"
#include "coordination/LoadScheduler.hpp"
#include "core/Finding.hpp"

#include <cstdint>
#include <iosfwd>
#include <string>
#include <variant>
#include <vector>

/// Recorded or made traces of requests and faults, as JSON Lines; the format
/// is described in docs/traces.md.
namespace crocusslip::protocol {

inline constexpr int kTraceVersion = 1;

struct TraceServer
{
  core::ServerId id_;
  core::FailureDomainId failureDomain_;
  core::Bytes memory_;
  /// Main memory for checkpoints.
  core::Bytes cacheMemory_{};
  double speed_ = 1.0;
};

struct TraceCheckpoint
{
  core::ServerId server_;
  coordination::CheckpointTier tier_ = coordination::CheckpointTier::Remote;
};

struct TraceDeployment
{
  coordination::CapacityDeployment capacity_;
  std::vector<TraceCheckpoint> cached_;
  std::vector<coordination::CalendarWindow> windows_;
};

/// First line of a trace. Times are counted from a Monday 00:00.
struct TraceSettings
{
  int version_ = kTraceVersion;
  std::string name_;
  /// False for a recorded trace.
  bool made_ = false;
  std::uint64_t seed_ = 0;
  /// Requests before this only teach the arrival statistics.
  core::Duration replayFrom_{};
  /// Requests from here on are measured.
  core::Duration measureFrom_{};
  core::Duration end_{};
  std::uint32_t entryHosts_ = 1;
  double idleCost_ = 0;
  coordination::StoreLimits store_;
  std::vector<TraceServer> servers_;
  std::vector<TraceDeployment> deployments_;
};

struct TraceRequest
{
  core::Duration time_{};
  core::DeploymentId deployment_;
  core::CallerId caller_;
  /// After time_.
  core::Duration deadline_{};
  std::uint32_t promptTokens_ = 0;
  std::uint32_t outputTokens_ = 0;
  /// Service time on a server of speed 1.
  core::Duration service_{};
  std::uint32_t entryHost_ = 0;
  bool idempotent_ = true;
  /// Each server that runs it fails.
  bool crashes_ = false;
};

enum class TraceEventKind : std::uint8_t
{
  /// The store's throughput is divided by factor_.
  StoreSlowed,
  StoreRestored,
  FailureDomainLost,
  FailureDomainRestored,
  ServerLeaving,
  ServerKilled,
  ServerRestored,
};

struct TraceEvent
{
  core::Duration time_{};
  TraceEventKind kind_ = TraceEventKind::StoreSlowed;
  double factor_ = 1.0;
  core::FailureDomainId failureDomain_;
  core::ServerId server_;
};

struct Trace
{
  TraceSettings settings_;
  /// Both in order of time.
  std::vector<TraceRequest> requests_;
  std::vector<TraceEvent> events_;
};

/// Reads a trace; every mistake is added to aFindings with its line.
Trace
ReadTrace(std::istream& aInput,
          const std::string& aName,
          core::Findings& aFindings);

void
WriteTrace(const Trace& aTrace, std::ostream& aOutput);

std::string_view
Name(TraceEventKind aKind);

} // namespace crocusslip::protocol
