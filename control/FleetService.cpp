#include "control/FleetService.hpp"

#include "control/MemberService.hpp"
#include "control/WithMemberCalls.hpp"

#include <utility>

namespace crocusslip::control {

namespace {

constexpr std::uint32_t kGroup = 1;

class FleetHandler final : public wire::FleetIf
{
public:
  FleetHandler(GroupHost& aGroup, FleetController& aController)
    : group_(aGroup)
    , controller_(aController)
  {
  }

  void sync(wire::SyncReply& aReply, const wire::SyncRequest& aRequest) override
  {
    controller_.Sync(aRequest, aReply);
  }

  void join(wire::JoinAnswer& aAnswer,
            const wire::JoinRequest& aRequest) override
  {
    aAnswer = group_.Join(aRequest);
  }

private:
  GroupHost& group_;
  FleetController& controller_;
};

/// Messages of members, for the group that this process is in at present.
class MemberHandler final : public wire::MemberIf
{
public:
  MemberHandler(GroupHost& aGroup, std::string aCluster)
    : group_(aGroup)
    , cluster_(std::move(aCluster))
  {
  }

  void raft(const std::vector<wire::RaftMessage>& aMessages) override
  {
    if (const auto group = group_.Current()) {
      MemberService(*group, cluster_, kGroup).raft(aMessages);
    }
  }

  void ping() override {}

  bool installSnapshot(const wire::SnapshotChunk& aChunk) override
  {
    const auto group = group_.Current();
    return group &&
           MemberService(*group, cluster_, kGroup).installSnapshot(aChunk);
  }

private:
  GroupHost& group_;
  const std::string cluster_;
};

using FleetCalls = WithMemberCalls<wire::FleetProcessor, wire::FleetIf>;

} // namespace

std::shared_ptr<apache::thrift::TProcessor>
MakeFleetProcessor(GroupHost& aGroup,
                   FleetController& aController,
                   std::string aCluster)
{
  return std::make_shared<FleetCalls>(
    std::make_shared<FleetHandler>(aGroup, aController),
    std::make_shared<MemberHandler>(aGroup, std::move(aCluster)));
}

} // namespace crocusslip::control
