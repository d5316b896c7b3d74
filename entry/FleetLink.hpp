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

/// Keeps a host in step with the leader of the control group, on a thread of
/// its own: reports what the host does and learns what has changed. Finds the
/// leader from the seeds of the settings and from the members that the group
/// has named since.
class FleetLink
{
public:
  using Report = std::function<wire::SyncRequest()>;
  using Learn = std::function<void(const wire::SyncReply&)>;

  /// Both functions are called on the loop.
  FleetLink(transport::asio::io_context& aLoop, Report aReport, Learn aLearn);
  ~FleetLink();
  FleetLink(const FleetLink&) = delete;
  FleetLink& operator=(const FleetLink&) = delete;

  /// Addresses "HOST:PORT" of control processes; may be called again.
  void SetSeeds(std::vector<std::string> aSeeds);
  void Start();
  void Stop();
  /// Reports without waiting for the next interval.
  void Hurry();

private:
  void Run();
  /// One call; false when another member has to be asked.
  bool Sync(const std::string& aAddress, std::string& aLeader);
  std::string NextAddress(const std::string& aFailed);
  void Pause(std::chrono::milliseconds aTime);

  transport::asio::io_context& loop_;
  const Report report_;
  const Learn learn_;
  /// Guards all below; nothing is called under it.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::vector<std::string> seeds_;
  std::vector<std::string> members_;
  std::size_t next_ = 0;
  bool hurry_ = false;
  bool stopping_ = false;
  std::atomic<std::int32_t> hosts_{ 1 };
  std::thread thread_;
};

} // namespace crocusslip::entry
