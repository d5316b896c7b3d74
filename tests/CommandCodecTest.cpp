#define BOOST_TEST_MODULE CommandCodec
#include <boost/test/unit_test.hpp>

#include "state/CommandCodec.hpp"
#include "tests/support/RandomCommand.hpp"

#include "gen/commands_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace crocusslip;
using namespace crocusslip::state;

namespace {

std::string
Written(const wire::Command& aRecord)
{
  using apache::thrift::transport::TMemoryBuffer;
  const auto buffer = std::make_shared<TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  aRecord.write(&protocol);
  return buffer->getBufferAsString();
}

core::Errc
FailureOf(std::string_view aBytes)
{
  const core::Result<Command> command = DecodeCommand(aBytes);
  return command.Ok()
           ? core::Errc::Ok
           : static_cast<core::Errc>(command.Failure().code_.value());
}

} // namespace

BOOST_AUTO_TEST_SUITE(The_command_codec)

// Guards against a field that is lost or swapped in either direction.
BOOST_AUTO_TEST_CASE(returns_each_kind_of_command_unchanged)
{
  core::Random random(1);
  std::set<std::size_t> kinds;
  for (int i = 0; i < 2000; ++i) {
    const Command command = tests::RandomCommand(random);
    const std::string bytes = Encode(command);
    const core::Result<Command> decoded = DecodeCommand(bytes);
    BOOST_REQUIRE(decoded.Ok());
    BOOST_TEST(decoded.Value().index() == command.index());
    BOOST_TEST(Encode(decoded.Value()) == bytes);
    kinds.insert(command.index());
  }
  BOOST_TEST(kinds.size() == std::variant_size_v<Command>);
}

// Guards against two fields of the same type exchanged in both directions.
BOOST_AUTO_TEST_CASE(keeps_fields_of_the_same_type_apart)
{
  const DecideLoad load{ core::DeploymentId("d"),
                         core::ServerId("s"),
                         core::Bytes(1),
                         core::Bytes(2),
                         3,
                         std::chrono::milliseconds(4),
                         EngineKind::Checks };
  const auto decoded = DecodeCommand(Encode(Command(load)));
  BOOST_REQUIRE(decoded.Ok());
  const auto& copy = std::get<DecideLoad>(decoded.Value());
  BOOST_TEST(copy.deployment_.Value() == "d");
  BOOST_TEST(copy.server_.Value() == "s");
  BOOST_TEST(copy.memory_.Count() == 1U);
  BOOST_TEST(copy.capacity_.Count() == 2U);
  BOOST_TEST(copy.maximumReplicas_ == 3U);
  BOOST_TEST(copy.timeout_.count() == 4);
  BOOST_TEST((copy.engine_ == EngineKind::Checks));
}

// Guards against answers whose detail does not reach the operator.
BOOST_AUTO_TEST_CASE(returns_answers_unchanged)
{
  ChangeAnswer conflict;
  conflict.result_ = ChangeResult::Conflict;
  conflict.revision_ = core::Revision(9);
  conflict.winner_ = core::OperatorId("rania");
  conflict.winnerRevision_ = core::Revision(8);
  conflict.winnerPaths_ = { "/a", "/b" };
  const auto decoded = DecodeAnswer(Encode(Answer(conflict)));
  BOOST_REQUIRE(decoded.Ok());
  const auto& copy = std::get<ChangeAnswer>(decoded.Value());
  BOOST_TEST((copy.result_ == ChangeResult::Conflict));
  BOOST_TEST(copy.winner_.Value() == "rania");
  BOOST_TEST(copy.winnerRevision_.Value() == 8U);
  BOOST_TEST(copy.winnerPaths_ == conflict.winnerPaths_);

  const StoredAnswer stored{ 201, "application/json", "{}", true };
  const auto claim =
    DecodeAnswer(Encode(Answer(ClaimAnswer{ ClaimResult::Answered, stored })));
  BOOST_REQUIRE(claim.Ok());
  BOOST_TEST((std::get<ClaimAnswer>(claim.Value()).answer_ == stored));
}

BOOST_AUTO_TEST_SUITE(given_hostile_bytes)

// Guards against a crash on records that were cut off or altered.
BOOST_AUTO_TEST_CASE(answers_with_an_error_or_a_valid_command)
{
  core::Random random(2);
  for (int i = 0; i < 3000; ++i) {
    std::string bytes = Encode(tests::RandomCommand(random));
    for (std::uint64_t changes = random.Below(6); changes > 0; --changes) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    }
    bytes.resize(random.Below(bytes.size() + 1));
    const auto decoded = DecodeCommand(bytes);
    BOOST_TEST((!decoded.Ok() || DecodeCommand(Encode(decoded.Value())).Ok()));
    (void)DecodeAnswer(bytes);
  }
}

// Guards against noise that decodes, and nested structures that exhaust the
// stack while they are skipped.
BOOST_AUTO_TEST_CASE(refuses_noise_and_deep_nesting)
{
  core::Random random(3);
  for (int i = 0; i < 3000; ++i) {
    std::string bytes(random.Below(200), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(random.Next());
    }
    (void)DecodeCommand(bytes);
  }
  // Field header of a struct in an unknown field, a million times.
  BOOST_TEST(
    (FailureOf(std::string(1000000, '\xfc')) == core::Errc::InvalidInput));
}

// Guards against memory reserved for a length that the bytes can't hold.
BOOST_AUTO_TEST_CASE(refuses_lengths_beyond_the_record)
{
  // Version 1, field 2 (changeSettings): change id of 2 GiB - 1 bytes.
  const std::string text("\x15\x02\x1c\x18\xff\xff\xff\xff\x07", 9);
  BOOST_TEST((FailureOf(text) == core::Errc::InvalidInput));
  // Field 4 (edits): list of 2^31 - 1 structs.
  const std::string list("\x15\x02\x1c\x49\xfc\xff\xff\xff\xff\x07", 10);
  BOOST_TEST((FailureOf(list) == core::Errc::InvalidInput));
  BOOST_TEST((FailureOf(std::string(kMaxCommandBytes + 1, '\0')) ==
              core::Errc::TooLarge));
  BOOST_TEST((FailureOf("") == core::Errc::InvalidInput));
}

// Guards against a record of a later version that is read with losses.
BOOST_AUTO_TEST_CASE(refuses_a_newer_version)
{
  wire::Command record;
  record.version = kCommandVersion + 1;
  record.__set_advanceTime(wire::AdvanceTime());
  BOOST_TEST((FailureOf(Written(record)) == core::Errc::NewerVersion));
}

// Guards against a record whose effect depends on the order of reading.
BOOST_AUTO_TEST_CASE(refuses_a_record_with_two_commands_or_none)
{
  wire::Command record;
  record.version = kCommandVersion;
  BOOST_TEST((FailureOf(Written(record)) == core::Errc::InvalidInput));
  record.__set_advanceTime(wire::AdvanceTime());
  BOOST_TEST((FailureOf(Written(record)) == core::Errc::Ok));
  record.__set_forgetServer(wire::ForgetServer());
  BOOST_TEST((FailureOf(Written(record)) == core::Errc::InvalidInput));
}

// Guards against a member of the release before that halts at an order to a
// server: it knows the time only, and skips the rest.
BOOST_AUTO_TEST_CASE(writes_orders_to_servers_beside_a_time_without_effect)
{
  for (const Command& command :
       { Command(RecordOrders()), Command(EndOrders()) }) {
    const std::string bytes = Encode(command);
    using apache::thrift::transport::TMemoryBuffer;
    const auto buffer = std::make_shared<TMemoryBuffer>();
    buffer->write(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                  static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    wire::Command record;
    record.read(&protocol);
    BOOST_TEST(static_cast<bool>(record.__isset.advanceTime));
    BOOST_TEST(record.advanceTime.now == 0);
  }
}

// Guards against durations that overflow sums of time.
BOOST_AUTO_TEST_CASE(refuses_values_out_of_range)
{
  wire::Command record;
  record.version = kCommandVersion;
  wire::ObserveOrder observation;
  observation.outcome = 3;
  record.__set_observeOrder(observation);
  BOOST_TEST((FailureOf(Written(record)) == core::Errc::InvalidInput));

  wire::Command late;
  late.version = kCommandVersion;
  wire::AdvanceTime time;
  time.now = std::numeric_limits<std::int64_t>::max();
  late.__set_advanceTime(time);
  BOOST_TEST((FailureOf(Written(late)) == core::Errc::InvalidInput));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
