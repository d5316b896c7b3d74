#include "coordination/DispatchQueue.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::coordination {

DispatchQueue::Id
DispatchQueue::Add(QueuedRequest aRequest)
{
  const Id id = nextId_++;
  waiting_.emplace(id, std::move(aRequest));
  return id;
}

void
DispatchQueue::Remove(Id aId)
{
  waiting_.erase(aId);
  needGrants_.erase(aId);
}

std::vector<DispatchQueue::Grant>
DispatchQueue::Assign(BackendView& aView,
                      core::MonotonicTime aNow,
                      core::Random& aRandom)
{
  std::vector<std::pair<Id, const QueuedRequest*>> order;
  order.reserve(waiting_.size());
  for (auto& [id, request] : waiting_) {
    request.need_.overdue_ = aNow >= request.urgentFrom_;
    order.emplace_back(id, &request);
  }
  std::ranges::stable_sort(order, {}, [](const auto& aEntry) {
    return std::pair(aEntry.second->priority_, aEntry.second->waitingSince_);
  });
  std::vector<Grant> grants;
  needGrants_.clear();
  for (const auto& [id, request] : order) {
    const BackendChoice choice = aView.Choose(request->need_, aNow, aRandom);
    if (choice.status_ == BackendChoiceStatus::Found) {
      aView.OnStart(choice.server_, request->need_);
      aView.SpendGrant(choice.server_, aNow);
      grants.push_back({ id, choice });
    }
    if (choice.needsGrant_.Empty()) {
      continue;
    }
    if (choice.status_ == BackendChoiceStatus::Found) {
      preferred_.insert(choice.needsGrant_);
    } else {
      needGrants_[id] = choice.needsGrant_;
    }
  }
  for (const Grant& grant : grants) {
    waiting_.erase(grant.id_);
  }
  return grants;
}

void
DispatchQueue::Update(const std::function<void(QueuedRequest&)>& aUpdate)
{
  for (auto& [id, request] : waiting_) {
    aUpdate(request);
  }
}

std::map<core::ServerId, std::uint32_t>
DispatchQueue::TakeWantedGrants()
{
  std::map<core::ServerId, std::uint32_t> wanted;
  for (const core::ServerId& server : preferred_) {
    wanted[server] = 1;
  }
  preferred_.clear();
  for (const auto& [id, server] : needGrants_) {
    ++wanted[server];
  }
  return wanted;
}

} // namespace crocusslip::coordination
