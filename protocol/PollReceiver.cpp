#include "protocol/PollReceiver.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace crocusslip::protocol {

std::optional<TakenPoll>
PollReceiver::Take(const wire::PollRequest& aRequest, core::MonotonicTime aNow)
{
  TakenPoll taken;
  taken.complete_ = aRequest.base == 0;
  const bool same = aRequest.instance == instance_;
  const bool late = same && aRequest.number <= taken_;
  const bool known = same && aRequest.base == answered_ &&
                     aNow - takenAt_ <= core::Duration(kSilence);
  if (late || (!taken.complete_ && !known)) {
    return std::nullopt;
  }
  FollowInstance(aRequest.instance, taken.demands_);
  for (const wire::ServerSign& sign : aRequest.signs) {
    if (sign.number > taken_) {
      taken.signs_.push_back(sign);
    }
  }
  taken_ = aRequest.number;
  takenAt_ = aNow;
  // The reply that the base refers to is superseded by the one to this poll.
  answered_ = 0;
  for (const std::string& name : aRequest.unfollowed) {
    Drop(name, aRequest.number, taken.demands_);
  }
  if (taken.complete_) {
    KeepOnly(aRequest, taken.demands_);
  }
  for (const wire::Demand& demand : aRequest.demands) {
    TakeDemand(demand, aRequest.number, taken.demands_);
  }
  return taken;
}

std::vector<TakenDemand>
PollReceiver::TakeUrgent(const std::vector<wire::Demand>& aDemands,
                         std::int64_t aInstance,
                         std::int64_t aNumber)
{
  Demands taken;
  FollowInstance(aInstance, taken);
  for (const wire::Demand& demand : aDemands) {
    // A later poll that does not follow the deployment has the last word.
    if (aNumber > taken_ || followed_.contains(demand.deployment)) {
      TakeDemand(demand, aNumber, taken);
    }
  }
  return taken;
}

bool
PollReceiver::OnAnswered(std::int64_t aNumber)
{
  if (aNumber != taken_) {
    return false;
  }
  answered_ = aNumber;
  return true;
}

// What an earlier process of the host reported ended with that process.
void
PollReceiver::FollowInstance(std::int64_t aInstance, Demands& aTaken)
{
  if (aInstance == instance_) {
    return;
  }
  for (const auto& [name, followed] : followed_) {
    aTaken.push_back({ name });
  }
  followed_.clear();
  ++version_;
  instance_ = aInstance;
  taken_ = 0;
  answered_ = 0;
}

void
PollReceiver::TakeDemand(const wire::Demand& aDemand,
                         std::int64_t aNumber,
                         Demands& aTaken)
{
  const auto [found, added] = followed_.try_emplace(aDemand.deployment);
  Followed& followed = found->second;
  version_ += added ? 1 : 0;
  TakenDemand taken{ aDemand.deployment };
  const std::int64_t counted = std::max(followed.arrivals_, aDemand.counted);
  taken.arrivals_ = std::max<std::int64_t>(0, aDemand.arrivals - counted);
  followed.arrivals_ = counted + taken.arrivals_;
  // Urgent demand and polls travel separately and may overtake each other.
  if (aNumber < followed.number_) {
    return;
  }
  followed.number_ = aNumber;
  taken.waiting_ = std::max(0, aDemand.waiting);
  taken.inFlight_ = std::max(0, aDemand.inFlight);
  taken.earliestDeadlineMs_ = aDemand.earliestDeadlineMs;
  aTaken.push_back(std::move(taken));
}

void
PollReceiver::Drop(const std::string& aDeployment,
                   std::int64_t aNumber,
                   Demands& aTaken)
{
  const auto found = followed_.find(aDeployment);
  if (found == followed_.end() || found->second.number_ > aNumber) {
    return;
  }
  followed_.erase(found);
  ++version_;
  aTaken.push_back({ aDeployment });
}

void
PollReceiver::KeepOnly(const wire::PollRequest& aRequest, Demands& aTaken)
{
  std::set<std::string> named;
  for (const wire::Demand& demand : aRequest.demands) {
    named.insert(demand.deployment);
  }
  std::vector<std::string> others;
  for (const auto& [name, followed] : followed_) {
    if (!named.contains(name)) {
      others.push_back(name);
    }
  }
  for (const std::string& name : others) {
    Drop(name, aRequest.number, aTaken);
  }
}

} // namespace crocusslip::protocol
