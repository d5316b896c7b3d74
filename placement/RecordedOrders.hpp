#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "state/ServerOrders.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

/// Which orders to servers may be given, and when they are over.
namespace crocusslip::placement {

/// A leader's view of the orders in the replicated state: which of them have
/// ended, and from when servers may get orders of this leader. For leaders that
/// die, freeze or are cut off while orders are under way at servers that don't
/// check fencing numbers.
class RecordedOrders
{
public:
  /// A term begins. The orders of earlier leaders may be carried out for a
  /// while yet, and two holders must not give orders to a server within aLease.
  void Restore(const state::ServerOrders& aOrders,
               core::Duration aLease,
               core::MonotonicTime aNow);
  /// The order with this number is about to be sent.
  void OnRecorded(std::uint64_t aNumber);
  /// Each send of an order counts until it is answered.
  void OnSent(std::uint64_t aNumber, core::MonotonicTime aNow);
  void OnAnswered(std::uint64_t aNumber);
  /// The order will not be sent again.
  void OnFinished(std::uint64_t aNumber);
  /// Whether there is an ended order to return.
  bool AnyEnded(core::MonotonicTime aNow) const;
  /// The orders that have ended; each is returned once.
  std::vector<std::uint64_t> TakeEnded(core::MonotonicTime aNow);
  /// The replicated state has not been told of these orders' end.
  void OnEndLost(const std::vector<std::uint64_t>& aNumbers);

  /// Servers that get no orders yet because of those of earlier leaders.
  std::set<core::ServerId> Withheld(core::MonotonicTime aNow) const;

private:
  struct Order
  {
    std::uint32_t unanswered_ = 0;
    bool finished_ = false;
    /// From then on no send of it can be carried out any more.
    core::MonotonicTime lateUntil_;
  };

  static bool HasEnded(const Order& aOrder, core::MonotonicTime aNow);

  std::map<std::uint64_t, Order> orders_;
  std::map<core::ServerId, core::MonotonicTime> ordersFrom_;
};

} // namespace crocusslip::placement
