#pragma once

#include "tests/support/ChildProcess.hpp"
#include "tests/support/GatewayFixture.hpp"

#include <array>
#include <filesystem>
#include <fstream>
#include <string>

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
    process_ = std::make_unique<ChildProcess>(std::vector<std::string>{
      ENTRY_PROGRAM, "--settings", file, "--log-level", "error" });
  }
  ~EntryProcess()
  {
    process_.reset();
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
  /// All bytes of the answer to one request.
  std::string BytesOfAnswer(const std::string& aTarget)
  {
    bool done = false;
    std::string bytes;
    transport::Spawn(loop_, [&]() -> Task<void> {
      boost::system::error_code error;
      transport::Tcp::socket socket(loop_);
      co_await socket.async_connect(*transport::ParseEndpoint(front_),
                                    transport::Catch(error));
      const std::string request =
        "POST " + aTarget +
        " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: abc\r\n"
        "Connection: close\r\nContent-Length: 4\r\n\r\nbody";
      co_await socket.async_write_some(transport::asio::buffer(request),
                                       transport::Catch(error));
      std::array<char, 1024> part{};
      while (!error) {
        const std::size_t got = co_await socket.async_read_some(
          transport::asio::buffer(part), transport::Catch(error));
        bytes.append(part.data(), got);
      }
      done = true;
    });
    while (!done) {
      loop_.run_for(10ms);
    }
    return bytes;
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

  bool Lives() const { return process_->Lives(); }
  void Terminate() const { process_->Terminate(); }
  std::uint64_t Memory(const std::string& aName) const
  {
    return ProcessMemory(std::to_string(process_->Id()), aName);
  }
  std::size_t Descriptors() const
  {
    std::error_code ignored;
    const std::filesystem::directory_iterator all(
      "/proc/" + std::to_string(process_->Id()) + "/fd", ignored);
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
           R"("b","PathPrefix":"/stream/","RouteKind":"streaming"},{)" +
           common +
           R"("c","PathPrefix":"/safe/","RouteKind":"safe","MaxAttempts":2}]})";
  }
  const std::string ready_ = "127.0.0.1:" + std::to_string(FreePort());
  const std::string folder_ = NewFolder();
  std::shared_ptr<FakeFleet> fleet_ = std::make_shared<FakeFleet>();
  std::unique_ptr<transport::RpcServer> rpc_;
  std::unique_ptr<transport::LinkListener> server_;
  std::unique_ptr<ChildProcess> process_;
};

} // namespace crocusslip::tests
