#include "tests/support/ExplorerChecks.hpp"

#include "core/Hash.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::tests {

namespace {

/// Upper bound of electionMax_ on a slow clock plus one tick.
constexpr core::Duration kMaxTimeWithoutMajority =
  std::chrono::milliseconds(1000);
/// Time allowed until the leader steps down. A membership change can remove the
/// majority at once, and the leader only detects it at its next tick.
constexpr core::Duration kStepDownDelay = std::chrono::milliseconds(50);

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
  // A delayed leader of an old term may lack entries of later terms.
  const auto newest = std::find_if(
    committed_.rbegin(), committed_.rend(), [term](const auto& aItem) {
      return aItem.second.appliedInTerm_ < term;
    });
  if (newest != committed_.rend() &&
      aMember.Node().LastIndex() < newest->first) {
    Fail(Text(aMember.Id()) + " became leader without all committed entries");
  }
}

void
ExplorerChecks::OnApplied(const ExplorerMember& aMember,
                          const state::LogEntry& aEntry)
{
  if (aEntry.index_ != aMember.Applied().Next()) {
    Fail(Text(aMember.Id()) + " applies entries out of order");
  }
  const auto [found, added] = committed_.emplace(
    aEntry.index_, CommittedEntry{ aEntry, aMember.Node().Term() });
  if (!added && found->second.entry_ != aEntry) {
    Fail(Text(aMember.Id()) + " applies a different entry at index " +
         std::to_string(aEntry.index_.Value()));
  }
}

void
ExplorerChecks::OnState(core::LogIndex aIndex, const std::string& aContent)
{
  const std::uint64_t digest = core::Hash64(aContent);
  const auto [found, added] = stateDigests_.emplace(aIndex, digest);
  if (!added && found->second != digest) {
    Fail("state machines differ at index " + std::to_string(aIndex.Value()));
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
      withoutMajoritySince_.erase(id);
      continue;
    }
    holders += member->Node().HasLease(member->LocalTime(aNow)) ? 1 : 0;
    CheckMajorityContact(*member, aNow);
  }
  if (holders > 1) {
    Fail("two members hold the lease");
  }
}

void
ExplorerChecks::CheckMajorityContact(const ExplorerMember& aMember,
                                     core::Duration aNow)
{
  const state::GroupMembers& members = aMember.Node().Members();
  std::size_t contacts = 0;
  for (const state::GroupMember& other : members.members_) {
    const auto received = aMember.lastReceived_.find(other.id_);
    const bool recent = other.id_ == aMember.Id() ||
                        (received != aMember.lastReceived_.end() &&
                         received->second + kMaxTimeWithoutMajority >= aNow);
    if (other.role_ == state::MemberRole::Voter && recent) {
      ++contacts;
    }
  }
  // The election itself was contact with a majority, perhaps of other members.
  const bool elected =
    leaderSince_[aMember.Id()] + kMaxTimeWithoutMajority >= aNow;
  if (elected || contacts >= members.Quorum()) {
    withoutMajoritySince_.erase(aMember.Id());
    return;
  }
  const auto since = withoutMajoritySince_.emplace(aMember.Id(), aNow).first;
  if (since->second + kStepDownDelay < aNow) {
    Fail(Text(aMember.Id()) + " leads without contact with a majority");
  }
}

void
ExplorerChecks::Fail(std::string aViolation)
{
  if (!violation_) {
    violation_ = std::move(aViolation);
  }
}

} // namespace crocusslip::tests
