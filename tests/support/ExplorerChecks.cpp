#include "tests/support/ExplorerChecks.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::tests {

namespace {

/// Longest election timeout of a slow clock, and one round of ticks.
constexpr core::Duration kLongestLeadAlone = std::chrono::milliseconds(1000);
/// A membership change can end the majority at once; the leader notices it with
/// its next tick.
constexpr core::Duration kNoticeTime = std::chrono::milliseconds(50);

std::string
Text(core::MemberId aMember)
{
  return "member " + std::to_string(aMember.Value());
}

} // namespace

void
ExplorerChecks::OnLeader(const ExplorerMember& aMember, core::Duration aNow)
{
  leaderSince_[aMember.Id()] = aNow;
  const core::Term term = aMember.Node().Term();
  const auto [found, added] = leaders_.emplace(term, aMember.Id());
  if (!added && found->second != aMember.Id()) {
    Fail("two leaders in term " + std::to_string(term.Value()));
  }
  // A leader of an old term, elected late, may lack what later ones committed.
  const auto newest =
    std::find_if(committed_.rbegin(),
                 committed_.rend(),
                 [term](const auto& aItem) { return aItem.second.by_ < term; });
  if (newest != committed_.rend() &&
      aMember.Node().LastIndex() < newest->first) {
    Fail(Text(aMember.Id()) + " leads without all committed entries");
  }
}

void
ExplorerChecks::OnApplied(const ExplorerMember& aMember,
                          const state::LogEntry& aEntry)
{
  if (aEntry.index_ != aMember.Applied().Next()) {
    Fail(Text(aMember.Id()) + " applies out of order");
  }
  const auto [found, added] = committed_.emplace(
    aEntry.index_, CommittedEntry{ aEntry, aMember.Node().Term() });
  if (!added && found->second.entry_ != aEntry) {
    Fail(Text(aMember.Id()) + " applies another entry at " +
         std::to_string(aEntry.index_.Value()));
  }
}

void
ExplorerChecks::OnState(core::LogIndex aIndex, const std::string& aContent)
{
  const std::uint64_t digest = core::Hash64(aContent);
  const auto [found, added] = states_.emplace(aIndex, digest);
  if (!added && found->second != digest) {
    Fail("state machines differ at " + std::to_string(aIndex.Value()));
  }
}

void
ExplorerChecks::OnHalt(const ExplorerMember& aMember,
                       const std::string& aReason)
{
  Fail(Text(aMember.Id()) + " halts: " + aReason);
}

void
ExplorerChecks::AfterStep(const Members& aMembers, core::Duration aNow)
{
  std::size_t holders = 0;
  for (const auto& [id, member] : aMembers) {
    if (!member->Up() ||
        member->Node().Role() != coordination::RaftRole::Leader) {
      aloneSince_.erase(id);
      continue;
    }
    holders += member->Node().HasLease(member->LocalTime(aNow)) ? 1 : 0;
    CheckContact(*member, aNow);
  }
  if (holders > 1) {
    Fail("two members hold the lease");
  }
}

void
ExplorerChecks::CheckContact(const ExplorerMember& aMember, core::Duration aNow)
{
  const state::GroupMembers& members = aMember.Node().Members();
  std::size_t contacts = 0;
  for (const state::GroupMember& other : members.members_) {
    const auto heard = aMember.heard_.find(other.id_);
    const bool recent =
      other.id_ == aMember.Id() || (heard != aMember.heard_.end() &&
                                    heard->second + kLongestLeadAlone >= aNow);
    if (other.role_ == state::MemberRole::Voter && recent) {
      ++contacts;
    }
  }
  // The votes were contact to a majority, perhaps of other members.
  const bool elected = leaderSince_[aMember.Id()] + kLongestLeadAlone >= aNow;
  if (elected || contacts >= members.Quorum()) {
    aloneSince_.erase(aMember.Id());
    return;
  }
  const auto since = aloneSince_.emplace(aMember.Id(), aNow).first;
  if (since->second + kNoticeTime < aNow) {
    Fail(Text(aMember.Id()) + " leads without contact to a majority");
  }
}

void
ExplorerChecks::Fail(std::string aFault)
{
  if (!violation_) {
    violation_ = std::move(aFault);
  }
}

} // namespace crocusslip::tests
