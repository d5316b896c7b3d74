#pragma once

#include "fleet_types.h"

#include "transport/Coroutine.hpp"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace crocusslip::entry {

/// Synchronizes a host with the leader of the control group on a thread of its
/// own: sends the host's reports and receives changes of the fleet's state.
/// Finds the leader through the configured seeds and the members listed in
/// earlier replies.
class FleetLink
{
public:
  using RequestBuilder = std::function<wire::SyncRequest()>;
  using ReplyHandler = std::function<void(const wire::SyncReply&)>;

  /// Both functions are called on aLoop.
  FleetLink(transport::asio::io_context& aLoop,
            RequestBuilder aBuildRequest,
            ReplyHandler aOnReply);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  /// Addresses "HOST:PORT" of control processes; may be called again.
  void SetSeeds(std::vector<std::string> aSeeds);
  void Start();
  void Stop();
  /// Sends the next report without the usual pause.
  void SyncNow();

private:
  void Run();
  /// Synchronizes with one member. Returns true after Stop, and false when the
  /// member failed or is not the leader; aLeader is then the leader that it
  /// named, if any.
  bool Sync(const std::string& aAddress, std::string& aLeader);
  /// The next member or seed to try, other than aFailed if there is another;
  /// empty when none is known.
  std::string NextAddress(const std::string& aFailed);
  void WaitUnlessWoken(std::chrono::milliseconds aTime);
  /// Waits until SyncNow is called, at least for aLeast and at most for aMost.
  void Pause(std::chrono::milliseconds aLeast, std::chrono::milliseconds aMost);

  transport::asio::io_context& loop_;
  const RequestBuilder buildRequest_;
  const ReplyHandler onReply_;
  /// Guards the members below, except hosts_ and thread_; no callback runs
  /// while it is held.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  std::size_t nextAddress_ = 0;
  bool syncRequested_ = false;
  bool stopping_ = false;
  /// Number of entry hosts in the last reply; determines the report interval.
  std::atomic<std::int32_t> hosts_{ 1 };
  std::thread thread_;
};

} // namespace crocusslip::entry
