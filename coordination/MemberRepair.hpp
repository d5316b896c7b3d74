#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "state/GroupMembers.hpp"

#include <map>
#include <optional>

namespace crocusslip::coordination {

/// What the leader knows about a member beyond its entry in the member list.
struct MemberContact
{
  /// Time of the last message from the member, but not before this leader's
  /// leadership began.
  core::MonotonicTime lastContact_;
  /// Highest log index known to be replicated to the member.
  core::LogIndex match_;
};

struct MemberRepairSettings
{
  std::size_t targetVoters_ = 5;
  /// Time without contact after which a voter is replaced if a learner has
  /// caught up.
  core::Duration voterTimeout_ = std::chrono::milliseconds(1500);
  /// Time without contact after which a learner is removed.
  core::Duration learnerTimeout_ = std::chrono::seconds(12);
  /// Maximum number of entries by which a learner may lag when it is promoted.
  /// Stricter than RaftLimits::maxPromotionLag_, so that the group accepts the
  /// promotion.
  std::uint64_t maxLearnerLag_ = 8;
};

/// Decides the next membership change of a group. Removes learners without
/// contact, promotes a learner that has caught up while voters are missing, or
/// removes an unreachable voter, which such a learner then replaces. An
/// unreachable voter stays while no learner is ready, since removing it would
/// not make the group safer.
std::optional<state::MemberChange>
NextMemberChange(const state::GroupMembers& aMembers,
                 core::MemberId aLeader,
                 core::LogIndex aCommit,
                 const std::map<core::MemberId, MemberContact>& aContacts,
                 const MemberRepairSettings& aSettings,
                 core::MonotonicTime aNow);

} // namespace crocusslip::coordination
