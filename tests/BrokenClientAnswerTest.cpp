#define BOOST_TEST_MODULE BrokenClientAnswer
#include <boost/test/unit_test.hpp>

#include "tests/support/BrokenHeads.hpp"
#include "transport/HttpClient.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

// Guards against bytes that break the grammar of HTTP/1.1 and are taken for
// answers by the client of crocusslip-entry and crocusslip-control.

namespace {

using namespace crocusslip;
using namespace crocusslip::tests;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

const std::string kBody = "hello";

/// Answers one request with these bytes and closes the connection.
class RawServer
{
public:
  explicit RawServer(std::string aBytes)
    : bytes_(std::move(aBytes))
    , acceptor_(loop_,
                tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    , thread_([this] { Run(); })
  {
  }
  ~RawServer() { thread_.join(); }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  std::uint16_t Port() const { return acceptor_.local_endpoint().port(); }

private:
  void Run()
  {
    boost::system::error_code error;
    tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    std::string request(1024, '\0');
    socket.read_some(boost::asio::buffer(request), error);
    boost::asio::write(socket, boost::asio::buffer(bytes_), error);
    socket.shutdown(tcp::socket::shutdown_send, error);
    socket.read_some(boost::asio::buffer(request), error);
  }

  const std::string bytes_;
  boost::asio::io_context loop_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

core::Result<protocol::HttpResponse>
AnswerOf(const std::string& aBytes)
{
  const RawServer server(aBytes);
  transport::HttpClient client;
  transport::HttpTarget target;
  target.base_ = "http://127.0.0.1:" + std::to_string(server.Port());
  target.timeout_ = 3s;
  target.freshConnection_ = true;
  protocol::HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/";
  return client.FetchAndWait(target, request);
}

std::vector<std::string>
Framed(const std::string& aHead)
{
  return { aHead + "Content-Length: 5\r\n\r\n" + kBody,
           aHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n" + kBody +
             "\r\n0\r\n\r\n",
           aHead + "\r\n" + kBody };
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheClientOfTheOlderPrograms)

BOOST_AUTO_TEST_CASE(TakesASoundAnswer)
{
  for (const std::string& answer : Framed("HTTP/1.1 200 OK\r\n" + kField)) {
    const auto got = AnswerOf(answer);
    BOOST_REQUIRE(got.Ok());
    BOOST_TEST(got.Value().status_ == 200);
    BOOST_TEST(got.Value().body_ == kBody);
  }
}

BOOST_AUTO_TEST_CASE(DoesNotTakeABrokenStatus)
{
  for (const BrokenHead& broken : BrokenStatuses()) {
    for (const std::string& answer : Framed(Head(broken, kField))) {
      BOOST_TEST(!AnswerOf(answer).Ok(), broken.name_);
    }
  }
}

BOOST_AUTO_TEST_CASE(DoesNotTakeABrokenNameOfAField)
{
  for (const BrokenHead& broken : BrokenFieldNames()) {
    for (const std::string& answer : Framed(Head(broken, kField))) {
      BOOST_TEST(!AnswerOf(answer).Ok(), broken.name_);
    }
  }
}

BOOST_AUTO_TEST_CASE(DoesNotTakeABrokenTrailer)
{
  for (const BrokenHead& broken : BrokenFieldNames()) {
    if (!IsFolded(broken)) {
      std::string answer =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n";
      answer.append(kBody).append("\r\n0\r\n").append(kField);
      answer.append(broken.line_).append("\r\n\r\n");
      BOOST_TEST(!AnswerOf(answer).Ok(), broken.name_);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
