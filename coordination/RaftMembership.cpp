#include "coordination/RaftMembership.hpp"

#include <utility>

namespace crocusslip::coordination {

RaftMembership::RaftMembership(const state::SnapshotMeta& aBase)
{
  Reset(aBase);
}

const state::GroupMembers&
RaftMembership::Current() const
{
  return versions_.back().members_;
}

const state::GroupMembers&
RaftMembership::At(core::LogIndex aIndex) const
{
  auto version = versions_.end() - 1;
  while (version != versions_.begin() && version->index_ > aIndex) {
    --version;
  }
  return version->members_;
}

void
RaftMembership::Append(core::LogIndex aIndex, state::GroupMembers aMembers)
{
  versions_.push_back({ aIndex, std::move(aMembers) });
}

void
RaftMembership::TruncateFrom(core::LogIndex aIndex)
{
  while (versions_.size() > 1 && versions_.back().index_ >= aIndex) {
    versions_.pop_back();
  }
}

void
RaftMembership::CompactThrough(core::LogIndex aIndex)
{
  while (versions_.size() > 1 && versions_[1].index_ <= aIndex) {
    versions_.erase(versions_.begin());
  }
}

void
RaftMembership::Reset(const state::SnapshotMeta& aBase)
{
  versions_.assign(1, { aBase.index_, aBase.members_ });
}

} // namespace crocusslip::coordination
