#pragma once

#include "tests/support/ChildProcess.hpp"
#include "tests/support/LocalSystem.hpp"
#include "transport/HttpLink.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <string>

/// The programs of the deploy file, one process each, between a caller and a
/// stand-in of the servers and of their list that answers with raw bytes.
namespace crocusslip::tests {

using namespace std::chrono_literals;
using transport::HttpRequest;
using transport::Task;

constexpr std::chrono::seconds kCallTimeout{ 2 };
constexpr std::chrono::milliseconds kAskInterval{ 50 };

inline std::string
WithLength(const std::string& aHead, const std::string& aBody)
{
  return aHead + "Content-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

inline std::string
Success(const std::string& aBody)
{
  return WithLength("HTTP/1.1 200 OK\r\n", aBody);
}

class DeployedSystem
{
public:
  DeployedSystem()
    : listener_(loop_, server_, [this](transport::Tcp::socket aSocket) {
      auto link = std::make_shared<transport::CallerLink>(
        std::move(aSocket), transport::LinkLimits{});
      transport::Spawn(loop_, [this, link] { return Serve(link); });
    })
  {
    BOOST_REQUIRE(listener_.Start().Ok());
    control_ =
      Start(CONTROL_PROGRAM, R"("Control":")" + controlAddress_ + R"(")");
    entry_ = Start(ENTRY_PROGRAM,
                   R"("Front":")" + front_ + R"(","Ready":"127.0.0.1:)" +
                     std::to_string(FreePort()) + R"(")");
  }
  ~DeployedSystem()
  {
    entry_.reset();
    control_.reset();
    std::filesystem::remove_all(folder_);
  }
  DeployedSystem(const DeployedSystem&) = delete;
  DeployedSystem& operator=(const DeployedSystem&) = delete;

  /// An answer with the list of the stand-in's only server.
  std::string List() const { return Success(ListBody()); }
  std::string ListBody() const
  {
    return R"({"Instances":[{"Id":"s1","Service":"llm","Zone":"z1","Slots":8,)"
           R"("State":"ready","Address":")" +
           server_ + R"(","Models":[]}],"Next":null})";
  }
  static std::string ReportBody(int aSequence, const std::string& aModels = "")
  {
    return R"({"born":1000,"Busy":false,"Sequence":)" +
           std::to_string(aSequence) + R"(,"Models":[)" + aModels + "]}";
  }

  /// Publishes a configuration with one model on one engine.
  void Configure()
  {
    const std::string config =
      R"({"Version":1,"Routes":[{"Name":"a","Host":"h.example","Service":"llm",
          "PathPrefix":"/safe/","RouteKind":"safe","TimeoutMs":30000,
          "TargetLatencyMs":2000,"Priority":1,"MaxAttempts":2}],
          "Services":[{"Name":"llm","MaxConnections":9,"Engine":{"Slots":8,
          "KvCapacity":100000,"WeightsMb":83000.0,"AdapterSlots":8,
          "LoadsPerS":9.5,"Models":[{"Name":"m1","WeightsMb":16100.0,
          "LoadS":0.1,"AdapterMb":14.0,"WarmS":0.1,"DiskS":0.1}]}}],
          "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,
          "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
    BOOST_REQUIRE(Eventually(
      [&] { return Call(controlAddress_, "/config/replace", config) == 200; }));
  }

  /// Status of a call; 0 without an answer.
  unsigned Call(const std::string& aAddress,
                const std::string& aTarget,
                const std::string& aBody)
  {
    std::optional<unsigned> status;
    transport::Spawn(loop_, [&]() -> Task<void> {
      status = co_await Send(aAddress, aTarget, aBody);
    });
    while (!status) {
      loop_.run_for(10ms);
    }
    return *status;
  }
  /// Sends a request for the model again and again.
  void KeepAsking()
  {
    transport::Spawn(loop_, [this]() -> Task<void> {
      transport::asio::steady_timer timer(loop_);
      while (true) {
        co_await Send(front_, "/safe/a", "body");
        co_await transport::Sleep(timer, kAskInterval);
      }
    });
  }

  template<typename Condition>
  bool Eventually(const Condition& aCondition,
                  std::chrono::milliseconds aLimit = 15s)
  {
    const auto until = std::chrono::steady_clock::now() + aLimit;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > until) {
        return false;
      }
      loop_.run_for(20ms);
    }
    return true;
  }
  /// Waits until the stand-in was asked for this aMore more times.
  bool AwaitCalls(const std::string& aPath, int aMore)
  {
    const int wanted = calls_[aPath] + aMore;
    return Eventually([&] { return calls_[aPath] >= wanted; });
  }

  transport::asio::io_context loop_{ 1 };
  /// Raw answers of the stand-in, by path; all others get 404.
  std::map<std::string, std::string> answers_;
  std::map<std::string, int> calls_;

private:
  Task<unsigned> Send(std::string aAddress,
                      std::string aTarget,
                      std::string aBody)
  {
    HttpRequest request{ transport::http::verb::post, aTarget, 11 };
    request.set(transport::http::field::host, "h.example");
    request.set("X-Request-Id", "abc");
    request.set("X-Model", "m1");
    request.set("X-Token-Count", "10,10");
    request.body() = aBody;
    request.prepare_payload();
    const auto answer =
      co_await transport::CallOnce(loop_, aAddress, request, kCallTimeout);
    co_return answer.Ok() ? answer.Value().status_ : 0;
  }

  Task<void> Serve(std::shared_ptr<transport::CallerLink> aLink)
  {
    HttpRequest request;
    while (co_await aLink->Read(request, transport::LinkLimits{}) ==
           transport::ReadResult::Complete) {
      const std::string target(request.target());
      const std::string path = target.substr(0, target.find('?'));
      ++calls_[path];
      const auto found = answers_.find(path);
      std::string answer =
        "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
      if (found != answers_.end()) {
        answer = found->second;
      }
      co_await aLink->WriteRaw(answer);
      if (!request.keep_alive()) {
        co_await aLink->Finish();
      }
    }
  }

  std::unique_ptr<ChildProcess> Start(const char* aProgram,
                                      const std::string& aListen)
  {
    const std::string name =
      aProgram == std::string(ENTRY_PROGRAM) ? "e1" : "c1";
    const std::string file = folder_ + "/" + name + ".json";
    std::filesystem::create_directory(folder_ + "/data");
    std::ofstream(file)
      << R"({"NodeName":")" << name << R"(","Zone":"z1","Ip":"127.0.0.1",)"
      << R"("Listen":{)" << aListen << R"(},"InternalPortRange":[)" << internal_
      << "," << internal_ << R"(],"Seeds":[")" << controlAddress_
      << R"("],"Bootstrap":true,"DataDir":")" << folder_ << R"(/data",)"
      << R"("Limits":{"MemoryMb":256,"MaxFds":400},"CloudApi":{"Address":")"
      << server_ << R"("},"Bounds":{"GraceS":8,"LeaseMs":3000,)"
      << R"("RetryBudgetRatio":0.2,"BudgetWindowS":10,)"
      << R"("BudgetExtraRetries":58}})";
    return std::make_unique<ChildProcess>(std::vector<std::string>{
      aProgram, "--settings", file, "--log-level", "error" });
  }

  const std::string folder_ = NewFolder();
  const std::uint16_t internal_ = FreePort();
  const std::string front_ = "127.0.0.1:" + std::to_string(FreePort());
  const std::string controlAddress_ = "127.0.0.1:" + std::to_string(FreePort());
  const std::string server_ = "127.0.0.1:" + std::to_string(FreePort());
  transport::LinkListener listener_;
  std::unique_ptr<ChildProcess> control_;
  std::unique_ptr<ChildProcess> entry_;
};

} // namespace crocusslip::tests
