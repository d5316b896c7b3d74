#pragma once

#include "admission/FairShares.hpp"
#include "coordination/BackendView.hpp"
#include "core/Clock.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
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
  /// Empty without tenants.
  admission::TenantName tenant_ = admission::TenantName();
  /// From this time on it goes ahead of the others in its step of overuse.
  core::MonotonicTime promotedFrom_ = core::MonotonicTime::max();
  /// At the last Assign the servers that could run it were full, or it left
  /// their slots to other tenants.
  bool foundFull_ = false;
};

/// Requests of one host that wait for a slot at a backend server. Free slots go
/// to the most urgent route first, and within a route to the longest waiting
/// request; before that, while tenants compete, by the steps in which tenants
/// exceed their fair shares. A request that can't use a free slot does not
/// block the requests behind it.
class DispatchQueue
{
public:
  using Id = std::uint64_t;
  /// What requests compete for: servers of a service, or those with a model.
  using Demand = std::pair<ServiceName, core::ModelName>;
  struct Grant
  {
    Id id_ = 0;
    BackendChoice choice_;
  };

  static Demand DemandOf(const BackendRequirements& aRequirements);

  Id Add(QueuedRequest aRequest);
  void Remove(Id aId);
  /// Takes over how the tenants' use compares with their fair shares. Without
  /// news all tenants are equal again after a while.
  void OnShares(admission::SharePercents aPercents, core::MonotonicTime aNow);
  /// Whether tenants compete for the servers that could run such a request: the
  /// slots are taken, or a request found them full a short time ago.
  bool IsScarce(const BackendRequirements& aRequirements,
                const BackendView& aView,
                core::MonotonicTime aNow) const;
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
  /// By how many steps its tenant exceeds its fair share.
  std::uint32_t StepOf(const QueuedRequest& aRequest,
                       core::MonotonicTime aNow) const;
  /// Whether the request leaves free slots to less used tenants, whose requests
  /// may wait at other hosts.
  bool MustYield(const QueuedRequest& aRequest,
                 const BackendView& aView,
                 core::MonotonicTime aNow) const;

  std::map<Id, QueuedRequest> waiting_;
  /// Servers whose grants waiting requests need, by request.
  std::map<Id, core::ServerId> needGrants_;
  /// Servers that would have suited granted requests better.
  std::set<core::ServerId> preferred_;
  Id nextId_ = 1;
  admission::SharePercents shares_;
  core::MonotonicTime sharesUntil_;
  /// Last time at which a tenant's request found the servers full.
  std::map<Demand, core::MonotonicTime> fullAt_;
};

} // namespace crocusslip::coordination
