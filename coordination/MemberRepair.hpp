#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "state/GroupMembers.hpp"

#include <map>
#include <optional>

namespace crocusslip::coordination {

/// What the leader knows of a member beside its entry in the list.
struct MemberContact
{
  /// When it was last heard from; the start of the leadership at the earliest.
  core::MonotonicTime lastContact_;
  core::LogIndex match_;
};

struct MemberRepairSettings
{
  std::size_t targetVoters_ = 5;
  /// Silence after which a voter is replaced when a learner is ready.
  core::Duration silence_ = std::chrono::milliseconds(1500);
  /// Silence after which a learner is forgotten.
  core::Duration learnerSilence_ = std::chrono::seconds(12);
  /// A learner may be behind by so many entries when it begins to vote.
  std::uint64_t lag_ = 8;
};

/// Decides the next change of a group's members: learners that have caught up
/// become voters, in place of voters that are silent. A silent voter without a
/// replacement stays, since removing it would not make the group safer.
std::optional<state::MemberChange>
NextMemberChange(const state::GroupMembers& aMembers,
                 core::MemberId aLeader,
                 core::LogIndex aCommit,
                 const std::map<core::MemberId, MemberContact>& aContacts,
                 const MemberRepairSettings& aSettings,
                 core::MonotonicTime aNow);

} // namespace crocusslip::coordination
