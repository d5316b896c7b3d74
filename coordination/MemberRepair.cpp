#include "coordination/MemberRepair.hpp"

#include <algorithm>

namespace crocusslip::coordination {

namespace {

using state::GroupMember;
using state::MemberChange;
using state::MemberChangeKind;
using state::MemberRole;

MemberChange
MakeChange(MemberChangeKind aKind, core::MemberId aMember)
{
  MemberChange change;
  change.kind_ = aKind;
  change.member_.id_ = aMember;
  return change;
}

} // namespace

std::optional<MemberChange>
NextMemberChange(const state::GroupMembers& aMembers,
                 core::MemberId aLeader,
                 core::LogIndex aCommit,
                 const std::map<core::MemberId, MemberContact>& aContacts,
                 const MemberRepairSettings& aSettings,
                 core::MonotonicTime aNow)
{
  const auto timeSinceContact = [&](core::MemberId aMember) {
    const auto found = aContacts.find(aMember);
    return found == aContacts.end() ? core::Duration::max()
                                    : aNow - found->second.lastContact_;
  };
  const GroupMember* ready = nullptr;
  const GroupMember* unreachable = nullptr;
  std::size_t live = 1;
  for (const GroupMember& member : aMembers.members_) {
    if (member.id_ == aLeader) {
      continue;
    }
    const bool reachable =
      timeSinceContact(member.id_) < aSettings.voterTimeout_;
    if (member.role_ == MemberRole::Voter) {
      live += reachable ? 1 : 0;
      if (!reachable &&
          (unreachable == nullptr ||
           timeSinceContact(unreachable->id_) < timeSinceContact(member.id_))) {
        unreachable = &member;
      }
      continue;
    }
    if (timeSinceContact(member.id_) > aSettings.learnerTimeout_) {
      return MakeChange(MemberChangeKind::Remove, member.id_);
    }
    const auto contact = aContacts.find(member.id_);
    const bool caughtUp =
      reachable && contact != aContacts.end() &&
      contact->second.match_.Value() + aSettings.maxLearnerLag_ >=
        aCommit.Value();
    if (caughtUp && ready == nullptr) {
      ready = &member;
    }
  }
  if (ready == nullptr) {
    return std::nullopt;
  }
  const std::size_t voters = aMembers.VoterCount();
  if (voters < aSettings.targetVoters_) {
    return MakeChange(MemberChangeKind::Promote, ready->id_);
  }
  // The reachable voters must be a majority after the unreachable one is
  // removed.
  const bool safe = live >= (voters - 1) / 2 + 1;
  if (unreachable != nullptr && safe) {
    return MakeChange(MemberChangeKind::Remove, unreachable->id_);
  }
  return std::nullopt;
}

} // namespace crocusslip::coordination
