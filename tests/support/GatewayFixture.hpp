#pragma once

#include "Fleet.h"
#include "entry/Gateway.hpp"
#include "platform/RoutesReader.hpp"
#include "protocol/Compression.hpp"
#include "tests/support/LocalSystem.hpp"
#include "transport/HttpLink.hpp"
#include "transport/RpcServer.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

/// A gateway between a caller and fake servers, for tests of what callers get.
namespace crocusslip::tests {

using namespace std::chrono_literals;
using transport::HttpRequest;
using transport::Task;
namespace http = transport::http;

constexpr std::chrono::seconds kTestTimeout{ 10 };
constexpr std::chrono::milliseconds kTeardownTime{ 100 };
constexpr std::int32_t kServerSlots = 4;
/// Time until the quota of FakeFleet has room again.
constexpr std::int32_t kQuotaRetryMs = 2500;
/// Between two events of StartServersOfBrokenStreams.
constexpr std::chrono::milliseconds kEventInterval{ 900 };

inline const std::string kSignedSuccess = "200 OK\r\nId: abc\r\nStamp: s1";

inline std::string
Chunk(const std::string& aText)
{
  std::string size;
  constexpr const char* kDigits = "0123456789abcdef";
  for (std::size_t left = aText.size(); left > 0; left /= 16) {
    size.insert(size.begin(), kDigits[left % 16]);
  }
  return size + "\r\n" + aText + "\r\n";
}

/// Fake leader of the control group.
class FakeFleet final : public wire::FleetIf
{
public:
  void sync(wire::SyncReply& aReply, const wire::SyncRequest& aRequest) override
  {
    std::this_thread::sleep_for(10ms);
    const std::lock_guard lock(mutex_);
    startedParts_.insert(aRequest.startedParts.begin(),
                         aRequest.startedParts.end());
    reportedHeldParts_ = aRequest.heldParts;
    if (!aRequest.crashes.empty() && crashReportsToFail_ > 0) {
      --crashReportsToFail_;
      throw std::runtime_error("the report is lost");
    }
    crashes_.insert(
      crashes_.end(), aRequest.crashes.begin(), aRequest.crashes.end());
    for (const wire::ServerUse& use : aRequest.uses) {
      if (use.loadAgeMs >= 0) {
        reportedLoads_.push_back(use);
      }
      reportedRateLimit_ = std::max(reportedRateLimit_, use.rateLimitMilli);
      for (wire::ServerRow& row : reply_.rows) {
        if (row.server == use.server && use.rateLimitAgeMs >= 0) {
          row.rateLimitMilli = use.rateLimitMilli;
        }
      }
    }
    aReply = reply_;
    for (const wire::ServerUse& use : aRequest.uses) {
      const std::int32_t granted = std::min(use.wantedGrants, grantsLeft_);
      if (granted > 0) {
        grantsLeft_ -= granted;
        aReply.grants.emplace_back();
        aReply.grants.back().server = use.server;
        aReply.grants.back().requests = granted;
      }
    }
    GrantQuotas(aRequest, aReply);
    aReply.leader = isLeader_;
    aReply.epoch = 1;
    aReply.crashEpoch = crashEpoch_;
    aReply.complete = aRequest.epoch != 1;
    aReply.hosts = 1;
    reportedRoutes_ = aRequest.routesVersion;
    tenantUses_ = aRequest.tenants;
    aReply.routesVersion = routesVersion_;
    if (aRequest.routesVersion < routesVersion_ && aRequest.takesCompressed) {
      aReply.compressedRoutes = protocol::Compress(routes_);
      aReply.routesBytes = static_cast<std::int32_t>(routes_.size());
    }
  }
  void join(wire::JoinAnswer&, const wire::JoinRequest&) override {}

  void AddServer(const std::string& aId,
                 std::uint16_t aPort,
                 const std::string& aService = "desk",
                 std::int32_t aSlots = kServerSlots)
  {
    const std::lock_guard lock(mutex_);
    wire::ServerRow row;
    row.server = aId;
    row.address = "127.0.0.1:" + std::to_string(aPort);
    row.serviceName = aService;
    row.slots = aSlots;
    reply_.rows.push_back(row);
  }

  /// Requests that other hosts have at the server.
  void SetOthersInFlight(const std::string& aId, std::int32_t aCount)
  {
    const std::lock_guard lock(mutex_);
    for (wire::ServerRow& row : reply_.rows) {
      if (row.server == aId) {
        row.inFlight = aCount;
      }
    }
  }

  void SetSuspect(const wire::Fingerprint& aRequest, std::int32_t aServers)
  {
    const std::lock_guard lock(mutex_);
    wire::Suspect suspect;
    suspect.request = aRequest;
    suspect.servers = aServers;
    reply_.suspects = { suspect };
  }

  std::vector<wire::Crash> Crashes()
  {
    const std::lock_guard lock(mutex_);
    return crashes_;
  }

  void SetHeldParts(std::vector<std::int64_t> aParts)
  {
    const std::lock_guard lock(mutex_);
    reply_.heldParts = std::move(aParts);
  }
  /// A new leader, which knows nothing of crashes.
  void ChangeLeader()
  {
    const std::lock_guard lock(mutex_);
    ++crashEpoch_;
    reply_.heldParts.clear();
    reply_.suspects.clear();
    crashes_.clear();
  }
  /// That many reports of crashes are lost.
  void FailCrashReports(int aCount)
  {
    const std::lock_guard lock(mutex_);
    crashReportsToFail_ = aCount;
  }
  std::set<std::int64_t> StartedParts()
  {
    const std::lock_guard lock(mutex_);
    return startedParts_;
  }
  std::vector<std::int64_t> ReportedHeldParts()
  {
    const std::lock_guard lock(mutex_);
    return reportedHeldParts_;
  }

  /// Requests to servers with a rate limit that hosts may still send.
  void SetGrants(std::int32_t aCount)
  {
    const std::lock_guard lock(mutex_);
    grantsLeft_ = aCount;
  }
  /// Makes all servers engines with the model that name their pace, and full.
  void FillEngines(const std::string& aModel)
  {
    const std::lock_guard lock(mutex_);
    for (wire::ServerRow& row : reply_.rows) {
      row.models = { aModel };
      row.memoryTokens = 90'000;
      row.pacePercent = 100;
      row.inFlight = kServerSlots;
    }
  }
  /// Requests of other hosts that wait for the model.
  void SetLine(const std::string& aModel,
               std::int32_t aWaiting,
               std::int32_t aBegunMilli)
  {
    const std::lock_guard lock(mutex_);
    wire::ModelLine line;
    line.model = aModel;
    line.waitingByRank = { aWaiting };
    line.begunMilli = aBegunMilli;
    reply_.lines = { line };
  }
  /// Reports of what servers said of their load.
  std::vector<wire::ServerUse> ReportedLoads()
  {
    const std::lock_guard lock(mutex_);
    return reportedLoads_;
  }
  /// Highest rate limit reported, as requests in 1,000 s.
  std::int32_t ReportedRateLimit()
  {
    const std::lock_guard lock(mutex_);
    return reportedRateLimit_;
  }

  /// Publishes a text that the gateway's settings_.parseRoutes_ reads.
  void SetRoutes(std::int64_t aVersion, std::string aText)
  {
    const std::lock_guard lock(mutex_);
    routesVersion_ = aVersion;
    routes_ = std::move(aText);
  }

  /// The tenants of the last report.
  std::vector<wire::TenantUse> TenantUses()
  {
    const std::lock_guard lock(mutex_);
    return tenantUses_;
  }
  /// Answers reports with the use of the tenant against its share.
  void SetShare(const std::string& aTenant, std::int32_t aPercent)
  {
    const std::lock_guard lock(mutex_);
    reply_.tenants.resize(1);
    reply_.tenants.front().tenant = aTenant;
    reply_.tenants.front().sharePercent = aPercent;
  }

  /// Version of the routes that the gateway has.
  std::int64_t ReportedRoutes()
  {
    const std::lock_guard lock(mutex_);
    return reportedRoutes_;
  }

  /// Units of tenants' quotas that hosts may still spend; nullopt: the leader
  /// does not know yet.
  void SetQuota(std::optional<std::int64_t> aUnits)
  {
    const std::lock_guard lock(mutex_);
    quotaLeft_ = aUnits;
  }
  /// What the hosts have spent and what they have admitted and not spent.
  std::int64_t QuotaSpent()
  {
    const std::lock_guard lock(mutex_);
    return quotaSpent_;
  }
  std::int64_t QuotaReserved()
  {
    const std::lock_guard lock(mutex_);
    return quotaReserved_;
  }

  void SetLeader(bool aIsLeader)
  {
    const std::lock_guard lock(mutex_);
    isLeader_ = aIsLeader;
  }

private:
  /// Grants what requests wait for.
  void GrantQuotas(const wire::SyncRequest& aRequest, wire::SyncReply& aReply)
  {
    for (const wire::TenantUse& use : aRequest.tenants) {
      quotaSpent_ += use.spent;
      quotaReserved_ = use.reserved;
    }
    if (!quotaLeft_) {
      return;
    }
    wire::TenantGrant& grant = aReply.tenants.emplace_back();
    grant.tenant = "t";
    grant.quota = true;
    for (const wire::TenantUse& use : aRequest.tenants) {
      grant.credit = std::min(use.wanted, *quotaLeft_);
      *quotaLeft_ -= grant.credit;
    }
    grant.retryAfterMs = *quotaLeft_ > 0 ? 0 : kQuotaRetryMs;
  }

  std::mutex mutex_;
  std::optional<std::int64_t> quotaLeft_;
  std::int64_t quotaSpent_ = 0;
  std::int64_t quotaReserved_ = 0;
  wire::SyncReply reply_;
  std::string routes_ = "routes";
  std::vector<wire::Crash> crashes_;
  std::set<std::int64_t> startedParts_;
  std::vector<std::int64_t> reportedHeldParts_;
  std::int32_t grantsLeft_ = 0;
  std::int32_t reportedRateLimit_ = 0;
  std::vector<wire::ServerUse> reportedLoads_;
  int crashReportsToFail_ = 0;
  std::int64_t routesVersion_ = 1;
  std::int64_t reportedRoutes_ = 0;
  std::vector<wire::TenantUse> tenantUses_;
  /// Differs from the epoch, which stays while a new leader reads the list.
  std::int64_t crashEpoch_ = 2;
  bool isLeader_ = true;
};

inline coordination::Route
MakeRoute(const std::string& aPrefix,
          coordination::RequestKind aKind,
          const std::string& aService = "desk",
          std::chrono::milliseconds aTimeout = 3s)
{
  coordination::Route route;
  route.name_ = aPrefix;
  route.host_ = "h.example";
  route.prefix_ = aPrefix;
  route.kind_ = aKind;
  route.timeout_ = aTimeout;
  route.latencyTarget_ = 100ms;
  route.callerIdleTimeout_ = 2s;
  route.services_ = { { coordination::ServiceName(aService), 1 } };
  route.maxAttempts_ = 2;
  route.resumable_ = true;
  return route;
}

inline coordination::EngineLimits
MakeEngine()
{
  coordination::EngineLimits limits;
  limits.models_[core::ModelName("m1")] = { 34, 1, 6000ms, 1000ms, 700ms };
  return limits;
}

using RequestHandler =
  std::function<Task<void>(transport::CallerLink&, const HttpRequest&)>;

/// A gateway between a caller and fake servers, all on one event loop; the fake
/// control group has threads of its own.
struct GatewayFixture
{
  transport::asio::io_context loop_{ 1 };
  const core::SystemClock clock_;
  std::shared_ptr<FakeFleet> fleet_ = std::make_shared<FakeFleet>();
  std::unique_ptr<transport::RpcServer> rpc_;
  std::unique_ptr<entry::Gateway> gateway_;
  std::vector<std::unique_ptr<transport::LinkListener>> servers_;
  std::string callerAddress_ = "127.0.0.1:" + std::to_string(tests::FreePort());
  entry::GatewaySettings settings_;
  int arrivals_ = 0;
  /// To be set before the loop runs.
  admission::TenantDirectory tenants_;

  GatewayFixture()
  {
    transport::RpcServerSettings rpc;
    rpc.port_ = tests::FreePort();
    rpc_ = std::make_unique<transport::RpcServer>(
      rpc, std::make_shared<wire::FleetProcessor>(fleet_));
    BOOST_REQUIRE(rpc_->Start().Ok());
    settings_.host_ = core::HostId("e1");
    settings_.callerAddress_ = callerAddress_;
    settings_.readinessAddress_ =
      "127.0.0.1:" + std::to_string(tests::FreePort());
    settings_.seeds_ = { "127.0.0.1:" + std::to_string(rpc.port_) };
    settings_.retries_ = { 0.2, 50, 10s };
    settings_.headers_ = { "Id",      "Deadline",      "Expect-Server",
                           "Not-Run", "Stamp",         "Model",
                           "Tokens",  "Parts",         "Urgency",
                           "Last-Id", { "Secret" },    "Limit",
                           "Leaving", "Authorization", "X-Tenant",
                           "Load" };
    settings_.parseRoutes_ = [this](const std::string& aText) {
      using coordination::RequestKind;
      if (aText.starts_with('{')) {
        return platform::ReadRouteTable(aText);
      }
      return core::Result<coordination::RouteTable>(coordination::RouteTable(
        1,
        { MakeRoute("/safe/", RequestKind::Idempotent),
          MakeRoute("/once/", RequestKind::AtMostOnce),
          MakeRoute("/stream/", RequestKind::Stream),
          MakeRoute("/long/", RequestKind::Stream, "desk", 6s),
          MakeRoute("/model/", RequestKind::Stream, "llm") },
        { { coordination::ServiceName("desk"),
            { coordination::ServiceName("desk"), 9, std::nullopt } },
          { coordination::ServiceName("llm"),
            { coordination::ServiceName("llm"), 9, MakeEngine() } } },
        {},
        tenants_));
    };
    gateway_ = std::make_unique<entry::Gateway>(loop_, settings_, clock_);
    BOOST_REQUIRE(gateway_->Start().Ok());
  }
  ~GatewayFixture()
  {
    // Calls refer to the gateway until their last handlers have run.
    loop_.restart();
    loop_.run_for(kTeardownTime);
    loop_.stop();
    gateway_.reset();
    rpc_->Stop();
  }

  void StartServer(const std::string& aId,
                   const RequestHandler& aHandler,
                   const std::string& aService = "desk")
  {
    const std::uint16_t port = tests::FreePort();
    servers_.push_back(std::make_unique<transport::LinkListener>(
      loop_,
      "127.0.0.1:" + std::to_string(port),
      [this, aHandler](transport::Tcp::socket aSocket) {
        auto link = std::make_shared<transport::CallerLink>(
          std::move(aSocket), transport::LinkLimits{});
        transport::Spawn(loop_, [this, link, aHandler]() -> Task<void> {
          HttpRequest request;
          while (co_await link->Read(request, transport::LinkLimits{}) ==
                 transport::ReadResult::Complete) {
            ++arrivals_;
            co_await aHandler(*link, request);
          }
        });
      }));
    BOOST_REQUIRE(servers_.back()->Start().Ok());
    fleet_->AddServer(aId, port, aService);
  }

  /// Starts a server that breaks off streams after aEvents events, and another
  /// one that ends them, but is full until some time after that.
  void StartServersOfBrokenStreams(int aEvents)
  {
    StartServer("s1",
                [this, aEvents](transport::CallerLink& aLink,
                                const HttpRequest&) -> Task<void> {
                  co_await aLink.WriteRaw(
                    "HTTP/1.1 " + kSignedSuccess +
                    "\r\nTransfer-Encoding: chunked\r\n\r\n");
                  transport::asio::steady_timer timer(loop_);
                  for (int event = 1; event <= aEvents; ++event) {
                    co_await aLink.WriteRaw(
                      Chunk("id: " + std::to_string(event) + "\ndata: a\n\n"));
                    co_await transport::Sleep(timer, kEventInterval);
                  }
                  aLink.Abort();
                  co_await transport::Sleep(timer, kEventInterval / 2);
                  fleet_->SetOthersInFlight("s2", 0);
                });
    StartServer(
      "s2",
      [](transport::CallerLink& aLink,
         const HttpRequest& aRequest) -> Task<void> {
        const auto last = aRequest["Last-Id"];
        co_await aLink.WriteRaw(
          "HTTP/1.1 " + kSignedSuccess +
          "\r\nTransfer-Encoding: chunked\r\n\r\n" +
          Chunk("id: " + std::to_string(std::stoi(std::string(last)) + 1) +
                "\ndata: end\n\n") +
          "0\r\n\r\n");
      });
    fleet_->SetOthersInFlight("s2", kServerSlots);
  }

  static HttpRequest Request(const std::string& aTarget)
  {
    HttpRequest request{ http::verb::post, aTarget, 11 };
    request.set(http::field::host, "h.example");
    request.set("Id", "abc");
    request.set("Secret", "mine");
    request.body() = "the body";
    request.prepare_payload();
    return request;
  }

  /// Runs the loop until aDone is set.
  void RunUntil(const bool& aDone)
  {
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    while (!aDone && std::chrono::steady_clock::now() < until) {
      loop_.run_for(10ms);
    }
    BOOST_REQUIRE(aDone);
  }

  transport::WholeAnswer Call(const std::string& aTarget,
                              const std::string& aParts = "")
  {
    bool done = false;
    transport::WholeAnswer received;
    const auto wait = std::chrono::steady_clock::now() + kTestTimeout;
    while (!gateway_->Ready() && std::chrono::steady_clock::now() < wait) {
      loop_.run_for(10ms);
    }
    transport::Spawn(loop_, [&]() -> Task<void> {
      HttpRequest request = Request(aTarget);
      if (!aParts.empty()) {
        request.set("Parts", aParts);
      }
      auto answer =
        co_await transport::CallOnce(loop_, callerAddress_, request, 5s);
      if (answer.Ok()) {
        received = std::move(answer.Value());
      }
      done = true;
    });
    RunUntil(done);
    return received;
  }

  static RequestHandler Respond(const std::string& aHead,
                                const std::string& aBody)
  {
    return [=](transport::CallerLink& aLink, const HttpRequest&) -> Task<void> {
      co_await aLink.WriteRaw("HTTP/1.1 " + aHead + "\r\nContent-Length: " +
                              std::to_string(aBody.size()) + "\r\n\r\n" +
                              aBody);
    };
  }
  static RequestHandler BreakConnection()
  {
    return [](transport::CallerLink& aLink, const HttpRequest&) -> Task<void> {
      aLink.Abort();
      co_return;
    };
  }
};

} // namespace crocusslip::tests
