#include "placement/RecordedOrders.hpp"

#include "coordination/UnansweredOrders.hpp"

#include <algorithm>

namespace crocusslip::placement {

using coordination::kLateOrderTime;

void
RecordedOrders::Restore(const state::ServerOrders& aOrders,
                        core::Duration aLease,
                        core::MonotonicTime aNow)
{
  orders_.clear();
  ordersFrom_.clear();
  for (const auto& [id, server] : aOrders.Servers()) {
    for (const state::OpenServerOrder& open : server.open_) {
      orders_[open.number_] = { 1, true, aNow + kLateOrderTime };
    }
    // An open order may have been sent until the earlier leader's end. That of
    // an ended one is at least as long ago as the table's newest command.
    const core::Duration age =
      server.open_.empty() ? core::Duration(aOrders.Now() - server.lastAt_)
                           : core::Duration(0);
    if (age < aLease) {
      ordersFrom_[id] = aNow + aLease - age;
    }
  }
}

void
RecordedOrders::OnRecorded(std::uint64_t aNumber)
{
  orders_[aNumber] = {};
}

void
RecordedOrders::OnSent(std::uint64_t aNumber, core::MonotonicTime aNow)
{
  const auto found = orders_.find(aNumber);
  if (found != orders_.end()) {
    ++found->second.unanswered_;
    found->second.lateUntil_ = aNow + kLateOrderTime;
  }
}

void
RecordedOrders::OnAnswered(std::uint64_t aNumber)
{
  const auto found = orders_.find(aNumber);
  if (found != orders_.end() && found->second.unanswered_ > 0) {
    --found->second.unanswered_;
  }
}

void
RecordedOrders::OnFinished(std::uint64_t aNumber)
{
  const auto found = orders_.find(aNumber);
  if (found != orders_.end()) {
    found->second.finished_ = true;
  }
}

bool
RecordedOrders::HasEnded(const Order& aOrder, core::MonotonicTime aNow)
{
  return aOrder.finished_ &&
         (aOrder.unanswered_ == 0 || aNow >= aOrder.lateUntil_);
}

bool
RecordedOrders::AnyEnded(core::MonotonicTime aNow) const
{
  return std::ranges::any_of(orders_, [aNow](const auto& aEntry) {
    return HasEnded(aEntry.second, aNow);
  });
}

std::vector<std::uint64_t>
RecordedOrders::TakeEnded(core::MonotonicTime aNow)
{
  std::vector<std::uint64_t> ended;
  std::erase_if(orders_, [&](const auto& aEntry) {
    const bool over = HasEnded(aEntry.second, aNow);
    if (over) {
      ended.push_back(aEntry.first);
    }
    return over;
  });
  return ended;
}

void
RecordedOrders::OnEndLost(const std::vector<std::uint64_t>& aNumbers)
{
  for (const std::uint64_t number : aNumbers) {
    orders_[number] = { 0, true, {} };
  }
}

std::set<core::ServerId>
RecordedOrders::Withheld(core::MonotonicTime aNow) const
{
  std::set<core::ServerId> withheld;
  for (const auto& [id, from] : ordersFrom_) {
    if (aNow < from) {
      withheld.insert(id);
    }
  }
  return withheld;
}

} // namespace crocusslip::placement
