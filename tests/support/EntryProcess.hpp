#pragma once

#include "tests/support/GatewayFixture.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>

/// crocusslip-platform-entry as a child process between a crowd of callers and
/// fake servers, for tests of what one process holds.
namespace crocusslip::tests {

constexpr std::uint64_t kMebi = 1024UL * 1024;

struct EntryLimits
{
  std::uint32_t memoryMb_ = 0;
  std::uint32_t maxDescriptors_ = 0;
  std::uint64_t bodyBytes_ = kMebi;
};

class EntryProcess
{
public:
  explicit EntryProcess(const EntryLimits& aLimits)
  {
    transport::RpcServerSettings rpc;
    rpc.port_ = FreePort();
    rpc_ = std::make_unique<transport::RpcServer>(
      rpc, std::make_shared<wire::FleetProcessor>(fleet_));
    BOOST_REQUIRE(rpc_->Start().Ok());
    fleet_->SetRoutes(1, Routes(aLimits));
    const std::string file = folder_ + "/settings.json";
    const std::string internal = std::to_string(rpc.port_);
    std::ofstream(file)
      << R"({"NodeName":"e1","Zone":"z1","Ip":"127.0.0.1","Listen":{"Front":")"
      << front_ << R"(","Ready":")" << ready_ << R"("},"InternalPortRange":[)"
      << internal << "," << internal << R"(],"Seeds":["127.0.0.1:)" << internal
      << R"("],"Limits":{"MemoryMb":)" << aLimits.memoryMb_ << R"(,"MaxFds":)"
      << aLimits.maxDescriptors_ << "}}";
    Spawn({ ENTRY_PROGRAM, "--settings", file, "--log-level", "error" });
  }
  ~EntryProcess()
  {
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    rpc_->Stop();
    std::filesystem::remove_all(folder_);
  }
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  /// Starts a server of the only service.
  void StartServer(const RequestHandler& aHandler,
                   std::int32_t aSlots = kServerSlots)
  {
    const std::uint16_t port = FreePort();
    server_ = std::make_unique<transport::LinkListener>(
      loop_,
      "127.0.0.1:" + std::to_string(port),
      [this, aHandler](transport::Tcp::socket aSocket) {
        auto link = std::make_shared<transport::CallerLink>(
          std::move(aSocket), transport::LinkLimits{});
        transport::Spawn(loop_, [link, aHandler]() -> Task<void> {
          HttpRequest request;
          while (co_await link->Read(request, transport::LinkLimits{}) ==
                 transport::ReadResult::Complete) {
            co_await aHandler(*link, request);
          }
        });
      });
    BOOST_REQUIRE(server_->Start().Ok());
    fleet_->AddServer("s1", port, "desk", aSlots);
  }

  /// Status of one request; 0 without an answer.
  unsigned Call(const std::string& aTarget, std::size_t aBodyBytes = 8)
  {
    bool done = false;
    unsigned status = 0;
    transport::Spawn(loop_, [&]() -> Task<void> {
      HttpRequest request{ http::verb::post, aTarget, 11 };
      request.set(http::field::host, "h.example");
      request.set("X-Request-Id", "abc");
      request.body() = std::string(aBodyBytes, 'b');
      request.prepare_payload();
      auto answer = co_await transport::CallOnce(loop_, front_, request, 5s);
      status = answer.Ok() ? answer.Value().status_ : 0;
      done = true;
    });
    while (!done) {
      loop_.run_for(10ms);
    }
    return status;
  }
  /// Whether a request is served after at most ten seconds; refusals are
  /// allowed before.
  bool Serves(const std::string& aTarget, std::size_t aBodyBytes = 8)
  {
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    while (std::chrono::steady_clock::now() < until) {
      if (Call(aTarget, aBodyBytes) == 200) {
        return true;
      }
      loop_.run_for(100ms);
    }
    return false;
  }

  bool Lives() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  void Terminate() const { ::kill(pid_, SIGTERM); }
  std::uint64_t Memory(const std::string& aName) const
  {
    return ProcessMemory(std::to_string(pid_), aName);
  }
  std::size_t Descriptors() const
  {
    std::error_code ignored;
    const std::filesystem::directory_iterator all(
      "/proc/" + std::to_string(pid_) + "/fd", ignored);
    return static_cast<std::size_t>(std::distance(begin(all), end(all)));
  }
  /// The process's own metrics; 0 when there is none with this name.
  double Metric(const std::string& aLine)
  {
    bool done = false;
    std::string text;
    transport::Spawn(loop_, [&]() -> Task<void> {
      HttpRequest request{ http::verb::get, "/metrics", 11 };
      request.set(http::field::host, "h.example");
      auto answer = co_await transport::CallOnce(loop_, ready_, request, 5s);
      text = answer.Ok() ? answer.Value().body_ : "";
      done = true;
    });
    while (!done) {
      loop_.run_for(10ms);
    }
    const auto at = text.find("\n" + aLine + " ");
    return at == std::string::npos
             ? 0
             : std::stod(text.substr(at + aLine.size() + 2));
  }

  transport::asio::io_context loop_{ 1 };
  const std::string front_ = "127.0.0.1:" + std::to_string(FreePort());

private:
  static std::string Routes(const EntryLimits& aLimits)
  {
    const std::string common =
      R"("Host":"h.example","Service":"desk","TimeoutMs":8000,"Name":)";
    return R"({"Version":1,"Services":[{"Name":"desk"}],"Limits":{"MaxBodyBytes":)" +
           std::to_string(aLimits.bodyBytes_) + R"(},"Routes":[{)" + common +
           R"("a","PathPrefix":"/once/","RouteKind":"unsafe"},{)" + common +
           R"("b","PathPrefix":"/stream/","RouteKind":"streaming"}]})";
  }
  void Spawn(std::vector<std::string> aArguments)
  {
    std::vector<char*> arguments;
    for (std::string& argument : aArguments) {
      arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    const int failed = ::posix_spawn(
      &pid_, arguments.front(), nullptr, nullptr, arguments.data(), environ);
    BOOST_REQUIRE_EQUAL(failed, 0);
  }

  const std::string ready_ = "127.0.0.1:" + std::to_string(FreePort());
  const std::string folder_ = NewFolder();
  std::shared_ptr<FakeFleet> fleet_ = std::make_shared<FakeFleet>();
  std::unique_ptr<transport::RpcServer> rpc_;
  std::unique_ptr<transport::LinkListener> server_;
  pid_t pid_ = 0;
};

} // namespace crocusslip::tests
