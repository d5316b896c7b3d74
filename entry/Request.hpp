#pragma once

#include "coordination/AdmissionTypes.hpp"
#include "coordination/RouterTypes.hpp"
#include "core/Clock.hpp"
#include "core/Hash.hpp"
#include "core/Ids.hpp"
#include "protocol/StreamTracker.hpp"
#include "state/SettingsViews.hpp"
#include "transport/HttpClient.hpp"
#include "transport/HttpServer.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocusslip::entry {

class RelayedStream;

/// Where a request stands. Guarded by the dispatcher's lock.
enum class RequestPhase : std::uint8_t
{
  Waiting,
  /// Taken from the queue; its claim is not committed yet.
  Claiming,
  /// Taken from the queue; no server can take it now, or a retry is due later.
  Parked,
  Running,
  /// A stream broke; it is not decided yet how it goes on.
  StreamBroken,
  Finished,
};

/// One caller's request from arrival to answer.
struct Request
{
  core::RequestId id_;
  coordination::Ticket ticket_;
  std::shared_ptr<transport::HttpExchange> exchange_;
  std::shared_ptr<const state::DeploymentSettings> settings_;
  core::CallerId caller_;
  core::Digest fingerprint_;
  std::vector<std::uint64_t> prefixBlocks_;
  bool idempotent_ = true;
  bool wantsStream_ = false;
  /// Greedy or with a fixed seed.
  bool deterministic_ = false;
  /// Idempotency key of a request that must not run twice.
  std::optional<std::string> key_;
  std::int32_t priority_ = 0;
  core::MonotonicTime arrived_;
  core::MonotonicTime deadline_;

  RequestPhase phase_ = RequestPhase::Waiting;
  bool claimed_ = false;
  /// The deployment had no loaded replica when the request arrived.
  bool cold_ = false;
  std::uint32_t attempts_ = 0;
  coordination::ServerHandle server_;
  core::ServerId serverId_;
  core::FailureDomainId serverDomain_;
  core::MonotonicTime attemptStart_;
  /// For a parked request.
  core::MonotonicTime retryAt_;
  /// Until when it waits for another request with its key; unset until it
  /// meets one.
  core::MonotonicTime duplicateUntil_;
  core::FailureDomainId avoidDomain_;
  std::vector<coordination::ServerHandle> tried_;
  bool isolated_ = false;
  bool proven_ = false;
  /// A byte may have reached a backend server that did not vouch that nothing
  /// ran.
  bool mayHaveRun_ = false;
  std::shared_ptr<transport::HttpCall> call_;
  /// A stream that broke at least once.
  std::shared_ptr<RelayedStream> stream_;

  /// Number of the attempt whose answer counts; later or earlier ones are
  /// dropped. Read without the lock by running attempts.
  std::atomic<std::uint32_t> currentAttempt_{ 0 };
  /// Set by the running attempt once bytes of an answer were passed on.
  std::atomic<bool> answerStarted_{ false };

  const core::DeploymentId& Deployment() const { return settings_->id_; }
  coordination::RouteRequest Route() const;
};

} // namespace crocusslip::entry
