#define BOOST_TEST_MODULE TenantKeys
#include <boost/test/unit_test.hpp>

#include "core/Log.hpp"
#include "support/GatewayFixture.hpp"

#include <boost/asio/write.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <unistd.h>
#include <utility>

using namespace crocusslip;
using namespace crocusslip::tests;

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

const std::string kAcme = R"({"Name":"acme","ApiKeys":["sesame"]})";
const std::string kWithoutKeys = R"({"Name":"acme"})";
const std::string kOther = R"({"Name":"other","ApiKeys":["word"]})";
const std::string kAcmeWithoutKeys = kWithoutKeys + "," + kOther;

std::string
Config(std::int64_t aVersion, const std::string& aTenants)
{
  const auto route = [](const std::string& aName,
                        const std::string& aKind,
                        const std::string& aMore = "") {
    return R"({"Name":")" + aName + R"(","Host":"h.example","PathPrefix":"/)" +
           aName + R"(/","RouteKind":")" + aKind +
           R"(","TimeoutMs":4000,"MaxAttempts":2,"Service":"desk")" + aMore +
           "}";
  };
  return R"({"Version":)" + std::to_string(aVersion) + R"(,"Routes":[)" +
         route("safe", "safe") + "," + route("stream", "streaming") + "," +
         route("open", "safe", R"(,"Anonymous":true)") +
         R"(],"Services":[{"Name":"desk","MaxConnections":9}],"Tenants":[)" +
         aTenants + "]}";
}

struct Fixture : GatewayFixture
{
  std::int64_t version_ = 1;
  /// The last request that a server got.
  HttpRequest forwarded_;

  Fixture() { Publish(kAcme + "," + kOther); }

  void Publish(const std::string& aTenants)
  {
    ++version_;
    fleet_->SetRoutes(version_, Config(version_, aTenants));
  }

  bool HasRoutes() const { return fleet_->ReportedRoutes() == version_; }

  /// Waits until the gateway has the servers and the newest table.
  void AwaitRoutes()
  {
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    while (!(HasRoutes() && gateway_->Ready()) &&
           std::chrono::steady_clock::now() < until) {
      loop_.run_for(10ms);
    }
    BOOST_REQUIRE(HasRoutes());
    // What the fake group was told before is known now, too.
    loop_.run_for(100ms);
  }

  void StartRecorder()
  {
    StartServer("s1",
                [this](transport::CallerLink& aLink,
                       const HttpRequest& aRequest) -> Task<void> {
                  forwarded_ = aRequest;
                  co_await Respond(kSignedSuccess, "hello")(aLink, aRequest);
                });
  }

  static HttpRequest RequestWith(const std::string& aTarget,
                                 const Fields& aFields)
  {
    HttpRequest request = Request(aTarget);
    for (const auto& [name, value] : aFields) {
      request.insert(name, value);
    }
    return request;
  }

  transport::WholeAnswer CallWith(const std::string& aTarget,
                                  const Fields& aFields)
  {
    bool done = false;
    transport::WholeAnswer received;
    transport::Spawn(loop_, [&]() -> Task<void> {
      auto answer = co_await transport::CallOnce(
        loop_, callerAddress_, RequestWith(aTarget, aFields), 5s);
      if (answer.Ok()) {
        received = std::move(answer.Value());
      }
      done = true;
    });
    RunUntil(done);
    return received;
  }

  /// Writes bytes on one connection and returns what comes until the other
  /// side closes it.
  std::string Exchange(const std::string& aBytes)
  {
    bool done = false;
    std::string received;
    transport::Spawn(loop_, [&]() -> Task<void> {
      transport::Tcp::socket socket(loop_);
      boost::system::error_code error;
      co_await socket.async_connect(*transport::ParseEndpoint(callerAddress_),
                                    transport::Catch(error));
      co_await transport::asio::async_write(
        socket, transport::asio::buffer(aBytes), transport::Catch(error));
      std::array<char, 4096> part{};
      while (!error) {
        const std::size_t got = co_await socket.async_read_some(
          transport::asio::buffer(part), transport::Catch(error));
        received.append(part.data(), got);
      }
      done = true;
    });
    RunUntil(done);
    return received;
  }

  /// The answer to a call that waits for a server while a table with these
  /// tenants is published; a server becomes free 200 ms later.
  transport::WholeAnswer CallWhilePublishing(const std::string& aTenants)
  {
    StartRecorder();
    fleet_->SetOthersInFlight("s1", kServerSlots);
    AwaitRoutes();
    const HttpRequest request =
      RequestWith("/safe/a", { { "Authorization", "Bearer sesame" } });
    bool done = false;
    transport::WholeAnswer received;
    transport::Spawn(loop_, [&]() -> Task<void> {
      auto answer =
        co_await transport::CallOnce(loop_, callerAddress_, request, 5s);
      if (answer.Ok()) {
        received = std::move(answer.Value());
      }
      done = true;
    });
    loop_.run_for(200ms);
    BOOST_TEST(!done);
    Publish(aTenants);
    AwaitRoutes();
    fleet_->SetOthersInFlight("s1", 0);
    RunUntil(done);
    return received;
  }
};

const std::vector<Fields> kUnknown = {
  {},
  { { "Authorization", "Bearer unknown" } },
  { { "Authorization", "Bearer sesam" } },
  { { "Authorization", "Bearer sesame word" } },
  { { "Authorization", "Bearer" } },
  { { "Authorization", "Basic sesame" } },
  { { "Authorization", "sesame" } },
  { { "Authorization", "Bearer sesame" }, { "authorization", "Bearer word" } },
  { { "X-Tenant", "acme" } },
};

// Some servers take "_" for "-" in the names of headers.
const std::vector<Fields> kKnown = {
  { { "Authorization", "Bearer sesame" } },
  { { "authorization", "bearer   sesame " } },
  { { "AUTHORIZATION", "BEARER sesame" },
    { "Connection", "Authorization, X-Tenant" },
    { "TE", "Authorization" },
    { "Trailer", "Authorization" } },
  { { "Authorization", "Bearer sesame" },
    { "x-tenant", "other" },
    { "X-TENANT", "other" },
    { "X_Tenant", "other" } },
};

std::string
TextOf(const Fields& aFields)
{
  std::string text;
  for (const auto& [name, value] : aFields) {
    text.append(name).append(": ").append(value).append("; ");
  }
  return text;
}

std::string
TextOf(const HttpRequest& aRequest)
{
  Fields fields;
  for (const auto& field : aRequest) {
    fields.emplace_back(field.name_string(), field.value());
  }
  return TextOf(fields);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ARequestWithAKey)

BOOST_FIXTURE_TEST_CASE(ReachesServersWithItsTenantAndWithoutItsKey, Fixture)
{
  StartRecorder();
  AwaitRoutes();
  const auto log = std::filesystem::temp_directory_path() /
                   ("tenant-keys-" + std::to_string(::getpid()) + ".log");
  core::StartLog({ core::LogLevel::Debug, log.string(), "", "" });
  for (const Fields& fields : kKnown) {
    BOOST_TEST_CONTEXT(TextOf(fields))
    {
      BOOST_TEST(CallWith("/safe/a", fields).status_ == 200U);
      BOOST_TEST(forwarded_.count("Authorization") == 0U);
      BOOST_TEST(forwarded_.count("X-Tenant") == 1U);
      BOOST_TEST(forwarded_["X-Tenant"] == "acme");
      BOOST_TEST(forwarded_.count("X_Tenant") == 0U);
      BOOST_TEST(TextOf(forwarded_).find("sesame") == std::string::npos);
    }
  }
  BOOST_TEST(arrivals_ == std::ssize(kKnown));
  CallWith("/safe/a", { { "Authorization", "Bearer unknown" } });
  core::StartLog({});
  std::ifstream file(log);
  const std::string lines{ std::istreambuf_iterator<char>(file), {} };
  BOOST_TEST(lines.find("tenant=acme") != std::string::npos);
  BOOST_TEST(lines.find("sesame") == std::string::npos);
  BOOST_TEST(lines.find("Bearer unknown") == std::string::npos);
  std::filesystem::remove(log);
}

// A trailer's fields come after the body and count as those of the head.
BOOST_FIXTURE_TEST_CASE(IsRefusedWithAnotherOneInItsTrailer, Fixture)
{
  StartRecorder();
  AwaitRoutes();
  const auto send = [this](const std::string& aTrailer) {
    return Exchange("POST /safe/a HTTP/1.1\r\nHost: h.example\r\nId: abc\r\n"
                    "Connection: close\r\nAuthorization: Bearer sesame\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n" +
                    aTrailer + "\r\n");
  };
  BOOST_TEST(
    send("Authorization: Bearer word\r\n").starts_with("HTTP/1.1 401"));
  BOOST_TEST(arrivals_ == 0);
  BOOST_TEST(send("X-Tenant: other\r\n").starts_with("HTTP/1.1 200"));
  BOOST_TEST(forwarded_["X-Tenant"] == "acme");
  BOOST_TEST(forwarded_.count("X-Tenant") == 1U);
}

BOOST_FIXTURE_TEST_CASE(IsRefusedOnAnOpenConnectionOnceItsKeyIsWithdrawn,
                        Fixture)
{
  StartRecorder();
  AwaitRoutes();
  const HttpRequest request =
    RequestWith("/safe/a", { { "Authorization", "Bearer sesame" } });
  std::vector<unsigned> statuses;
  bool done = false;
  transport::Spawn(loop_, [&]() -> Task<void> {
    transport::ServerLink caller(loop_);
    transport::asio::steady_timer timer(loop_);
    co_await caller.Connect(callerAddress_, 1s);
    for (int i = 0; i < 3; ++i) {
      transport::AnswerHead head;
      co_await caller.Send(request, 1s);
      if (co_await caller.ReadHead(head, 2s)) {
        co_await caller.SkipRest(1s);
        statuses.push_back(head.status_);
      }
      // The tenant's last key goes, then the tenant.
      Publish(i == 0 ? kAcmeWithoutKeys : kOther);
      while (!HasRoutes()) {
        co_await transport::Sleep(timer, 10ms);
      }
    }
    done = true;
  });
  RunUntil(done);
  const std::vector<unsigned> expected{ 200, 401, 401 };
  BOOST_TEST(statuses == expected, boost::test_tools::per_element());
  BOOST_TEST(arrivals_ == 1);
}

// Guards against a request that is run because the one before it on the same
// connection had a key, and against a body in the answer to a HEAD request,
// which the caller would take for the next answer.
BOOST_FIXTURE_TEST_CASE(ProvesNothingForThoseAfterItOnItsConnection, Fixture)
{
  StartRecorder();
  AwaitRoutes();
  const auto request = [](const std::string& aMethod,
                          const std::string& aFields) {
    return std::string(aMethod)
      .append(" /safe/a HTTP/1.1\r\nHost: h.example\r\nId: abc\r\n")
      .append(aFields)
      .append("\r\n");
  };
  const std::string answers = Exchange(
    request("GET", "Authorization: Bearer sesame\r\n") + request("HEAD", "") +
    request("GET", "Authorization: Bearer word\r\n") +
    request("GET", "Authorization: Bearer wor\r\nConnection: close\r\n"));
  std::vector<std::string> statuses;
  for (auto at = answers.find("HTTP/1.1 "); at != std::string::npos;
       at = answers.find("HTTP/1.1 ", at + 1)) {
    statuses.push_back(answers.substr(at + 9, 3));
  }
  const std::vector<std::string> expected{ "200", "401", "200", "401" };
  BOOST_TEST(statuses == expected, boost::test_tools::per_element());
  BOOST_TEST(answers.find("\r\n\r\nHTTP/1.1 200") != std::string::npos);
  BOOST_TEST(forwarded_["X-Tenant"] == "other");
  BOOST_TEST(arrivals_ == 2);
}

BOOST_FIXTURE_TEST_CASE(IsAnswered404OrNotYetBeforeItsKeyIsLookedAt, Fixture)
{
  StartRecorder();
  AwaitRoutes();
  BOOST_TEST(CallWith("/nowhere/a", {}).status_ == 404U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARequestWithAnUnknownKey)

BOOST_FIXTURE_TEST_CASE(IsRefusedAndReachesNoServer, Fixture)
{
  StartRecorder();
  AwaitRoutes();
  for (const Fields& fields : kUnknown) {
    BOOST_TEST_CONTEXT(TextOf(fields))
    {
      const auto answer = CallWith("/safe/a", fields);
      BOOST_TEST(answer.status_ == 401U);
      BOOST_TEST(answer.fields_[http::field::www_authenticate] == "Bearer");
      BOOST_TEST(answer.fields_["Id"] == "abc");
    }
  }
  BOOST_TEST(arrivals_ == 0);
}

// A host without a table knows neither routes nor keys.
BOOST_FIXTURE_TEST_CASE(IsAnswered503BeforeTheFirstTable, Fixture)
{
  fleet_->SetLeader(false);
  BOOST_TEST(CallWith("/safe/a", {}).status_ == 503U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARequestThatNeedsNoKey)

BOOST_FIXTURE_TEST_CASE(ReachesServersWithNeitherKeyNorTenant, Fixture)
{
  StartRecorder();
  AwaitRoutes();
  for (const auto& cases : { kKnown, kUnknown }) {
    for (const Fields& fields : cases) {
      BOOST_TEST_CONTEXT(TextOf(fields))
      {
        BOOST_TEST(CallWith("/open/a", fields).status_ == 200U);
        BOOST_TEST(forwarded_.count("Authorization") == 0U);
        BOOST_TEST(forwarded_.count("X-Tenant") == 0U);
        BOOST_TEST(forwarded_.count("X_Tenant") == 0U);
      }
    }
  }
}

BOOST_FIXTURE_TEST_CASE(ReachesServersAsItIsIfTheTableHasNoTenants, Fixture)
{
  Publish("");
  StartRecorder();
  AwaitRoutes();
  const Fields fields{ { "Authorization", "Basic x" }, { "X-Tenant", "mine" } };
  BOOST_TEST(CallWith("/safe/a", fields).status_ == 200U);
  BOOST_TEST(forwarded_["Authorization"] == "Basic x");
  BOOST_TEST(forwarded_["X-Tenant"] == "mine");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ARequestThatWaitsForAServer)

BOOST_FIXTURE_TEST_CASE(IsRefusedNotRunOnceItsKeyIsWithdrawn, Fixture)
{
  BOOST_TEST(CallWhilePublishing(kOther).status_ == 401U);
  BOOST_TEST(arrivals_ == 0);
}

BOOST_FIXTURE_TEST_CASE(IsRefusedNotRunOnceItsTenantHasNoKeys, Fixture)
{
  const auto answer = CallWhilePublishing(kAcmeWithoutKeys);
  BOOST_TEST(answer.status_ == 401U);
  BOOST_TEST(arrivals_ == 0);
}

BOOST_FIXTURE_TEST_CASE(IsServedIfItsKeyStays, Fixture)
{
  const auto answer = CallWhilePublishing(
    R"({"Name":"acme","ApiKeys":["new","sesame"],"RatePerS":5})");
  BOOST_TEST(answer.status_ == 200U);
  BOOST_TEST(forwarded_["X-Tenant"] == "acme");
}

BOOST_FIXTURE_TEST_CASE(IsServedAsTheTenantThatItsKeyMovesTo, Fixture)
{
  const auto answer = CallWhilePublishing(
    R"({"Name":"acme"},{"Name":"heir","ApiKeys":["sesame"]})");
  BOOST_TEST(answer.status_ == 200U);
  BOOST_TEST(forwarded_["X-Tenant"] == "heir");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AHostWithFullServers)

// Guards against a leader that can't compare the tenants' use, and against a
// host that gives a slot to a tenant above its share at once.
BOOST_FIXTURE_TEST_CASE(ReportsTenantsAndTakesTheirShares, Fixture)
{
  StartRecorder();
  fleet_->SetOthersInFlight("s1", kServerSlots);
  fleet_->SetShare("acme", 150);
  AwaitRoutes();
  std::vector<std::string> served;
  const auto call = [&](const std::string& aKey) {
    transport::Spawn(loop_, [this, &served, aKey]() -> Task<void> {
      HttpRequest request = Request("/safe/a");
      request.set("Authorization", "Bearer " + aKey);
      const auto answer =
        co_await transport::CallOnce(loop_, callerAddress_, request, 5s);
      served.push_back(answer.Ok() && answer.Value().status_ == 200 ? aKey
                                                                    : "");
    });
  };
  call("sesame");
  loop_.run_for(200ms);
  call("word");
  const auto until = std::chrono::steady_clock::now() + kTestTimeout;
  while (fleet_->TenantUses().size() < 2 &&
         std::chrono::steady_clock::now() < until) {
    loop_.run_for(10ms);
  }
  const auto uses = fleet_->TenantUses();
  BOOST_REQUIRE(uses.size() == 2U);
  BOOST_TEST(uses[0].tenant == "acme");
  BOOST_TEST(uses[0].waiting == 1);
  BOOST_TEST(uses[0].running == 0);
  BOOST_TEST(served.empty());
  fleet_->SetOthersInFlight("s1", 0);
  while (served.size() < 2 && std::chrono::steady_clock::now() < until) {
    loop_.run_for(10ms);
  }
  const std::vector<std::string> expected{ "word", "sesame" };
  BOOST_TEST(served == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AStreamWithAKey)

BOOST_FIXTURE_TEST_CASE(RunsToItsEndAfterItsKeyIsWithdrawn, Fixture)
{
  StartServer(
    "s1",
    [this](transport::CallerLink& aLink, const HttpRequest&) -> Task<void> {
      co_await aLink.WriteRaw("HTTP/1.1 " + kSignedSuccess +
                              "\r\nTransfer-Encoding: chunked\r\n\r\n" +
                              Chunk("id: 1\ndata: a\n\n"));
      Publish(kOther);
      transport::asio::steady_timer timer(loop_);
      while (!HasRoutes()) {
        co_await transport::Sleep(timer, 10ms);
      }
      co_await aLink.WriteRaw(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    });
  AwaitRoutes();
  const Fields fields{ { "Authorization", "Bearer sesame" } };
  BOOST_TEST(CallWith("/stream/a", fields).body_ ==
             "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  BOOST_TEST(CallWith("/stream/a", fields).status_ == 401U);
}

BOOST_AUTO_TEST_SUITE_END()
