#pragma once

#include "control/ControlDaemon.hpp"
#include "entry/EntryDaemon.hpp"
#include "fakes/Engine.hpp"
#include "fakes/Service.hpp"
#include "tests/support/LocalSystem.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// Runs all daemons inside one test process, connected by real sockets.
namespace crocusslip::tests {

inline constexpr std::chrono::milliseconds kPollInterval{ 20 };
/// Polls of a condition that normally becomes true within seconds.
inline constexpr int kMaxPolls = 1500;

/// Engines to start and the TOML settings of the deployment named "plan", which
/// runs on them.
struct WholeSystemSettings
{
  std::vector<fakes::EngineSettings> engines_;
  std::string planToml_ = "model = \"small\"\npool = \"gpu\"\n";
};

/// Settings of an engine with very short delays.
inline fakes::EngineSettings
FastEngine(const std::string& aName)
{
  fakes::EngineSettings settings;
  settings.name_ = aName;
  settings.loadTime_ = std::chrono::milliseconds(50);
  settings.betweenTokens_ = std::chrono::milliseconds(1);
  settings.firstToken_ = std::chrono::milliseconds(1);
  return settings;
}

/// One control member, one entry host, engines and one service in this process.
/// Started once for all cases of a test program.
class WholeSystem
{
public:
  explicit WholeSystem(const WholeSystemSettings& aSettings)
    : folder_(tests::NewFolder())
    , log_("")
    , service_({ "service", std::chrono::milliseconds(1) }, log_)
    , serviceServer_(Serve(servicePort_, [this](const auto& aExchange) {
      service_.Handle(aExchange);
    }))
  {
    for (const fakes::EngineSettings& settings : aSettings.engines_) {
      AddEngine(settings);
    }
    control_ = std::make_unique<control::ControlDaemon>(
      Settings(true), control::OperatorRoles::Open());
    BOOST_REQUIRE(control_->Start(true).Ok());
    entry_ = std::make_unique<entry::EntryDaemon>(Settings(false));
    BOOST_REQUIRE(entry_->Start().Ok());
    Configure(aSettings.planToml_);
    // An entry host may be ready before it has received the deployments.
    BOOST_REQUIRE(WaitUntil([this] {
      return Get("/readyz").status_ == 200 &&
             Get("/v1/models").body_.find("\"plan\"") != std::string::npos;
    }));
  }

  ~WholeSystem()
  {
    entry_->DrainAndStop();
    control_->Stop();
    std::filesystem::remove_all(folder_);
  }

  static WholeSystem& Instance() { return *sInstance; }
  static inline std::unique_ptr<WholeSystem> sInstance; // NOLINT

  protocol::HttpResponse Send(std::uint16_t aPort,
                              const protocol::HttpRequest& aRequest)
  {
    transport::HttpTarget target;
    target.base_ = "http://127.0.0.1:" + std::to_string(aPort);
    target.freshConnection_ = true;
    const auto answer = client_.FetchAndWait(target, aRequest);
    BOOST_REQUIRE_MESSAGE(answer.Ok(), "no answer");
    return answer.Value();
  }

  protocol::HttpResponse Get(const std::string& aPath)
  {
    protocol::HttpRequest request;
    request.method_ = "GET";
    request.path_ = aPath;
    return Send(entryPort_, request);
  }

  protocol::HttpResponse Post(const std::string& aPath,
                              const std::string& aBody,
                              const std::string& aKey = {})
  {
    protocol::HttpRequest request;
    request.method_ = "POST";
    request.path_ = aPath;
    request.body_ = aBody;
    if (!aKey.empty()) {
      request.headers_.Set("Idempotency-Key", aKey);
    }
    return Send(entryPort_, request);
  }

  nlohmann::json Runs()
  {
    protocol::HttpRequest request;
    request.method_ = "GET";
    request.path_ = "/fake/runs";
    return nlohmann::json::parse(Send(servicePort_, request).body_)["runs"];
  }

  void SetEngineFaults(const nlohmann::json& aFaults, std::size_t aEngine = 0)
  {
    protocol::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/fake/faults";
    request.body_ = aFaults.dump();
    Send(EnginePort(aEngine), request);
  }

  std::uint16_t EnginePort(std::size_t aEngine = 0) const
  {
    return engines_.at(aEngine)->port_;
  }

  std::size_t Engines() const { return engines_.size(); }

  /// Value of one metric of the entry process; -1 if it does not exist.
  double Metric(const std::string& aName)
  {
    const std::string text = "\n" + Get("/metrics").body_;
    const std::size_t at = text.find("\n" + aName + " ");
    return at == std::string::npos
             ? -1
             : std::strtod(text.c_str() + at + aName.size() + 2, nullptr);
  }

  std::uint16_t AdminPort() const { return adminPort_; }

  template<typename Condition>
  static bool WaitUntil(Condition aCondition)
  {
    for (int i = 0; i < kMaxPolls; ++i) {
      if (aCondition()) {
        return true;
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    return false;
  }

private:
  struct EngineHost
  {
    EngineHost(const fakes::EngineSettings& aSettings,
               fakes::EventLog& aLog,
               transport::HttpClient& aClient)
      : name_(aSettings.name_)
      , engine_(aSettings, aLog, aClient)
    {
    }

    const std::string name_;
    const std::uint16_t port_ = tests::FreePort();
    fakes::Engine engine_;
    std::unique_ptr<transport::HttpServer> server_;
  };

  void AddEngine(const fakes::EngineSettings& aSettings)
  {
    auto host = std::make_unique<EngineHost>(aSettings, log_, client_);
    fakes::Engine& engine = host->engine_;
    host->server_ = Serve(host->port_, [&engine](const auto& aExchange) {
      engine.Handle(aExchange);
    });
    engines_.push_back(std::move(host));
  }

  static std::unique_ptr<transport::HttpServer> Serve(
    std::uint16_t aPort,
    transport::HttpHandler aHandler)
  {
    transport::HttpServerSettings settings;
    settings.port_ = aPort;
    auto server = std::make_unique<transport::HttpServer>(
      settings,
      std::move(aHandler),
      [](core::RefusalReason, const std::string&) {
        return protocol::HttpResponse::Text(400, "refused");
      });
    BOOST_REQUIRE(server->Start().Ok());
    return server;
  }

  state::ProcessSettings Settings(bool aControl) const
  {
    state::ProcessSettings settings;
    settings.cluster_ = "test";
    settings.host_ = core::HostId("host-1");
    settings.failureDomain_ = core::FailureDomainId("a");
    settings.member_ = core::MemberId(1);
    settings.dataFolder_ = folder_ + (aControl ? "/control" : "/entry");
    settings.http_ = tests::Loopback(entryPort_);
    settings.rpc_ = tests::Loopback(rpcPort_);
    settings.admin_ = tests::Loopback(adminPort_);
    settings.timers_.readyGrace_ = std::chrono::milliseconds(10);
    settings.members_.push_back({ core::MemberId(1),
                                  settings.rpc_,
                                  settings.admin_,
                                  settings.failureDomain_,
                                  true });
    return settings;
  }

  void Configure(const std::string& aPlan)
  {
    nlohmann::json edits = nlohmann::json::array();
    const auto add = [&](const char* aPath, const std::string& aToml) {
      edits.push_back({ { "path", aPath }, { "toml", aToml } });
    };
    const auto address = [](std::uint16_t aPort) {
      return "address = \"127.0.0.1:" + std::to_string(aPort) +
             "\"\nfailure_domain = \"a\"\n";
    };
    add("root", "callers = [\"*\"]\n");
    add("model.small", "memory = \"1GiB\"\nload_from_remote = \"50ms\"\n");
    for (const auto& engine : engines_) {
      const std::string path = "server." + engine->name_;
      add(path.c_str(),
          address(engine->port_) +
            "memory = \"8GiB\"\npool = \"gpu\"\nslots = 8\n");
    }
    add("server.service",
        address(servicePort_) + "kind = \"service\"\npool = \"book\"\n");
    add("deployment.plan", aPlan);
    add("deployment.deposits",
        "kind = \"service\"\npool = \"book\"\npath_prefix = \"/deposits\"\n"
        "non_idempotent = [\"POST /deposits\"]\n");
    protocol::HttpRequest request;
    request.method_ = "POST";
    request.path_ = "/admin/v1/config";
    request.body_ = nlohmann::json({ { "change_id", "first" },
                                     { "expected_revision", 0 },
                                     { "edits", edits } })
                      .dump();
    protocol::HttpResponse answer;
    const bool accepted = WaitUntil([&] {
      answer = Send(adminPort_, request);
      return answer.status_ == 200;
    });
    BOOST_REQUIRE_MESSAGE(accepted, answer.body_);
  }

  const std::string folder_;
  const std::uint16_t entryPort_ = tests::FreePort();
  const std::uint16_t rpcPort_ = tests::FreePort();
  const std::uint16_t adminPort_ = tests::FreePort();
  const std::uint16_t servicePort_ = tests::FreePort();
  fakes::EventLog log_;
  transport::HttpClient client_;
  std::vector<std::unique_ptr<EngineHost>> engines_;
  fakes::Service service_;
  std::unique_ptr<transport::HttpServer> serviceServer_;
  std::unique_ptr<control::ControlDaemon> control_;
  std::unique_ptr<entry::EntryDaemon> entry_;
};

inline std::string
Completion(bool aStream, const std::string& aPrompt = "bake")
{
  return nlohmann::json({ { "model", "plan" },
                          { "prompt", aPrompt },
                          { "max_tokens", 5 },
                          { "stream", aStream } })
    .dump();
}

inline std::string
WithoutRequestIds(std::string aText)
{
  std::size_t at = 0;
  while ((at = aText.find("\"id\":\"", at)) != std::string::npos) {
    const std::size_t end = aText.find('"', at + 6);
    aText.erase(at, end - at);
  }
  return aText;
}

} // namespace crocusslip::tests
