#define BOOST_TEST_MODULE RefusingEarly
#include <boost/test/unit_test.hpp>

#include "admission/FleetLines.hpp"
#include "core/Durations.hpp"

using namespace crocusslip;
using namespace crocusslip::admission;
using namespace std::chrono_literals;

namespace {

constexpr core::MonotonicTime kStart{ 1h };
const core::ModelName kModel("m1");
const core::HostId kHost("h1");
const core::HostId kOther("h2");

struct Fixture
{
  LineTable table_;

  /// Other hosts have aWaiting requests of each rank; 5 begin in a second.
  void Tell(std::vector<std::uint32_t> aWaiting)
  {
    table_.OnLines({ { kModel, { std::move(aWaiting), 4, 5 } } }, kStart);
  }
  BeginVerdict Judge(std::uint32_t aRank,
                     core::Duration aBearable = 2s,
                     core::Duration aAge = 0ms) const
  {
    return table_.Judge(
      kModel, aRank, 0, aBearable, std::nullopt, kStart + aAge);
  }
};

std::map<core::ModelName, HostLine>
Line(std::uint32_t aRank, std::uint32_t aWaiting, std::uint32_t aBegun = 0)
{
  HostLine line;
  line.line_.AddWaiting(aRank, aWaiting);
  line.line_.inFlight_ = 3;
  line.begun_ = aBegun;
  return { { kModel, line } };
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(AVerdict, Fixture)

BOOST_AUTO_TEST_CASE(KeepsWhatCanBeginInTime)
{
  BOOST_TEST(Judge(0).canBegin_);
  Tell({ 9 });
  BOOST_TEST(Judge(0).canBegin_);
}

// Guards against a refusal at the deadline, when the caller has no time left.
BOOST_AUTO_TEST_CASE(RefusesWhatCannotBeginAndSaysWhenItCan)
{
  Tell({ 30 });
  const BeginVerdict verdict = Judge(0);
  BOOST_TEST(!verdict.canBegin_);
  BOOST_TEST(core::Seconds(verdict.expectedWait_) == 6.0);
  // The line is then short enough.
  const core::Duration back = verdict.retryAfter_;
  BOOST_TEST((back > 4s && back < 6s));
  Tell({ static_cast<std::uint32_t>(30 - 5 * core::Seconds(back)) });
  BOOST_TEST(Judge(0).canBegin_);
}

BOOST_AUTO_TEST_CASE(CountsTheMoreUrgentAndTheEquallyUrgentOnly)
{
  Tell({ 2, 4, 60 });
  BOOST_TEST(Judge(0).ahead_ == 2);
  BOOST_TEST(Judge(1).ahead_ == 6);
  BOOST_TEST(Judge(1).canBegin_);
  BOOST_TEST(!Judge(2).canBegin_);
  BOOST_TEST(table_.MoreUrgentElsewhere(kModel, 2, kStart) == 6U);
}

// Guards against refusals from figures that a lost leader left behind.
BOOST_AUTO_TEST_CASE(KeepsAllWithoutRecentLines)
{
  Tell({ 300 });
  BOOST_TEST(!Judge(0, 2s, 1s).canBegin_);
  BOOST_TEST(Judge(0, 2s, 3s).canBegin_);
}

BOOST_AUTO_TEST_CASE(CountsOnALoadUnderWay)
{
  Tell({ 16 });
  const auto judge = [&](core::Duration aReadyIn) {
    return table_.Judge(kModel, 0, 0, 2s, aReadyIn, kStart).canBegin_;
  };
  BOOST_TEST(!Judge(0).canBegin_);
  BOOST_TEST(judge(500ms));
  BOOST_TEST(!judge(10s));
}

BOOST_AUTO_TEST_CASE(KeepsAllWhileNothingIsKnownOfTheRate)
{
  table_.OnLines({ { kModel, { { 300 }, 0, 0 } } }, kStart);
  BOOST_TEST(Judge(0).canBegin_);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TheLinesOfAllHosts)

BOOST_AUTO_TEST_CASE(LeaveOutTheHostsOwnRequests)
{
  FleetLines lines;
  lines.OnReport(kHost, Line(0, 5), kStart);
  lines.OnReport(kOther, Line(1, 7), kStart);
  const ModelLine line = lines.LinesFor(kHost, kStart).at(kModel);
  BOOST_TEST(line.waiting_[0] == 0U);
  BOOST_TEST(line.waiting_[1] == 7U);
  BOOST_TEST(line.inFlight_ == 6U);
}

BOOST_AUTO_TEST_CASE(AreToldOnlyOnceTheyAreLong)
{
  FleetLines lines;
  lines.OnReport(kHost, Line(0, 3), kStart);
  BOOST_TEST(lines.LinesFor(kOther, kStart).empty());
}

BOOST_AUTO_TEST_CASE(TellTheRateAtWhichRequestsBegin)
{
  FleetLines lines;
  for (int i = 0; i < 100; ++i) {
    lines.OnReport(kHost, Line(0, 9, 2), kStart + i * 250ms);
  }
  const core::MonotonicTime last = kStart + 99 * 250ms;
  const double rate = lines.LinesFor(kOther, last).at(kModel).begunPerSecond_;
  BOOST_TEST(rate > 7);
  BOOST_TEST(rate < 9);
}

// Guards against lines of hosts that have stopped.
BOOST_AUTO_TEST_CASE(ForgetHostsThatAreSilent)
{
  FleetLines lines;
  lines.OnReport(kOther, Line(0, 9, 2), kStart);
  lines.Expire(kStart + 1s);
  BOOST_TEST(lines.LinesFor(kHost, kStart + 1s).size() == 1U);
  lines.Expire(kStart + 3s);
  BOOST_TEST(lines.LinesFor(kHost, kStart + 3s).empty());
}

BOOST_AUTO_TEST_SUITE_END()
