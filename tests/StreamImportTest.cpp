#define BOOST_TEST_MODULE StreamImport
#include <boost/test/unit_test.hpp>

#include "support/StreamCases.hpp"

using namespace crocusslip;
using tests::FaultFixture;
using tests::Stream;
using tests::WholeSystem;

namespace {

const std::string kImport =
  "crocusslip_broken_streams_total{result=\"import\"}";

const nlohmann::json kBreakNew = { { "break_stream_after", 6 },
                                   { "break_new_streams", true } };

} // namespace

// Boost.Test calls the members of these names.
struct SystemFixture
{
  void setup() // NOLINT(readability-identifier-naming)
  {
    // Two engines that can export a stream but not resume it, each with a
    // replica.
    fakes::EngineSettings first = tests::FastEngine("first");
    fakes::EngineSettings second = tests::FastEngine("second");
    first.exports_ = true;
    second.exports_ = true;
    tests::StartSystem({ { first, second },
                         "model = \"small\"\npool = \"gpu\"\nmin_replicas = 2\n"
                         "max_replicas = 2\n" });
    // Wait until a broken stream is continued by the other engine, which shows
    // that the entry host knows both replicas.
    FaultFixture faults;
    faults.SetAll({ { "break_stream_after", 6 } });
    int sent = 0;
    BOOST_REQUIRE(WholeSystem::WaitUntil([&] {
      Stream("first " + std::to_string(sent++));
      return faults.system_.Metric(kImport) > 0;
    }));
  }
  void teardown() // NOLINT(readability-identifier-naming)
  {
    WholeSystem::sInstance.reset();
  }
};

BOOST_TEST_GLOBAL_FIXTURE(SystemFixture);

BOOST_FIXTURE_TEST_SUITE(A_stream_whose_engine_exports_its_state, FaultFixture)

// Guards against lost or repeated tokens where one engine takes over from
// another.
BOOST_AUTO_TEST_CASE(
  is_continued_by_another_engine_without_lost_or_repeated_tokens)
{
  const double imports = system_.Metric(kImport);
  SetAll(kBreakNew);
  constexpr int kStreams = 8;
  for (int i = 0; i < kStreams; ++i) {
    BOOST_TEST(Stream("moved " + std::to_string(i)) == unbroken_);
  }
  BOOST_TEST(system_.Metric(kImport) == imports + kStreams);
}

// Guards against an engine that answers with the right generation id but with
// other tokens than the caller already has.
BOOST_AUTO_TEST_CASE(is_ended_with_an_error_event_if_the_tokens_differ)
{
  SetAll(kBreakNew);
  SetAll({ { "other_tokens", true } });
  tests::CheckEndedWith(Stream("others"), unbroken_);
}

// Guards against a caller that waits forever for a state that was lost.
BOOST_AUTO_TEST_CASE(is_ended_with_an_error_event_if_the_state_was_lost)
{
  SetAll(kBreakNew);
  SetAll({ { "forget_streams", true } });
  tests::CheckEndedWith(Stream("lost"), unbroken_);
}

// Guards against an answer that mixes tokens of two random samples.
BOOST_AUTO_TEST_CASE(
  is_ended_with_an_error_event_if_tokens_are_sampled_randomly)
{
  const double imports = system_.Metric(kImport);
  SetAll(kBreakNew);
  tests::CheckEndedWith(Stream("sampled", false), unbroken_);
  BOOST_TEST(system_.Metric(kImport) == imports);
}

BOOST_AUTO_TEST_SUITE_END()
