#include "fuzz/Decoders.hpp"

#include "Control.h"
#include "Member.h"
#include "protocol/RaftWire.hpp"
#include "state/GroupMembers.hpp"
#include "transport/RpcFrames.hpp"

#include <thrift/TProcessor.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TVirtualTransport.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>

namespace crocusslip::fuzz {

namespace {

namespace thrift = apache::thrift;
using thrift::transport::TMemoryBuffer;

/// What a socket is to the layers above it.
class Bytes final : public thrift::transport::TVirtualTransport<Bytes>
{
public:
  explicit Bytes(std::string aBytes)
    : bytes_(std::move(aBytes))
  {
  }

  std::uint32_t read(std::uint8_t* aTo, std::uint32_t aLength)
  {
    const std::size_t count = bytes_.copy(
      reinterpret_cast<char*>(aTo), aLength, std::min(at_, bytes_.size()));
    at_ += count;
    return static_cast<std::uint32_t>(count);
  }

private:
  const std::string bytes_;
  std::size_t at_ = 0;
};

/// A connection's bytes as a server receives them: raw, or as the content of
/// one frame of the right length.
class Connection
{
public:
  explicit Connection(std::string_view aInput)
    : out_(std::make_shared<TMemoryBuffer>())
  {
    std::string bytes;
    if ((TakeByte(aInput) & 1U) != 0) {
      const auto size = static_cast<std::uint32_t>(aInput.size());
      for (const unsigned shift : { 24U, 16U, 8U, 0U }) {
        bytes += static_cast<char>(size >> shift);
      }
    }
    bytes += aInput;
    in_ = std::make_shared<Bytes>(std::move(bytes));
  }

  void Serve(thrift::TProcessor& aProcessor)
  {
    try {
      const auto in = Framed(in_);
      while (aProcessor.process(in, Framed(out_), nullptr)) {
      }
    } catch (const thrift::TException&) {
      // Ends the connection.
    }
  }

  template<typename Record>
  bool Read(Record& aRecord)
  {
    try {
      const auto in = Framed(in_);
      aRecord.read(in.get());
      return true;
    } catch (const thrift::TException&) {
      return false;
    }
  }

private:
  static std::shared_ptr<thrift::protocol::TProtocol> Framed(
    const std::shared_ptr<thrift::transport::TTransport>& aBytes)
  {
    return transport::MakeRpcProtocols()->getProtocol(
      transport::LimitedFrames().getTransport(aBytes));
  }

  std::shared_ptr<Bytes> in_;
  std::shared_ptr<TMemoryBuffer> out_;
};

class Member final : public wire::MemberNull
{
public:
  void raft(const std::vector<wire::RaftMessage>& aMessages) override
  {
    for (const wire::RaftMessage& message : aMessages) {
      const auto decoded = protocol::FromWire(message);
      if (decoded) {
        const wire::RaftMessage again = protocol::ToWire(decoded.Value());
        kept_ = kept_ && again.kind == message.kind &&
                again.entries.size() == message.entries.size() &&
                again.term == message.term;
      }
    }
  }

  bool installSnapshot(const wire::SnapshotChunk& aChunk) override
  {
    return state::GroupMembers::Decode(aChunk.members).Ok();
  }

  /// The processor swallows exceptions, so that the result is kept here.
  bool kept_ = true;
};

} // namespace

void
RunMemberCalls(std::string_view aInput)
{
  const auto member = std::make_shared<Member>();
  wire::MemberProcessor processor(member);
  Connection(aInput).Serve(processor);
  Require(member->kept_, "a group message survives conversion");
}

void
RunControlCalls(std::string_view aInput)
{
  wire::ControlProcessor processor(std::make_shared<wire::ControlNull>());
  Connection(aInput).Serve(processor);
}

void
RunPollReply(std::string_view aInput)
{
  wire::Control_poll_presult result;
  wire::PollReply reply;
  result.success = &reply;
  Connection(aInput).Read(result);
}

} // namespace crocusslip::fuzz
