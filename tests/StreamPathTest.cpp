#define BOOST_TEST_MODULE StreamPath
#include <boost/test/unit_test.hpp>

#include "support/StreamCases.hpp"

using namespace crocusslip;
using tests::CheckEndedWith;
using tests::FaultFixture;
using tests::Stream;
using tests::WholeSystem;

namespace {

const std::string kSameEngine =
  "crocusslip_broken_streams_total{result=\"same_engine\"}";
const std::string kMismatch =
  "crocusslip_broken_streams_total{result=\"mismatch\"}";
const std::string kEnded = "crocusslip_broken_streams_total{result=\"ended\"}";

} // namespace

// Boost.Test calls the members of these names.
struct SystemFixture
{
  void setup() // NOLINT(readability-identifier-naming)
  {
    fakes::EngineSettings engine = tests::FastEngine("engine");
    engine.resumes_ = true;
    tests::StartSystem({ { engine } });
  }
  void teardown() // NOLINT(readability-identifier-naming)
  {
    WholeSystem::sInstance.reset();
  }
};

BOOST_TEST_GLOBAL_FIXTURE(SystemFixture);

BOOST_FIXTURE_TEST_SUITE(A_stream_that_breaks, FaultFixture)

// Guards against lost or repeated bytes at the position where a stream broke,
// between two events or inside one.
BOOST_AUTO_TEST_CASE(is_continued_by_its_engine_without_lost_or_repeated_bytes)
{
  BOOST_REQUIRE(unbroken_.find("data: [DONE]") != std::string::npos);
  for (const bool inside : { false, true }) {
    for (const int after : { 1, 4, 8 }) {
      const double resumed = system_.Metric(kSameEngine);
      SetAll({ { "break_stream_after", after },
               { "break_streams", 1 },
               { "break_inside_event", inside } });
      BOOST_TEST(Stream("broken") == unbroken_);
      BOOST_TEST(system_.Metric(kSameEngine) == resumed + 1);
    }
  }
}

// Guards against a stream that is continued after its first break but not after
// its second.
BOOST_AUTO_TEST_CASE(twice_is_continued_twice)
{
  SetAll({ { "break_stream_after", 3 }, { "break_streams", 2 } });
  BOOST_TEST(Stream("twice") == unbroken_);
}

// Guards against a stream that is resumed without limit.
BOOST_AUTO_TEST_CASE(more_often_than_allowed_is_ended_with_an_error_event)
{
  const double ended = system_.Metric(kEnded);
  SetAll({ { "break_stream_after", 1 } });
  CheckEndedWith(Stream("often"), unbroken_);
  BOOST_TEST(system_.Metric(kEnded) == ended + 1);
}

// Guards against an answer that mixes two generations.
BOOST_AUTO_TEST_CASE(gets_no_bytes_of_another_generation)
{
  const double mismatches = system_.Metric(kMismatch);
  SetAll({ { "break_stream_after", 3 },
           { "break_streams", 1 },
           { "other_generation", true } });
  CheckEndedWith(Stream("other"), unbroken_);
  BOOST_TEST(system_.Metric(kMismatch) == mismatches + 1);
}

// Guards against a caller that waits forever after the engine lost the state of
// the stream.
BOOST_AUTO_TEST_CASE(is_ended_with_an_error_event_if_its_engine_lost_the_state)
{
  SetAll({ { "break_stream_after", 3 },
           { "break_streams", 1 },
           { "forget_streams", true } });
  CheckEndedWith(Stream("forgotten"), unbroken_);
}

BOOST_AUTO_TEST_SUITE_END()
