#define BOOST_TEST_MODULE OperatorApi
#include <boost/test/unit_test.hpp>

#include "control/GroupHost.hpp"
#include "core/Clock.hpp"
#include "platform/OperatorApi.hpp"
#include "support/LocalSystem.hpp"

#include <string>

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
