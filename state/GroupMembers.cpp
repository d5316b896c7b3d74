#include "state/GroupMembers.hpp"

#include "state/JsonNumber.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace crocusslip::state {

namespace {

core::Error
Invalid(const char* aDetail)
{
  return { core::Errc::InvalidInput, aDetail };
}

core::Result<GroupMembers>
AddLearner(GroupMembers aMembers, GroupMember aMember)
{
  if (aMember.id_ <= aMembers.highestId_) {
    return Invalid("member id has been used before");
  }
  const bool sameDisk = std::ranges::any_of(
    aMembers.members_, [&aMember](const GroupMember& aOther) {
      return !aMember.diskIdentity_.empty() &&
             aOther.diskIdentity_ == aMember.diskIdentity_;
    });
  if (sameDisk) {
    return Invalid("disk belongs to another member");
  }
  aMember.role_ = MemberRole::Learner;
  aMembers.highestId_ = aMember.id_;
  aMembers.members_.push_back(std::move(aMember));
  return aMembers;
}

} // namespace

const GroupMember*
GroupMembers::Find(core::MemberId aId) const
{
  const auto found = std::ranges::find(members_, aId, &GroupMember::id_);
  return found == members_.end() ? nullptr : &*found;
}

bool
GroupMembers::IsVoter(core::MemberId aId) const
{
  const GroupMember* member = Find(aId);
  return member != nullptr && member->role_ == MemberRole::Voter;
}

std::size_t
GroupMembers::VoterCount() const
{
  return static_cast<std::size_t>(
    std::ranges::count(members_, MemberRole::Voter, &GroupMember::role_));
}

core::Result<GroupMembers>
GroupMembers::After(const MemberChange& aChange) const
{
  if (aChange.kind_ == MemberChangeKind::AddLearner) {
    return AddLearner(*this, aChange.member_);
  }
  GroupMembers next = *this;
  const auto found =
    std::ranges::find(next.members_, aChange.member_.id_, &GroupMember::id_);
  if (found == next.members_.end()) {
    return core::Error{ core::Errc::NotFound, "no such member" };
  }
  const MemberRole wanted = aChange.kind_ == MemberChangeKind::Promote
                              ? MemberRole::Voter
                              : MemberRole::Learner;
  if (aChange.kind_ == MemberChangeKind::Remove) {
    next.members_.erase(found);
  } else if (found->role_ == wanted) {
    return Invalid("member already has this role");
  } else {
    found->role_ = wanted;
  }
  if (next.VoterCount() == 0) {
    return Invalid("the group would have no voter");
  }
  return next;
}

std::string
GroupMembers::Encode() const
{
  nlohmann::json list = nlohmann::json::array();
  for (const GroupMember& member : members_) {
    list.push_back({ { "id", member.id_.Value() },
                     { "address", member.address_ },
                     { "failure_domain", member.failureDomain_.Value() },
                     { "voter", member.role_ == MemberRole::Voter },
                     { "disk", member.diskIdentity_ } });
  }
  return nlohmann::json{
    { "members", list }, { "highest_id", highestId_.Value() }
  }.dump();
}

core::Result<GroupMembers>
GroupMembers::Decode(std::string_view aBytes)
{
  try {
    const auto root = nlohmann::json::parse(aBytes);
    GroupMembers result;
    result.highestId_ =
      core::MemberId(UnsignedIn<std::uint32_t>(root.at("highest_id")));
    for (const auto& item : root.at("members")) {
      GroupMember member;
      member.id_ = core::MemberId(UnsignedIn<std::uint32_t>(item.at("id")));
      member.address_ = item.at("address").get<std::string>();
      member.failureDomain_ =
        core::FailureDomainId(item.at("failure_domain").get<std::string>());
      member.role_ =
        item.at("voter").get<bool>() ? MemberRole::Voter : MemberRole::Learner;
      member.diskIdentity_ = item.at("disk").get<std::string>();
      result.members_.push_back(std::move(member));
    }
    return result;
  } catch (const nlohmann::json::exception& error) {
    return core::Error{ core::Errc::Corrupt,
                        std::string("list of members: ") + error.what() };
  }
}

} // namespace crocusslip::state
