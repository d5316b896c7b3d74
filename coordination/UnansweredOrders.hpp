#pragma once

#include "coordination/ModelPlacement.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace crocusslip::coordination {

/// Longest time after which an order that got no answer may still be carried
/// out.
constexpr std::chrono::seconds kLateOrderTime{ 15 };

/// Orders to load that were sent and not answered. A server carries one out
/// late if it counts the order's sequence at that moment. That sequence is past
/// in the same run of the server, but may be reached again after a restart,
/// with other content than the order was planned on.
class UnansweredOrders
{
public:
  /// Returns the number of this send, for OnAnswered. Orders to unload need no
  /// memory and are not remembered.
  std::uint64_t OnSent(const PlacementOrder& aOrder,
                       std::int64_t aSequence,
                       core::MonotonicTime aNow);
  /// An order of an earlier leader, which was not answered as far as is known.
  void Restore(const core::ServerId& aServer,
               std::int64_t aSequence,
               const core::ModelName& aLoad,
               core::MonotonicTime aNow);
  /// The send got an answer, so that it can't be carried out later.
  void OnAnswered(const core::ServerId& aServer, std::uint64_t aSend);
  void Expire(core::MonotonicTime aNow);

  std::set<core::ServerId> Servers() const;
  /// Loads that the server may still carry out when it counts more orders than
  /// aSequence.
  std::set<core::ModelName> LoadsAfter(const core::ServerId& aServer,
                                       std::int64_t aSequence) const;
  /// Loads that the server may carry out in this run or in a later one. An
  /// order that is planned on a content without them may follow them there.
  std::set<core::ModelName> Loads(const core::ServerId& aServer) const;
  /// Those of them that have only this sequence: in each run the server accepts
  /// either one of them or another order with it.
  std::set<core::ModelName> LoadsAt(const core::ServerId& aServer,
                                    std::int64_t aSequence) const;

private:
  struct Send
  {
    std::uint64_t number_ = 0;
    std::int64_t sequence_ = 0;
    /// "MODEL/ADAPTER" for an adapter.
    core::ModelName load_;
    core::MonotonicTime sentAt_;
  };

  std::map<core::ServerId, std::vector<Send>> sends_;
  std::uint64_t lastSend_ = 0;
};

} // namespace crocusslip::coordination
