#pragma once

#include "Member.h"
#include "control/Group.hpp"

#include <string>
#include <vector>

namespace crocusslip::control {

/// Thrift service through which members of the group reach each other.
class MemberService final : public wire::MemberIf
{
public:
  MemberService(Group& aGroup, std::string aCluster, std::uint32_t aGroupId);

  void raft(const std::vector<wire::RaftMessage>& aMessages) override;
  void ping() override {}
  bool installSnapshot(const wire::SnapshotChunk& aChunk) override;

private:
  Group& group_;
  const std::string cluster_;
  const std::uint32_t groupId_;
};

} // namespace crocusslip::control
