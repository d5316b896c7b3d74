#pragma once

#include "core/Hash.hpp"
#include "entry/Gateway.hpp"
#include "protocol/EventStream.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace crocusslip::entry {

/// One request of a caller, from its arrival to its answer, over all servers
/// that it is sent to.
class GatewayCall : public std::enable_shared_from_this<GatewayCall>
{
public:
  GatewayCall(Gateway& aGateway,
              std::shared_ptr<transport::CallerLink> aLink,
              transport::HttpRequest aRequest);
  ~GatewayCall();
  GatewayCall(const GatewayCall&) = delete;
  GatewayCall& operator=(const GatewayCall&) = delete;

  /// Returns whether the caller's connection can be used again.
  transport::Task<bool> Run();
  /// A place was found; called by the gateway.
  void Grant(const coordination::BackendChoice& aChoice);
  /// Whether a place can still be found in time.
  bool MayWait() const { return LatestPlace().has_value(); }
  /// The time until which it may wait has changed.
  void Recheck() { timer_.cancel(); }

private:
  enum class Next : std::uint8_t
  {
    /// An answer, or all there will be of it, has been written.
    Done,
    /// The server did not run the request.
    RetryNotRun,
    /// The request may have run in part; allowed for repeatable requests.
    RetryMaybeRun,
    /// Nothing reached the server.
    RetryUnsent,
  };

  bool ReadHeaders();
  transport::Task<void> AwaitRoutes();
  transport::Task<void> Forward();
  transport::Task<bool> AwaitPlace();
  std::optional<core::MonotonicTime> LatestPlace() const;
  transport::Task<Next> Attempt();
  transport::Task<Next> Exchange(transport::ServerLink& aServer);
  transport::Task<Next> OnAnswer(transport::ServerLink& aServer,
                                 transport::AnswerHead& aHead);
  transport::Task<Next> RelayWhole(transport::ServerLink& aServer,
                                   transport::AnswerHead& aHead);
  transport::Task<Next> RelayStream(transport::ServerLink& aServer,
                                    const transport::AnswerHead& aHead);
  transport::Task<bool> WriteStreamHead(const transport::AnswerHead& aHead);
  transport::Task<std::unique_ptr<transport::ServerLink>> Open();
  transport::HttpRequest Outgoing() const;
  core::Duration AnswerLimit() const;
  core::Duration Left() const;
  bool MayRepeat(Next aNext);
  void Finish(coordination::SendOutcome aOutcome);
  void NoteEvents();
  transport::Task<void> Refuse(GatewayRefusal aReason,
                               unsigned aStatus,
                               std::optional<core::Duration> aRetryAfter);
  transport::Task<void> RefusePlace();
  void WatchCaller();
  void OnCallerGone();
  void LogEnd(std::string_view aOutcome) const;

  Gateway& gateway_;
  const std::shared_ptr<transport::CallerLink> link_;
  transport::HttpRequest request_;
  /// Kept while the call runs, whatever is published meanwhile.
  std::shared_ptr<const coordination::RouteTable> routes_;
  const coordination::Route* route_ = nullptr;
  coordination::BackendRequirements need_;
  std::string id_;
  core::Digest fingerprint_;
  core::MonotonicTime begin_;
  core::MonotonicTime deadline_;

  transport::asio::steady_timer timer_;
  transport::ServerLink* active_ = nullptr;
  std::optional<coordination::DispatchQueue::Id> ticket_;
  coordination::BackendChoice choice_;
  bool placed_ = false;
  bool gone_ = false;
  bool finished_ = false;
  bool keep_ = true;
  std::uint32_t sends_ = 0;
  std::uint32_t runs_ = 0;
  std::uint32_t refusals_ = 0;
  std::uint32_t unsent_ = 0;
  core::MonotonicTime sentAt_;
  /// The first event of the send under way is still to come.
  bool sendFirst_ = false;
  bool served_ = false;
  core::Duration placedAfter_{ 0 };
  core::Duration firstAfter_{ 0 };
  core::Duration longestPause_{ 0 };
  core::MonotonicTime lastEventAt_;
  std::uint32_t loadAtChoice_ = 0;

  /// Of a stream: the head has been written, and the last event passed on.
  bool streaming_ = false;
  std::optional<std::uint64_t> lastEvent_;
  /// An answer of a failed run, for the case that no other run succeeds.
  std::optional<transport::WholeAnswer> failure_;
};

} // namespace crocusslip::entry
