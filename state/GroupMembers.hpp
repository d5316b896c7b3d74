#pragma once

#include "core/Error.hpp"
#include "core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocusslip::state {

enum class MemberRole : std::uint8_t
{
  /// Replicates, but neither votes nor counts towards a majority.
  Learner = 0,
  Voter = 1,
};

/// A member of a consensus group. A replaced disk is a new member with a new
/// id, since the member may have lost what it acknowledged.
struct GroupMember
{
  core::MemberId id_;
  std::string address_;
  core::FailureDomainId failureDomain_;
  MemberRole role_ = MemberRole::Learner;
  std::string diskIdentity_;

  friend bool operator==(const GroupMember&, const GroupMember&) = default;
};

enum class MemberChangeKind : std::uint8_t
{
  AddLearner,
  Promote,
  Demote,
  Remove,
};

/// One change of membership. Promote, Demote and Remove read only the id.
struct MemberChange
{
  MemberChangeKind kind_ = MemberChangeKind::AddLearner;
  GroupMember member_;
};

/// The members of a group at one index of the log.
struct GroupMembers
{
  std::vector<GroupMember> members_;
  /// Ids up to this one have been used and are never used again.
  core::MemberId highestId_;

  const GroupMember* Find(core::MemberId aId) const;
  bool IsVoter(core::MemberId aId) const;
  std::size_t VoterCount() const;
  /// Voters that form a majority.
  std::size_t Quorum() const { return VoterCount() / 2 + 1; }

  /// The list after the change, or why the change isn't valid.
  core::Result<GroupMembers> After(const MemberChange& aChange) const;

  std::string Encode() const;
  static core::Result<GroupMembers> Decode(std::string_view aBytes);

  friend bool operator==(const GroupMembers&, const GroupMembers&) = default;
};

/// Where a snapshot stands in the log.
struct SnapshotMeta
{
  core::LogIndex index_;
  core::Term term_;
  GroupMembers members_;

  friend bool operator==(const SnapshotMeta&, const SnapshotMeta&) = default;
};

} // namespace crocusslip::state
