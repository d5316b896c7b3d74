#define BOOST_TEST_MODULE BrokenControlAnswerTest
#include <boost/test/unit_test.hpp>

#include "tests/support/BrokenHeads.hpp"
#include "tests/support/DeployedSystem.hpp"

// Guards against bytes that break the grammar of HTTP/1.1 and are taken for
// lists, reports and answers to orders.

namespace {

using namespace crocusslip::tests;

/// Reads of the list or of a report after which a broken one has had effect.
constexpr int kReads = 2;
/// Times that an order is sent before its answer has had effect.
constexpr int kSends = 2;

} // namespace

BOOST_AUTO_TEST_SUITE(TheControlProcess)

BOOST_AUTO_TEST_CASE(DoesNotTakeABrokenList)
{
  DeployedSystem system;
  system.answers_["/report"] = Success(DeployedSystem::ReportBody(0));
  system.Configure();
  for (const BrokenHead& broken : FewBrokenHeads()) {
    system.answers_["/instances"] =
      WithLength(Head(broken, kField), system.ListBody());
    BOOST_TEST(system.AwaitCalls("/instances", kReads), broken.name_);
    BOOST_TEST(system.calls_["/report"] == 0, broken.name_);
  }
  system.answers_["/instances"] = system.List();
  BOOST_TEST(system.AwaitCalls("/report", 1));
}

// Orders are planned on what a server has reported.
BOOST_AUTO_TEST_CASE(DoesNotTakeABrokenReport)
{
  DeployedSystem system;
  system.answers_["/instances"] = system.List();
  system.Configure();
  system.KeepAsking();
  for (const BrokenHead& broken : FewBrokenHeads()) {
    system.answers_["/report"] =
      WithLength(Head(broken, kField), DeployedSystem::ReportBody(0));
    BOOST_TEST(system.AwaitCalls("/report", kReads), broken.name_);
    BOOST_TEST(system.calls_["/order"] == 0, broken.name_);
  }
  system.answers_["/report"] = Success(DeployedSystem::ReportBody(0));
  BOOST_TEST(system.AwaitCalls("/order", 1));
}

// An order that has got no answer is sent again.
BOOST_AUTO_TEST_CASE(DoesNotTakeABrokenAnswerToAnOrder)
{
  DeployedSystem system;
  system.answers_["/instances"] = system.List();
  system.answers_["/report"] = Success(DeployedSystem::ReportBody(0));
  system.answers_["/safe/a"] = Success("");
  system.Configure();
  system.KeepAsking();
  for (const BrokenHead& broken : FewBrokenHeads()) {
    system.answers_["/order"] = WithLength(Head(broken, kField), "");
    BOOST_TEST(system.AwaitCalls("/order", kSends), broken.name_);
    BOOST_TEST(system.calls_["/safe/a"] == 0, broken.name_);
  }
}

BOOST_AUTO_TEST_SUITE_END()
