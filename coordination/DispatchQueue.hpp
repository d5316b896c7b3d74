#pragma once

#include "coordination/BackendView.hpp"
#include "core/Clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace crocusslip::coordination {

/// A request that waits for a slot at a server.
struct QueuedRequest
{
  BackendRequirements need_;
  /// Priority of its route; 0 is the most urgent.
  std::uint32_t priority_ = 0;
  core::MonotonicTime waitingSince_;
  core::MonotonicTime deadline_;
  /// From this time on it accepts a slow slot rather than none.
  core::MonotonicTime urgentFrom_ = core::MonotonicTime::max();
};

/// Requests of one host that wait for a slot at a backend server. Free slots go
/// to the most urgent route first, and within a route to the longest waiting
/// request. A request that can't use a free slot does not block the requests
/// behind it.
class DispatchQueue
{
public:
  using Id = std::uint64_t;
  struct Grant
  {
    Id id_ = 0;
    BackendChoice choice_;
  };

  Id Add(QueuedRequest aRequest);
  void Remove(Id aId);
  /// Assigns free slots to waiting requests, removes these from the queue and
  /// counts them as started in aView.
  std::vector<Grant> Assign(BackendView& aView,
                            core::MonotonicTime aNow,
                            core::Random& aRandom);
  /// Calls aUpdate for each waiting request, whose need it may change.
  void Update(const std::function<void(QueuedRequest&)>& aUpdate);
  /// Grants that the last Assign lacked: one for each waiting request, and one
  /// for each server that would have suited a request better than its own since
  /// the last call.
  std::map<core::ServerId, std::uint32_t> TakeWantedGrants();
  /// Whether a waiting request lacks a grant.
  bool LacksGrants() const { return !needGrants_.empty(); }
  std::size_t Size() const { return waiting_.size(); }
  const std::map<Id, QueuedRequest>& All() const { return waiting_; }

private:
  std::map<Id, QueuedRequest> waiting_;
  /// Servers whose grants waiting requests need, by request.
  std::map<Id, core::ServerId> needGrants_;
  /// Servers that would have suited granted requests better.
  std::set<core::ServerId> preferred_;
  Id nextId_ = 1;
};

} // namespace crocusslip::coordination
