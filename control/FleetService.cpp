#include "control/FleetService.hpp"

#include "control/MemberService.hpp"

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

/// Opens the protected dispatch of the generated processor.
class MemberCalls final : public wire::MemberProcessor
{
public:
  using wire::MemberProcessor::dispatchCall;
  using wire::MemberProcessor::MemberProcessor;
};

class FleetCalls final : public wire::FleetProcessor
{
public:
  FleetCalls(std::shared_ptr<wire::FleetIf> aFleet,
             std::shared_ptr<wire::MemberIf> aMember)
    : wire::FleetProcessor(std::move(aFleet))
    , member_(std::move(aMember))
  {
  }

protected:
  bool dispatchCall(apache::thrift::protocol::TProtocol* aIn,
                    apache::thrift::protocol::TProtocol* aOut,
                    const std::string& aName,
                    std::int32_t aSequence,
                    void* aContext) override
  {
    if (aName == "raft" || aName == "installSnapshot") {
      return member_.dispatchCall(aIn, aOut, aName, aSequence, aContext);
    }
    return wire::FleetProcessor::dispatchCall(
      aIn, aOut, aName, aSequence, aContext);
  }

private:
  MemberCalls member_;
};

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
