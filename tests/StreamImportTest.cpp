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

// Members of this name are called by Boost.Test.
struct SystemFixture
{
  void setup() // NOLINT(readability-identifier-naming)
  {
    // Engines that export and don't resume, with a replica on each.
    fakes::EngineSettings first = tests::FastEngine("first");
    fakes::EngineSettings second = tests::FastEngine("second");
    first.exports_ = true;
    second.exports_ = true;
    tests::StartSystem({ { first, second },
                         "model = \"small\"\npool = \"gpu\"\nmin_replicas = 2\n"
                         "max_replicas = 2\n" });
    // The entry host knows both replicas once a stream can move.
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

// Guards against tokens that are lost or repeated between two engines.
BOOST_AUTO_TEST_CASE(goes_on_at_another_engine_without_a_trace)
{
  const double imports = system_.Metric(kImport);
  SetAll(kBreakNew);
  constexpr int kStreams = 8;
  for (int i = 0; i < kStreams; ++i) {
    BOOST_TEST(Stream("moved " + std::to_string(i)) == unbroken_);
  }
  BOOST_TEST(system_.Metric(kImport) == imports + kStreams);
}

// Guards against tokens that differ from those that the caller has, under the
// id of its generation.
BOOST_AUTO_TEST_CASE(gets_nothing_of_other_tokens)
{
  SetAll(kBreakNew);
  SetAll({ { "other_tokens", true } });
  tests::CheckEndedWith(Stream("others"), unbroken_);
}

// Guards against a caller that waits for a state that is gone.
BOOST_AUTO_TEST_CASE(that_was_lost_is_ended)
{
  SetAll(kBreakNew);
  SetAll({ { "forget_streams", true } });
  tests::CheckEndedWith(Stream("lost"), unbroken_);
}

// Guards against sampled tokens joined with those of another sample.
BOOST_AUTO_TEST_CASE(and_samples_its_tokens_is_ended)
{
  const double imports = system_.Metric(kImport);
  SetAll(kBreakNew);
  tests::CheckEndedWith(Stream("sampled", false), unbroken_);
  BOOST_TEST(system_.Metric(kImport) == imports);
}

BOOST_AUTO_TEST_SUITE_END()
