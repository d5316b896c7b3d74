// Orders to servers that don't check fencing numbers: they are sent once the
// group has recorded them, so that the next leader knows of them.
#include "control/FleetController.hpp"

#include "core/Log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace crocusslip::control {

namespace {

using coordination::PlacementOrder;
using coordination::PlacementVerb;

/// Bounds an entry, which the decoder would refuse with 8,192 orders.
constexpr std::size_t kMaxBatch = 4096;
/// Longest time for which the end of an order is not told, for the sake of a
/// common entry; meanwhile a new leader would keep memory free for it.
constexpr std::chrono::milliseconds kEndInterval{ 500 };

std::string
TargetOf(const PlacementOrder& aOrder)
{
  return aOrder.adapter_.empty()
           ? aOrder.model_.Value()
           : aOrder.model_.Value() + "/" + aOrder.adapter_;
}

} // namespace

void
FleetController::RestoreOrders(core::MonotonicTime aNow)
{
  const auto group = group_.Current();
  if (!group || settings_.fencingEnforced_) {
    return;
  }
  recorded_ = {};
  completeTold_ = false;
  group->WithState([&](const state::StateMachine& aState) {
    const state::ServerOrders& orders = aState.OrdersToServers();
    completeTold_ = orders.Complete();
    recorded_.Restore(orders, settings_.holderLease_ + kLeaseMargin, aNow);
    for (const auto& [id, server] : orders.Servers()) {
      for (const state::OpenServerOrder& open : server.open_) {
        if (open.order_.load_) {
          unanswered_.Restore(id,
                              open.order_.sequence_,
                              core::ModelName(open.order_.target_),
                              aNow);
        }
      }
    }
  });
  if (!completeTold_) {
    return;
  }
  // Each order that may still be carried out is known, and the servers that
  // must wait for the end of the holders' lease are named.
  earlierOrders_.reset();
  ordersFrom_ = aNow;
  placement_.OnLeaderChange(aNow, aNow + settings_.holderLease_ + kLeaseMargin);
}

std::chrono::milliseconds
FleetController::OrderClock() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    clock_.Now().time_since_epoch());
}

state::EndOrders
FleetController::TakeEnded()
{
  state::EndOrders end;
  end.now_ = OrderClock();
  end.lease_ = settings_.holderLease_ + kLeaseMargin;
  end.complete_ = !earlierOrders_;
  end.ended_ = recorded_.TakeEnded(clock_.Now());
  if (end.ended_.size() > kMaxBatch) {
    const auto rest = end.ended_.begin() + kMaxBatch;
    recorded_.OnEndLost({ rest, end.ended_.end() });
    end.ended_.erase(rest, end.ended_.end());
  }
  completeTold_ = end.complete_;
  endsToldAt_ = clock_.Now();
  return end;
}

void
FleetController::TellEnded(core::Term aTerm)
{
  const auto group = group_.Current();
  if (!group || settings_.fencingEnforced_) {
    return;
  }
  state::EndOrders end;
  {
    const std::lock_guard lock(mutex_);
    const core::MonotonicTime now = clock_.Now();
    const bool complete = !completeTold_ && !earlierOrders_;
    const bool ended =
      now >= endsToldAt_ + kEndInterval && recorded_.AnyEnded(now);
    if (term_ != aTerm || (!complete && !ended)) {
      return;
    }
    end = TakeEnded();
  }
  group->Propose(end, [this, end, aTerm](const ProposalResult& aResult) {
    if (!aResult.Ok()) {
      transport::asio::post(loop_,
                            [this, end, aTerm] { OnEndLost(end, aTerm); });
    }
  });
}

void
FleetController::OnEndLost(const state::EndOrders& aEnd, core::Term aTerm)
{
  const std::lock_guard lock(mutex_);
  if (term_ == aTerm) {
    recorded_.OnEndLost(aEnd.ended_);
    completeTold_ = false;
  }
}

void
FleetController::Dispatch(std::vector<PlannedOrder> aOrders, core::Term aTerm)
{
  if (settings_.fencingEnforced_) {
    for (PlannedOrder& order : aOrders) {
      transport::Spawn(loop_, [this, order = std::move(order), aTerm] {
        return RunOrder(order, aTerm);
      });
    }
    return;
  }
  for (std::size_t begin = 0; begin < aOrders.size(); begin += kMaxBatch) {
    const std::size_t end = std::min(begin + kMaxBatch, aOrders.size());
    Agree({ aOrders.begin() + static_cast<std::ptrdiff_t>(begin),
            aOrders.begin() + static_cast<std::ptrdiff_t>(end) },
          aTerm);
  }
}

void
FleetController::Agree(std::vector<PlannedOrder> aOrders, core::Term aTerm)
{
  const auto group = group_.Current();
  state::RecordOrders record;
  for (const PlannedOrder& planned : aOrders) {
    const EngineRun run = planned.run_.value_or(EngineRun());
    record.orders_.push_back({ planned.order_.server_,
                               run.startedAt_,
                               run.sequence_,
                               planned.order_.verb_ == PlacementVerb::Load,
                               TargetOf(planned.order_) });
  }
  if (!group) {
    OnAgreed(std::move(aOrders), record.end_, aTerm, {});
    return;
  }
  {
    const std::lock_guard lock(mutex_);
    record.end_ = TakeEnded();
  }
  group->Propose(record,
                 [this, orders = std::move(aOrders), end = record.end_, aTerm](
                   const ProposalResult& aResult) {
                   const auto* answer =
                     aResult.Ok()
                       ? std::get_if<state::OrdersAnswer>(&aResult.Value())
                       : nullptr;
                   auto numbers = answer == nullptr
                                    ? std::vector<std::uint64_t>()
                                    : answer->numbers_;
                   transport::asio::post(loop_, [=, this] {
                     OnAgreed(orders, end, aTerm, numbers);
                   });
                 });
}

void
FleetController::OnAgreed(std::vector<PlannedOrder> aOrders,
                          const state::EndOrders& aEnd,
                          core::Term aTerm,
                          std::vector<std::uint64_t> aNumbers)
{
  if (aNumbers.size() != aOrders.size()) {
    core::Log(core::LogLevel::Warning,
              "orders not sent, the group has not recorded them",
              { { "orders", std::to_string(aOrders.size()) } });
    OnEndLost(aEnd, aTerm);
    aNumbers.assign(aOrders.size(), 0);
  }
  const std::lock_guard lock(mutex_);
  if (term_ != aTerm) {
    return;
  }
  for (std::size_t i = 0; i < aOrders.size(); ++i) {
    PlannedOrder& planned = aOrders[i];
    planned.number_ = aNumbers[i];
    if (planned.number_ == 0) {
      // Planned anew once the server has been read again.
      ordersGivenUp_.Add();
      placement_.OnOrderDone(planned.order_, false, clock_.Now());
      continue;
    }
    recorded_.OnRecorded(planned.number_);
    transport::Spawn(
      loop_, [this, planned, aTerm] { return RunOrder(planned, aTerm); });
  }
  ShowModels();
}

} // namespace crocusslip::control
