#include "control/MemberService.hpp"

#include "core/Hash.hpp"
#include "core/Log.hpp"
#include "protocol/RaftWire.hpp"

#include <utility>

namespace crocusslip::control {

MemberService::MemberService(Group& aGroup,
                             std::string aCluster,
                             std::uint32_t aGroupId)
  : group_(aGroup)
  , cluster_(std::move(aCluster))
  , groupId_(aGroupId)
{
}

void
MemberService::raft(const std::vector<wire::RaftMessage>& aMessages)
{
  for (const wire::RaftMessage& message : aMessages) {
    auto decoded = protocol::FromWire(message);
    if (!decoded.Ok()) {
      core::Log(core::LogLevel::Warning,
                "group message refused",
                { { "error", decoded.Failure().Message() } });
      continue;
    }
    group_.Receive(std::move(decoded.Value()));
  }
}

bool
MemberService::installSnapshot(const wire::SnapshotChunk& aChunk)
{
  const bool valid =
    aChunk.cluster == cluster_ &&
    static_cast<std::uint32_t>(aChunk.group) == groupId_ &&
    static_cast<std::uint64_t>(aChunk.checksum) == core::Hash64(aChunk.data) &&
    aChunk.offset >= 0 && aChunk.total >= 0;
  if (!valid) {
    core::Log(core::LogLevel::Warning, "snapshot chunk refused");
    return false;
  }
  state::SnapshotPiece piece;
  piece.index_ = core::LogIndex(static_cast<std::uint64_t>(aChunk.index));
  piece.offset_ = static_cast<std::uint64_t>(aChunk.offset);
  piece.total_ = static_cast<std::uint64_t>(aChunk.total);
  piece.bytes_ = aChunk.data;
  return group_.ReceiveSnapshot(
    core::MemberId(static_cast<std::uint32_t>(aChunk.sender)),
    core::Term(static_cast<std::uint64_t>(aChunk.term)),
    std::move(piece));
}

} // namespace crocusslip::control
