#include "protocol/PollSender.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusslip::protocol {

namespace {

/// Signs kept for a leader that does not answer; older ones are dropped, since
/// they say little of the servers' present state.
constexpr std::size_t kMaxUnconfirmedSigns = 1000;

} // namespace

PollSender::PollSender(std::int64_t aInstance)
  : instance_(aInstance)
{
}

void
PollSender::Fill(wire::PollRequest& aRequest,
                 std::vector<wire::Demand> aCurrent,
                 std::vector<wire::ServerSign> aSigns)
{
  const bool complete = base_ == 0;
  poll_ = ++number_;
  aRequest.instance = instance_;
  aRequest.number = poll_;
  aRequest.base = base_;
  named_.clear();
  AddSigns(aRequest, std::move(aSigns));
  for (wire::Demand& demand : aCurrent) {
    if (Take(demand, complete)) {
      named_.push_back(demand.deployment);
      aRequest.demands.push_back(std::move(demand));
    }
  }
  AddUnfollowed(aRequest, complete);
}

// True when the poll has to name the deployment.
bool
PollSender::Take(wire::Demand& aDemand, bool aComplete)
{
  const auto [found, added] = sent_.try_emplace(aDemand.deployment);
  Sent& sent = found->second;
  if (added) {
    sent.confirmed_ = aDemand.counted;
  }
  const bool first =
    added || aComplete || forgotten_.contains(aDemand.deployment);
  // A deadline moves on while requests wait, so that these are named always.
  const bool named = first || sent.stale_ || aDemand.waiting > 0 ||
                     aDemand.waiting != sent.waiting_ ||
                     aDemand.inFlight != sent.inFlight_ ||
                     aDemand.arrivals != sent.arrivals_;
  aDemand.__isset.counted = first;
  aDemand.counted = sent.confirmed_;
  sent.waiting_ = aDemand.waiting;
  sent.inFlight_ = aDemand.inFlight;
  sent.arrivals_ = aDemand.arrivals;
  sent.seen_ = poll_;
  sent.stale_ = false;
  return named;
}

void
PollSender::AddUnfollowed(wire::PollRequest& aRequest, bool aComplete)
{
  for (auto item = sent_.begin(); item != sent_.end();) {
    if (item->second.seen_ == poll_) {
      ++item;
      continue;
    }
    forgotten_.insert(item->first);
    item = sent_.erase(item);
  }
  if (!aComplete) {
    aRequest.unfollowed.assign(forgotten_.begin(), forgotten_.end());
  }
  forgotten_.clear();
}

void
PollSender::AddSigns(wire::PollRequest& aRequest,
                     std::vector<wire::ServerSign> aSigns)
{
  for (wire::ServerSign& sign : aSigns) {
    sign.number = poll_;
  }
  unconfirmedSigns_.insert(unconfirmedSigns_.end(),
                           std::make_move_iterator(aSigns.begin()),
                           std::make_move_iterator(aSigns.end()));
  if (unconfirmedSigns_.size() > kMaxUnconfirmedSigns) {
    unconfirmedSigns_.erase(unconfirmedSigns_.begin(),
                            unconfirmedSigns_.end() - kMaxUnconfirmedSigns);
  }
  aRequest.signs = unconfirmedSigns_;
}

std::int64_t
PollSender::Urgent(std::vector<wire::Demand>& aDemands)
{
  for (wire::Demand& demand : aDemands) {
    const auto found = sent_.find(demand.deployment);
    if (found != sent_.end()) {
      found->second.stale_ = true;
      demand.counted = found->second.confirmed_;
    }
    demand.__isset.counted = true;
  }
  return ++number_;
}

bool
PollSender::Confirmed(const std::string& aDeployment,
                      std::int64_t aArrivals) const
{
  const auto found = sent_.find(aDeployment);
  return found != sent_.end() && found->second.confirmed_ >= aArrivals;
}

void
PollSender::Forget(const std::string& aDeployment)
{
  if (sent_.erase(aDeployment) > 0) {
    forgotten_.insert(aDeployment);
  }
}

bool
PollSender::OnReply(const wire::PollReply& aReply)
{
  if (aReply.resync) {
    OnLost();
    return false;
  }
  base_ = poll_;
  for (const std::string& name : named_) {
    const auto found = sent_.find(name);
    if (found != sent_.end()) {
      found->second.confirmed_ = found->second.arrivals_;
    }
  }
  named_.clear();
  unconfirmedSigns_.clear();
  return true;
}

void
PollSender::OnLost()
{
  base_ = 0;
}

} // namespace crocusslip::protocol
