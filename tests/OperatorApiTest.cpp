#define BOOST_TEST_MODULE OperatorApi
#include <boost/test/unit_test.hpp>

#include "control/GroupHost.hpp"
#include "core/Clock.hpp"
#include "platform/OperatorApi.hpp"
#include "support/LocalSystem.hpp"

#include <boost/asio/write.hpp>

#include <string>
#include <vector>

using namespace crocusslip;
using namespace std::chrono_literals;
using transport::Task;

namespace {

struct Fixture
{
  transport::asio::io_context loop_{ 1 };
  const core::SystemClock clock_;
  core::MetricsRegistry metrics_;
  control::GroupHost group_{ control::GroupHostSettings{}, clock_, {} };
  const std::string address_ = "127.0.0.1:" + std::to_string(tests::FreePort());
  platform::OperatorApi api_{ loop_, group_, address_, 1, metrics_ };

  Fixture() { BOOST_REQUIRE(api_.Start().Ok()); }

  static Task<void> Send(transport::Tcp::socket& aSocket, std::string aText)
  {
    boost::system::error_code error;
    co_await aSocket.async_write_some(transport::asio::buffer(aText),
                                      transport::Catch(error));
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AStopAnswersARequestThatIsBeingRead, Fixture)
{
  bool drained = false;
  bool answeredFirst = false;
  std::string answer;
  transport::Tcp::socket socket(loop_);
  transport::Spawn(loop_, [&]() -> Task<void> {
    boost::system::error_code error;
    co_await socket.async_connect(*transport::ParseEndpoint(address_),
                                  transport::Catch(error));
    co_await Send(socket,
                  "POST /config/replace HTTP/1.1\r\nHost: h\r\n"
                  "Content-Length: 2\r\n\r\n{");
    transport::asio::steady_timer timer(loop_);
    co_await transport::Sleep(timer, 100ms);
    transport::Spawn(loop_, [&]() -> Task<void> {
      co_await api_.Drain();
      drained = true;
    });
    co_await transport::Sleep(timer, 100ms);
    answeredFirst = !drained;
    co_await Send(socket, "}");
    answer.resize(1024);
    answer.resize(co_await socket.async_read_some(
      transport::asio::buffer(answer), transport::Catch(error)));
    socket.close(error);
  });
  const auto until = std::chrono::steady_clock::now() + 10s;
  while ((!drained || answer.empty()) &&
         std::chrono::steady_clock::now() < until) {
    loop_.run_for(10ms);
  }
  BOOST_TEST(answeredFirst);
  BOOST_TEST(answer.starts_with("HTTP/1.1 400"));
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  BOOST_TEST(drained);
}

BOOST_FIXTURE_TEST_CASE(ACallWithoutALeaderIsCounted, Fixture)
{
  std::optional<unsigned> status;
  transport::Spawn(loop_, [&]() -> Task<void> {
    transport::HttpRequest request{ transport::http::verb::get,
                                    "/config/read",
                                    11 };
    const auto answer =
      co_await transport::CallOnce(loop_, address_, request, 5s);
    status = answer.Ok() ? answer.Value().status_ : 0;
  });
  const auto until = std::chrono::steady_clock::now() + 10s;
  while (!status && std::chrono::steady_clock::now() < until) {
    loop_.run_for(10ms);
  }
  BOOST_TEST(status.value_or(0) == 503U);
  BOOST_TEST(
    metrics_.Text().find("crocusslip_operator_calls_unavailable_total 1") !=
    std::string::npos);
}

// Guards against a control process that ends because each body is bounded and
// their sum is not.
BOOST_FIXTURE_TEST_CASE(ACrowdOfLargeBodiesIsBoundedAsAWhole, Fixture)
{
  constexpr int kClients = 8;
  constexpr std::uint64_t kBound = 64 * core::kMebi;
  const std::string text =
    "POST /config/replace HTTP/1.1\r\nHost: h\r\nContent-Length: 12582912\r\n"
    "\r\n" +
    std::string(12 * core::kMebi - 1, ' ');
  const std::uint64_t before = tests::ProcessMemory("self", "VmHWM:");
  std::vector<transport::Tcp::socket> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(loop_);
  }
  for (transport::Tcp::socket& client : clients) {
    transport::Spawn(loop_, [&]() -> Task<void> {
      boost::system::error_code error;
      co_await client.async_connect(*transport::ParseEndpoint(address_),
                                    transport::Catch(error));
      co_await transport::asio::async_write(
        client, transport::asio::buffer(text), transport::Catch(error));
    });
  }
  loop_.run_for(3s);
  bool done = false;
  unsigned status = 0;
  transport::Spawn(loop_, [&]() -> Task<void> {
    transport::HttpRequest request{ transport::http::verb::get,
                                    "/metrics",
                                    11 };
    const auto answer =
      co_await transport::CallOnce(loop_, address_, request, 5s);
    status = answer.Ok() ? answer.Value().status_ : 0;
    done = true;
  });
  const auto until = std::chrono::steady_clock::now() + 10s;
  while (!done && std::chrono::steady_clock::now() < until) {
    loop_.run_for(10ms);
  }
  BOOST_TEST(status == 200U);
  BOOST_TEST(tests::ProcessMemory("self", "VmHWM:") - before < kBound);
}
