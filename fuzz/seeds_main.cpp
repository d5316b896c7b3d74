#include "Control.h"
#include "Member.h"
#include "core/Hash.hpp"
#include "protocol/RaftWire.hpp"
#include "state/CommandCodec.hpp"
#include "state/LogRecord.hpp"
#include "state/StateMachine.hpp"
#include "tests/support/RandomCommand.hpp"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <string>

/// Writes the binary part of fuzz/corpus: one input of each kind of message.
namespace {

using namespace crocusslip;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

/// The first byte that tells a decoder to put its input in a sealed frame.
const std::string kSealed = "\x01";

std::filesystem::path gFolder;

void
Write(const std::string& aName, const std::string& aBytes)
{
  const auto path = gFolder / aName;
  std::filesystem::create_directories(path.parent_path());
  std::ofstream(path, std::ios::binary) << aBytes;
}

template<typename Call>
std::string
Message(Call aCall)
{
  const auto buffer = std::make_shared<TMemoryBuffer>();
  aCall(std::make_shared<TCompactProtocol>(buffer));
  return buffer->getBufferAsString();
}

void
WriteMemberCalls()
{
  coordination::RaftMessage message;
  message.cluster_ = "demo";
  message.term_ = core::Term(7);
  for (int kind = 0;
       kind <= static_cast<int>(coordination::RaftMessageKind::TimeoutNow);
       ++kind) {
    message.kind_ = static_cast<coordination::RaftMessageKind>(kind);
    message.entries_.push_back({ core::Term(7),
                                 core::LogIndex(kind),
                                 state::EntryKind::Command,
                                 "payload" });
    const std::string bytes = Message([&](const auto& aProtocol) {
      wire::MemberClient(aProtocol).send_raft({ protocol::ToWire(message) });
    });
    Write("member_calls/raft-" + std::to_string(kind), kSealed + bytes);
  }
  wire::SnapshotChunk chunk;
  chunk.cluster = "demo";
  chunk.total = 10;
  chunk.data = "0123456789";
  chunk.members =
    R"({"members":[{"id":1,"address":"127.0.0.1:1","failure_domain":"a",)"
    R"("voter":true,"disk":"d"}],"highest_id":1})";
  Write("member_calls/snapshot",
        kSealed + Message([&](const auto& aProtocol) {
          wire::MemberClient(aProtocol).send_installSnapshot(chunk);
        }));
}

void
WriteControlCalls()
{
  wire::PollRequest poll;
  poll.cluster = "demo";
  poll.host = "h1";
  poll.demands.resize(2);
  poll.signs.resize(1);
  wire::ClaimRequest claim;
  claim.deployment = "deposits";
  claim.key = "key";
  wire::OutcomeRecord outcome;
  outcome.body = "body";
  wire::CrashReport crash;
  crash.fingerprint = "f";
  const auto write = [](const std::string& aName, const std::string& aBytes) {
    Write("control_calls/" + aName, kSealed + aBytes);
  };
  write("poll", Message([&](const auto& aProtocol) {
          wire::ControlClient(aProtocol).send_poll(poll);
        }));
  write("demand", Message([&](const auto& aProtocol) {
          wire::ControlClient(aProtocol).send_demand("h1", poll.demands, 1, 1);
        }));
  write("claim", Message([&](const auto& aProtocol) {
          wire::ControlClient(aProtocol).send_claim({ claim, claim });
        }));
  write("record", Message([&](const auto& aProtocol) {
          wire::ControlClient(aProtocol).send_record({ outcome });
        }));
  write("crash", Message([&](const auto& aProtocol) {
          wire::ControlClient(aProtocol).send_reportCrash({ crash });
        }));
  wire::PollReply reply;
  reply.nodes.resize(2);
  reply.replicas.resize(2);
  reply.servers.resize(1);
  reply.quarantine.resize(1);
  wire::Control_poll_result result;
  result.success = reply;
  result.__isset.success = true;
  Write("poll_reply/full", kSealed + Message([&](const auto& aProtocol) {
                             result.write(aProtocol.get());
                           }));
}

// One command of each kind, its answer, and the state that they lead to.
void
WriteCommands()
{
  constexpr std::uint64_t kSeed = 1;
  constexpr int kCommands = 200;
  core::Random random(kSeed);
  state::StateMachine machine;
  std::set<std::size_t> commands;
  std::set<std::size_t> answers;
  for (int i = 1; i <= kCommands; ++i) {
    const state::Command command = tests::RandomCommand(random);
    const state::Answer answer =
      machine.Apply(core::LogIndex(i), core::Term(1), command);
    if (commands.insert(command.index()).second) {
      Write("command/" + std::to_string(command.index()),
            state::Encode(command));
    }
    if (answers.insert(answer.index()).second) {
      Write("answer/" + std::to_string(answer.index()), state::Encode(answer));
    }
    if (i == kCommands / 10) {
      Write("state_snapshot/small", kSealed + machine.Snapshot().substr(24));
    }
  }
  Write("state_snapshot/raw", std::string(1, '\0') + machine.Snapshot());
}

void
WriteFiles()
{
  std::string segment;
  state::EncodeEntry(
    { core::Term(1), core::LogIndex(1), state::EntryKind::Command, "payload" },
    segment);
  Write("log_record/raw", std::string(1, '\0') + segment);
  Write("log_record/sealed", kSealed + "\x01\x02\x03payload");
  state::EncodeSyncMark({ segment.size() }, segment);
  Write("log_segment/raw", std::string(1, '\0') + segment);
  Write("log_segment/torn", std::string(1, '\0') + segment + "torn");
  Write("log_segment/sealed",
        kSealed + "\x03\x02\x04"
                  "abcd\x02\x01"
                  "e\x03torn");
  Write("vote_file/sealed", kSealed + std::string("\1\0\0\0\2\0\0\0\7", 9));
  Write("vote_file/short", std::string(1, '\0') + "short");
  Write("revision_file/sealed", kSealed + "42");
  Write("revision_file/raw", std::string(1, '\0') + "42 17\n");
  const std::string members =
    R"({"members":[{"id":1,"address":"127.0.0.1:1","failure_domain":"a",)"
    R"("voter":true,"disk":"d"}],"highest_id":1})";
  Write("snapshot_chunks/sealed",
        kSealed + "\x01" + static_cast<char>(members.size()) + members +
          "\x05"
          "first\x06"
          "second");
  Write("snapshot_chunks/raw", std::string(200, '\0'));
}

} // namespace

int
main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "Usage: crocusslip-fuzz-seeds FOLDER\n";
    return 2;
  }
  gFolder = argv[1];
  WriteMemberCalls();
  WriteControlCalls();
  WriteCommands();
  WriteFiles();
  return 0;
}
