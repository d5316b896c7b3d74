#include "coordination/UnansweredOrders.hpp"

namespace crocusslip::coordination {

std::uint64_t
UnansweredOrders::OnSent(const PlacementOrder& aOrder,
                         std::int64_t aSequence,
                         core::MonotonicTime aNow)
{
  const std::uint64_t number = ++lastSend_;
  if (aOrder.verb_ == PlacementVerb::Load) {
    sends_[aOrder.server_].push_back(
      { number,
        aSequence,
        aOrder.adapter_.empty()
          ? aOrder.model_
          : core::ModelName(aOrder.model_.Value() + "/" + aOrder.adapter_),
        aNow });
  }
  return number;
}

void
UnansweredOrders::Restore(const core::ServerId& aServer,
                          std::int64_t aSequence,
                          const core::ModelName& aLoad,
                          core::MonotonicTime aNow)
{
  sends_[aServer].push_back({ ++lastSend_, aSequence, aLoad, aNow });
}

void
UnansweredOrders::OnAnswered(const core::ServerId& aServer, std::uint64_t aSend)
{
  const auto found = sends_.find(aServer);
  if (found == sends_.end()) {
    return;
  }
  std::erase_if(found->second, [aSend](const Send& aOther) {
    return aOther.number_ == aSend;
  });
  if (found->second.empty()) {
    sends_.erase(found);
  }
}

void
UnansweredOrders::Expire(core::MonotonicTime aNow)
{
  for (auto& [server, sends] : sends_) {
    std::erase_if(sends, [aNow](const Send& aSend) {
      return aNow >= aSend.sentAt_ + kLateOrderTime;
    });
  }
  std::erase_if(sends_,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

std::set<core::ServerId>
UnansweredOrders::Servers() const
{
  std::set<core::ServerId> servers;
  for (const auto& [server, sends] : sends_) {
    servers.insert(server);
  }
  return servers;
}

std::set<core::ModelName>
UnansweredOrders::LoadsAfter(const core::ServerId& aServer,
                             std::int64_t aSequence) const
{
  std::set<core::ModelName> loads;
  const auto found = sends_.find(aServer);
  if (found == sends_.end()) {
    return loads;
  }
  for (const Send& send : found->second) {
    if (send.sequence_ > aSequence) {
      loads.insert(send.load_);
    }
  }
  return loads;
}

std::set<core::ModelName>
UnansweredOrders::Loads(const core::ServerId& aServer) const
{
  std::set<core::ModelName> loads;
  const auto found = sends_.find(aServer);
  if (found != sends_.end()) {
    for (const Send& send : found->second) {
      loads.insert(send.load_);
    }
  }
  return loads;
}

std::set<core::ModelName>
UnansweredOrders::LoadsAt(const core::ServerId& aServer,
                          std::int64_t aSequence) const
{
  std::set<core::ModelName> loads = Loads(aServer);
  const auto found = sends_.find(aServer);
  if (found != sends_.end()) {
    for (const Send& send : found->second) {
      if (send.sequence_ != aSequence) {
        loads.erase(send.load_);
      }
    }
  }
  return loads;
}

} // namespace crocusslip::coordination
