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

/// Processing state of a request. Guarded by the dispatcher's lock.
enum class RequestPhase : std::uint8_t
{
  Waiting,
  /// Taken from the queue; waiting for its claim to be committed.
  Claiming,
  /// Taken from the queue; waiting for a server, or for the time of a retry.
  Parked,
  Running,
  /// Its stream broke; how to continue is not decided yet.
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
  /// Uses greedy decoding or a fixed seed.
  bool deterministic_ = false;
  /// Idempotency key of a non-idempotent request.
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
  /// When a parked request is tried again.
  core::MonotonicTime retryAt_;
  /// Deadline for waiting on an earlier request with the same idempotency key;
  /// default-constructed while there is none.
  core::MonotonicTime duplicateUntil_;
  core::FailureDomainId avoidDomain_;
  std::vector<coordination::ServerHandle> tried_;
  /// Suspected of crashing servers: runs alone on its server, or at least not
  /// together with another suspect.
  bool isolated_ = false;
  /// An identical request has completed recently, so this one may run on any
  /// server.
  bool proven_ = false;
  /// Some bytes may have reached a backend server that did not state that it
  /// ran nothing, or an earlier request with the same idempotency key is in
  /// progress.
  bool mayHaveRun_ = false;
  std::shared_ptr<transport::HttpCall> call_;
  /// Set once the request's stream has broken.
  std::shared_ptr<RelayedStream> stream_;

  /// Number of the attempt whose answer is used; those of all others are
  /// dropped. Running attempts read it without the lock.
  std::atomic<std::uint32_t> currentAttempt_{ 0 };
  /// Set by the running attempt when the first bytes go to the caller.
  std::atomic<bool> answerStarted_{ false };

  const core::DeploymentId& Deployment() const { return settings_->id_; }
  coordination::RouteRequest MakeRouteRequest() const;
};

} // namespace crocusslip::entry
