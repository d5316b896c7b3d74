#include "coordination/DispatchQueue.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Time for which servers count as scarce after a request found them full.
constexpr std::chrono::milliseconds kScarceTime{ 500 };

} // namespace

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

void
DispatchQueue::OnShares(admission::SharePercents aPercents,
                        core::MonotonicTime aNow)
{
  shares_ = std::move(aPercents);
  sharesUntil_ = aNow + admission::kSharesLifetime;
  std::erase_if(fullAt_, [&](const auto& aEntry) {
    return aNow >= aEntry.second + kScarceTime;
  });
}

DispatchQueue::Demand
DispatchQueue::DemandOf(const BackendRequirements& aRequirements)
{
  return { aRequirements.service_, aRequirements.model_ };
}

bool
DispatchQueue::IsScarce(const BackendRequirements& aRequirements,
                        const BackendView& aView,
                        core::MonotonicTime aNow) const
{
  const auto full = fullAt_.find(DemandOf(aRequirements));
  return (full != fullAt_.end() && aNow < full->second + kScarceTime) ||
         aView.SlotsTaken(aRequirements);
}

std::uint32_t
DispatchQueue::StepOf(const QueuedRequest& aRequest,
                      core::MonotonicTime aNow) const
{
  if (shares_.empty() || aNow >= sharesUntil_) {
    return 0;
  }
  const auto share = shares_.find(aRequest.tenant_);
  return share == shares_.end() ? 0 : admission::OveruseStep(share->second);
}

// A host with one or two waiting requests, all of the same tenant, would give
// each slot that becomes free to that tenant. Tenants at their share therefore
// take none while servers are scarce; their use falls below the share with the
// next requests that end.
bool
DispatchQueue::MustYield(const QueuedRequest& aRequest,
                         const BackendView& aView,
                         core::MonotonicTime aNow) const
{
  return StepOf(aRequest, aNow) > 0 && IsScarce(aRequest.need_, aView, aNow);
}

std::vector<DispatchQueue::Grant>
DispatchQueue::Assign(BackendView& aView,
                      core::MonotonicTime aNow,
                      core::Random& aRandom)
{
  std::vector<std::pair<Id, QueuedRequest*>> order;
  order.reserve(waiting_.size());
  for (auto& [id, request] : waiting_) {
    request.need_.overdue_ = aNow >= request.urgentFrom_;
    order.emplace_back(id, &request);
  }
  std::ranges::stable_sort(order, {}, [](const auto& aEntry) {
    return std::pair(aEntry.second->priority_, aEntry.second->waitingSince_);
  });
  if (!shares_.empty()) {
    std::ranges::stable_sort(order, {}, [&](const auto& aEntry) {
      return std::pair(StepOf(*aEntry.second, aNow),
                       aNow < aEntry.second->promotedFrom_);
    });
  }
  std::vector<Grant> grants;
  needGrants_.clear();
  for (const auto& [id, request] : order) {
    const BackendChoice choice = aView.Choose(request->need_, aNow, aRandom);
    request->foundFull_ = choice.status_ == BackendChoiceStatus::Full;
    if (request->foundFull_ && !request->tenant_.Empty()) {
      fullAt_[DemandOf(request->need_)] = aNow;
    }
    if (choice.status_ == BackendChoiceStatus::Found &&
        MustYield(*request, aView, aNow)) {
      request->foundFull_ = true;
      continue;
    }
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
