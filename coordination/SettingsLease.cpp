#include "coordination/SettingsLease.hpp"

#include <algorithm>

namespace crocusslip::coordination {

namespace {

// Polls are sent every 500 ms. A reply that comes after this many later polls
// is ignored, since its lease would already have ended.
constexpr std::size_t kMaxOpenPolls = 16;

} // namespace

SettingsLease::SettingsLease(core::Revision aHighest)
  : highest_(aHighest)
  , serving_(aHighest)
{
}

std::uint64_t
SettingsLease::OnPollSent(core::MonotonicTime aNow)
{
  polls_.emplace(++lastPoll_, aNow);
  if (polls_.size() > kMaxOpenPolls) {
    polls_.erase(polls_.begin());
  }
  return lastPoll_;
}

LeaseAction
SettingsLease::OnPollReply(std::uint64_t aPoll, const LeaseGrant& aGrant)
{
  const auto poll = polls_.find(aPoll);
  if (poll == polls_.end()) {
    return LeaseIgnored{};
  }
  const core::MonotonicTime end = poll->second + aGrant.length_;
  polls_.erase(poll);
  if (aGrant.length_ <= core::Duration::zero()) {
    return LeaseIgnored{};
  }
  // Another reply may already have delivered a higher revision.
  const core::Revision latest =
    pending_.empty() ? highest_ : pending_.rbegin()->first;
  if (aGrant.revision_ < latest) {
    return LeaseRefused{ latest };
  }
  if (aGrant.revision_ > highest_) {
    core::MonotonicTime& pendingEnd = pending_[aGrant.revision_];
    pendingEnd = std::max(pendingEnd, end);
    return PersistRevision{ aGrant.revision_ };
  }
  leaseEnd_ = granted_ ? std::max(leaseEnd_, end) : end;
  granted_ = true;
  return LeaseExtended{};
}

void
SettingsLease::OnPersisted(core::Revision aRevision)
{
  const auto persisted = pending_.find(aRevision);
  if (persisted == pending_.end()) {
    return;
  }
  highest_ = aRevision;
  serving_ = aRevision;
  leaseEnd_ = persisted->second;
  granted_ = true;
  pending_.erase(pending_.begin(), std::next(persisted));
}

bool
SettingsLease::MayServe(core::MonotonicTime aNow) const
{
  return granted_ && aNow < leaseEnd_;
}

} // namespace crocusslip::coordination
