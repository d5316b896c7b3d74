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
  const auto silence = [&](core::MemberId aMember) {
    const auto found = aContacts.find(aMember);
    return found == aContacts.end() ? core::Duration::max()
                                    : aNow - found->second.lastContact_;
  };
  const GroupMember* ready = nullptr;
  const GroupMember* silent = nullptr;
  std::size_t live = 1;
  for (const GroupMember& member : aMembers.members_) {
    if (member.id_ == aLeader) {
      continue;
    }
    const bool heard = silence(member.id_) < aSettings.voterTimeout_;
    if (member.role_ == MemberRole::Voter) {
      live += heard ? 1 : 0;
      if (!heard &&
          (silent == nullptr || silence(silent->id_) < silence(member.id_))) {
        silent = &member;
      }
      continue;
    }
    if (silence(member.id_) > aSettings.learnerTimeout_) {
      return MakeChange(MemberChangeKind::Remove, member.id_);
    }
    const auto contact = aContacts.find(member.id_);
    const bool caughtUp =
      heard && contact != aContacts.end() &&
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
  // The reachable voters must be a majority after the silent one is removed.
  const bool safe = live >= (voters - 1) / 2 + 1;
  if (silent != nullptr && safe) {
    return MakeChange(MemberChangeKind::Remove, silent->id_);
  }
  return std::nullopt;
}

} // namespace crocusslip::coordination
