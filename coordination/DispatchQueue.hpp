#pragma once

#include "coordination/BackendView.hpp"
#include "core/Clock.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace crocusslip::coordination {

/// A request that needs a place at a server.
struct QueuedRequest
{
  BackendRequirements need_;
  /// Rank of its route; 0 is the most urgent.
  std::uint32_t priority_ = 0;
  core::MonotonicTime since_;
  core::MonotonicTime deadline_;
  /// When it is pressed for a place.
  core::MonotonicTime pressedAt_ = core::MonotonicTime::max();
};

/// Requests of one host that wait for a place. Answers a burst: places go to
/// the most urgent route first, and within a route to the longest waiting; a
/// request that can't use a free place does not hold up those behind it.
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
  /// Gives free places to waiting requests and counts them in aView.
  std::vector<Grant> Assign(BackendView& aView,
                            core::MonotonicTime aNow,
                            core::Random& aRandom);
  std::size_t Size() const { return waiting_.size(); }
  const std::map<Id, QueuedRequest>& All() const { return waiting_; }

private:
  std::map<Id, QueuedRequest> waiting_;
  Id nextId_ = 1;
};

} // namespace crocusslip::coordination
