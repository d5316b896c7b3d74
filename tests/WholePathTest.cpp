#define BOOST_TEST_MODULE WholePath
#include <boost/test/unit_test.hpp>

#include "protocol/Problem.hpp"
#include "support/WholeSystem.hpp"

#include <nlohmann/json.hpp>

#include <future>
#include <string>

using namespace crocusslip;
using nlohmann::json;
using tests::Completion;
using tests::WholeSystem;
using tests::WithoutRequestIds;

namespace {

constexpr std::size_t kThreads = 4;

} // namespace

// Boost.Test calls the members of these names.
struct SystemFixture
{
  void setup() // NOLINT(readability-identifier-naming)
  {
    transport::StartHttpThreads(kThreads);
    WholeSystem::sInstance = std::make_unique<WholeSystem>(
      tests::WholeSystemSettings{ { tests::FastEngine("engine") } });
  }
  void teardown() // NOLINT(readability-identifier-naming)
  {
    WholeSystem::sInstance.reset();
  }
};

BOOST_TEST_GLOBAL_FIXTURE(SystemFixture);

BOOST_AUTO_TEST_SUITE(A_request_to_an_idle_model)

// Guards against a cold start that loses or changes the answer.
BOOST_AUTO_TEST_CASE(
  waits_for_the_load_and_gets_the_unchanged_answer_of_the_engine)
{
  WholeSystem& system = WholeSystem::Instance();
  const auto routed = system.Post("/v1/completions", Completion(true));
  BOOST_TEST(routed.status_ == 200);
  protocol::HttpRequest direct;
  direct.method_ = "POST";
  direct.path_ = "/v1/completions";
  direct.body_ = Completion(true);
  const auto engine = system.Send(system.EnginePort(), direct);
  BOOST_TEST(WithoutRequestIds(routed.body_) ==
             WithoutRequestIds(engine.body_));
  BOOST_TEST(routed.body_.find("data: [DONE]") != std::string::npos);
}

// Guards against an incomplete stream that looks complete to its caller.
BOOST_AUTO_TEST_CASE(gets_an_error_event_when_the_stream_breaks)
{
  WholeSystem& system = WholeSystem::Instance();
  system.SetEngineFaults({ { "break_stream_after", 2 } });
  const auto answer = system.Post("/v1/completions", Completion(true, "cut"));
  system.SetEngineFaults({ { "break_stream_after", 0 } });
  BOOST_TEST(answer.body_.find("data: [DONE]") == std::string::npos);
  BOOST_TEST(answer.body_.find("event: error") != std::string::npos);
  BOOST_TEST(answer.body_.find("\"reason\":\"stream_broken\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_non_idempotent_request)

// Guards against running a non-idempotent request twice.
BOOST_AUTO_TEST_CASE(sent_again_gets_its_first_answer)
{
  WholeSystem& system = WholeSystem::Instance();
  const std::string body = R"({"deposit":"a"})";
  const auto first = system.Post("/deposits", body, "key-a");
  const auto second = system.Post("/deposits", body, "key-a");
  BOOST_TEST(first.status_ == 201);
  BOOST_TEST(second.status_ == 201);
  BOOST_TEST(second.body_ == first.body_);
  BOOST_TEST(system.Runs()[body] == 1);
}

// Guards against refusing a duplicate because the outcome of the first request
// is not recorded yet.
BOOST_AUTO_TEST_CASE(sent_twice_concurrently_runs_once_and_gets_the_same_answer)
{
  WholeSystem& system = WholeSystem::Instance();
  const std::string body = R"({"deposit":"twice"})";
  auto copy = std::async(std::launch::async, [&system, &body] {
    return system.Post("/deposits", body, "key-twice");
  });
  const auto first = system.Post("/deposits", body, "key-twice");
  const auto second = copy.get();
  BOOST_TEST(first.status_ == 201);
  BOOST_TEST(second.status_ == 201);
  BOOST_TEST(second.body_ == first.body_);
  BOOST_TEST(system.Runs()[body] == 1);
}

// Guards against one idempotency key for two different requests.
BOOST_AUTO_TEST_CASE(with_another_body_under_its_key_is_refused)
{
  WholeSystem& system = WholeSystem::Instance();
  const std::string other = R"({"deposit":"other"})";
  system.Post("/deposits", R"({"deposit":"b"})", "key-b");
  const auto refused = system.Post("/deposits", other, "key-b");
  BOOST_TEST(refused.status_ == 422);
  BOOST_TEST(json::parse(refused.body_)["ran"] == "not_run");
  BOOST_TEST(!system.Runs().contains(other));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_change_of_settings)

// Guards against committing a log entry that is too large to be read: all
// members would stop at it, and again after each restart. The expected revision
// is outdated, so that the edits themselves are not validated first.
BOOST_AUTO_TEST_CASE(with_more_edits_than_an_entry_holds_is_refused)
{
  WholeSystem& system = WholeSystem::Instance();
  json edits = json::array();
  for (int i = 0; i < 9000; ++i) {
    edits.push_back({ { "path", "group.g" + std::to_string(i) } });
  }
  protocol::HttpRequest request;
  request.method_ = "POST";
  request.path_ = "/admin/v1/config";
  request.body_ = json({ { "change_id", "huge" },
                         { "expected_revision", 999 },
                         { "edits", edits } })
                    .dump();
  const auto answer = system.Send(system.AdminPort(), request);
  BOOST_TEST(answer.status_ == 422);
  request.method_ = "GET";
  request.path_ = "/readyz";
  BOOST_TEST(system.Send(system.AdminPort(), request).status_ == 200);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(A_bad_request)

void
CheckRefusal(const protocol::HttpResponse& aAnswer,
             std::uint16_t aStatus,
             const std::string& aReason)
{
  BOOST_TEST(aAnswer.status_ == aStatus);
  const json problem = json::parse(aAnswer.body_, nullptr, false);
  BOOST_REQUIRE(problem.is_object());
  BOOST_TEST(problem["reason"] == aReason);
  BOOST_TEST(problem["ran"] == "not_run");
}

// Guards against refusals without a reason, and against a crash on bad input.
BOOST_AUTO_TEST_CASE(is_refused_with_its_reason)
{
  WholeSystem& system = WholeSystem::Instance();
  CheckRefusal(system.Post("/v1/completions", "{not json"), 400, "malformed");
  CheckRefusal(system.Post("/v1/completions", R"({"model":"nobody"})"),
               404,
               "unknown_deployment");
  CheckRefusal(system.Get("/v1/completions"), 405, "method_not_allowed");
  CheckRefusal(system.Post("/elsewhere", "x"), 404, "unknown_route");
  CheckRefusal(
    system.Post("/deposits", "x", std::string(300, 'k')), 400, "malformed");
}

BOOST_AUTO_TEST_SUITE_END()
