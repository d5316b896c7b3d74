#define BOOST_TEST_MODULE HttpTransport
#include <boost/test/unit_test.hpp>

#include "protocol/Problem.hpp"
#include "support/LocalSystem.hpp"
#include "transport/HttpClient.hpp"
#include "transport/HttpServer.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <future>
#include <string>
#include <thread>

using namespace crocusslip;
using boost::asio::ip::tcp;

namespace {

protocol::HttpResponse
MakeRefusal(core::RefusalReason aReason, std::string aDetail)
{
  return protocol::ToResponse(
    { aReason, core::Ran::NotRun, std::move(aDetail), std::nullopt });
}

/// Few threads, so that blocking in one shows.
struct ThreadsFixture
{
  ThreadsFixture()
  {
    constexpr std::size_t kThreads = 4;
    transport::StartHttpThreads(kThreads);
  }
};

struct ServerFixture
{
  ServerFixture()
  {
    settings_.port_ = tests::FreePort();
    settings_.bodyLimit_ = 1000;
    settings_.bodyTimeout_ = std::chrono::milliseconds(200);
    base_ = "http://127.0.0.1:" + std::to_string(settings_.port_);
    server_ = std::make_unique<transport::HttpServer>(
      settings_,
      [this](const std::shared_ptr<transport::HttpExchange>& aExchange) {
        ++handled_;
        handler_(aExchange);
      },
      MakeRefusal);
    BOOST_REQUIRE(server_->Start().Ok());
  }

  // Sends raw bytes and reads until the server closes the connection.
  std::string SendRaw(const std::string& aBytes) const
  {
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(
      { boost::asio::ip::make_address("127.0.0.1"), settings_.port_ });
    boost::asio::write(socket, boost::asio::buffer(aBytes));
    std::string answer;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
  }

  transport::HttpServerSettings settings_;
  std::string base_;
  std::atomic<int> handled_{ 0 };
  transport::HttpHandler handler_ =
    [](const std::shared_ptr<transport::HttpExchange>& aExchange) {
      aExchange->Reply(
        protocol::HttpResponse::Text(200, aExchange->Request().body_));
    };
  std::unique_ptr<transport::HttpServer> server_;
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(ThreadsFixture);

BOOST_FIXTURE_TEST_SUITE(An_http_server, ServerFixture)

// Guards against bodies that are changed between client and handler.
BOOST_AUTO_TEST_CASE(hands_the_whole_body_to_its_handler)
{
  transport::HttpClient client;
  protocol::HttpRequest request;
  request.method_ = "POST";
  request.path_ = "/echo";
  request.body_ = std::string("a\0b", 3);
  const auto answer = client.FetchAndWait({ .base_ = base_ }, request);
  BOOST_REQUIRE(answer.Ok());
  BOOST_TEST(answer.Value().status_ == 200);
  BOOST_TEST(answer.Value().body_ == request.body_);
}

// Guards against a caller that sends its next request on a connection which
// the shutdown is about to close.
BOOST_AUTO_TEST_CASE(ends_each_connection_with_its_answer_before_a_shutdown)
{
  transport::HttpClient client;
  protocol::HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/";
  const auto before = client.FetchAndWait({ .base_ = base_ }, request);
  BOOST_REQUIRE(before.Ok());
  BOOST_TEST(before.Value().headers_.Find("Connection").value_or("") !=
             "close");
  server_->CloseConnections();
  const auto after = client.FetchAndWait({ .base_ = base_ }, request);
  BOOST_REQUIRE(after.Ok());
  BOOST_REQUIRE(after.Value().headers_.Find("Connection").value_or("") ==
                "close");
  // Returns only when the server has closed the connection.
  const std::string answer = SendRaw("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE(given_a_bad_request)

// Guards against memory taken by oversize bodies.
BOOST_AUTO_TEST_CASE(refuses_a_declared_body_over_the_limit)
{
  const std::string answer =
    SendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\nabc");
  BOOST_TEST(answer.find(" 413 ") != std::string::npos);
  BOOST_TEST(answer.find("body_too_large") != std::string::npos);
  BOOST_TEST(handled_ == 0);
}

// Guards against connections held open by a body that never comes.
BOOST_AUTO_TEST_CASE(answers_a_body_that_does_not_arrive)
{
  const std::string answer =
    SendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc");
  BOOST_TEST(answer.find(" 408 ") != std::string::npos);
  BOOST_TEST(handled_ == 0);
}

// Guards against a chunked body with a bad size being taken as whole.
BOOST_AUTO_TEST_CASE(refuses_a_chunked_body_with_a_bad_chunk_size)
{
  const std::string answer = SendRaw("POST / HTTP/1.1\r\nHost: a\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n"
                                     "zz\r\nabc\r\n");
  BOOST_TEST(answer.find(" 411 ") != std::string::npos);
  BOOST_TEST(handled_ == 0);
}

// Guards against a negative length that the library waits on without end.
BOOST_AUTO_TEST_CASE(refuses_a_negative_content_length)
{
  const std::string answer =
    SendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n");
  BOOST_TEST(answer.find(" 400 ") != std::string::npos);
  BOOST_TEST(handled_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE(streaming_an_answer)

class PieceSink final : public transport::HttpSink
{
public:
  void OnHead(const protocol::HttpResponse&) override {}
  void OnData(std::string_view aBytes) override
  {
    text_ += aBytes;
    if (text_ == "one") {
      first_.set_value();
    }
  }
  void OnEnd() override { end_.set_value(true); }
  void OnFailure(const transport::CallFailure&) override
  {
    end_.set_value(false);
  }

  std::string text_;
  std::promise<void> first_;
  std::promise<bool> end_;
};

// Guards against a relay that holds back pieces until the answer is whole.
BOOST_AUTO_TEST_CASE(delivers_each_piece_before_the_next_is_written)
{
  std::promise<std::shared_ptr<transport::BodyWriter>> writer;
  handler_ = [&](const std::shared_ptr<transport::HttpExchange>& aExchange) {
    writer.set_value(aExchange->ReplyStream({}));
  };
  transport::HttpClient client;
  auto sink = std::make_shared<PieceSink>();
  protocol::HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/";
  const auto call = client.Start({ .base_ = base_ }, request, sink);
  const auto body = writer.get_future().get();
  body->Write("one");
  sink->first_.get_future().wait();
  body->Write("two");
  body->Finish();
  BOOST_TEST(sink->end_.get_future().get());
  BOOST_TEST(sink->text_ == "onetwo");
}

// Guards against a write that waits for the thread pool it runs on: with more
// streams than threads, each written from a handler, all would stop.
BOOST_AUTO_TEST_CASE(writes_more_streams_than_there_are_threads)
{
  constexpr int kStreams = 200;
  constexpr int kPieces = 20;
  handler_ = [&](const std::shared_ptr<transport::HttpExchange>& aExchange) {
    const auto body = aExchange->ReplyStream({});
    for (int piece = 0; piece < kPieces; ++piece) {
      body->Write("one");
    }
    body->Finish();
  };
  transport::HttpClient client;
  std::vector<std::shared_ptr<PieceSink>> sinks;
  protocol::HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/";
  for (int i = 0; i < kStreams; ++i) {
    sinks.push_back(std::make_shared<PieceSink>());
    client.Start({ .base_ = base_ }, request, sinks.back());
  }
  for (const auto& sink : sinks) {
    BOOST_TEST(sink->end_.get_future().get());
    BOOST_TEST(sink->text_.size() == 3U * kPieces);
  }
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(An_http_client)

// Accepts connections, answers the first request of each and closes a later
// one without an answer. Counts the requests that it read.
struct ClosingServer
{
  ClosingServer()
    : acceptor_(context_, { boost::asio::ip::make_address("127.0.0.1"), 0 })
    , thread_([this] { Serve(); })
  {
  }
  ~ClosingServer()
  {
    stopping_ = true;
    tcp::socket wake(context_);
    boost::system::error_code ignored;
    wake.connect(acceptor_.local_endpoint(), ignored);
    wake.close(ignored);
    thread_.join();
  }

  void Serve()
  {
    while (!stopping_) {
      tcp::socket socket(context_);
      acceptor_.accept(socket);
      std::string text;
      boost::system::error_code error;
      boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", error);
      if (!error) {
        ++requests_;
        if (answerFirst_) {
          boost::asio::write(socket,
                             boost::asio::buffer(std::string(
                               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
                             error);
          text.clear();
          boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", error);
          requests_ += error ? 0 : 1;
          answerFirst_ = false;
        }
      }
    }
  }

  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_{ false };
  std::atomic<bool> answerFirst_{ false };
  std::atomic<int> requests_{ 0 };
  std::thread thread_;
};

protocol::HttpRequest
Deposit()
{
  protocol::HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/deposit";
  return request;
}

// Guards against a second run of a non-idempotent request: the library sends
// a request again when the connection closes under it.
BOOST_AUTO_TEST_CASE(never_sends_twice_on_a_connection_of_its_own)
{
  ClosingServer server;
  transport::HttpClient client;
  const transport::HttpTarget target{
    .base_ = "http://127.0.0.1:" +
             std::to_string(server.acceptor_.local_endpoint().port()),
    .freshConnection_ = true
  };
  const auto answer = client.FetchAndWait(target, Deposit());
  BOOST_TEST(!answer.Ok());
  BOOST_TEST(server.requests_ == 1);
}

// Guards against a false "not_run": only a connection that could not be opened
// proves that nothing was sent.
BOOST_AUTO_TEST_CASE(reports_a_refused_connection_as_not_sent)
{
  transport::HttpClient client;
  std::promise<transport::Delivery> delivery;
  const auto call = client.Fetch(
    { .base_ = "http://127.0.0.1:" + std::to_string(tests::FreePort()) },
    Deposit(),
    100,
    [&](const core::Result<protocol::HttpResponse>& aAnswer,
        transport::Delivery aDelivery) {
      BOOST_TEST(!aAnswer.Ok());
      delivery.set_value(aDelivery);
    });
  BOOST_TEST((delivery.get_future().get() == transport::Delivery::NotSent));
}

// Guards against a false "not_run" after a pooled connection was closed under a
// request and the next one was refused.
BOOST_AUTO_TEST_CASE(reports_a_request_on_a_pooled_connection_as_maybe_sent)
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  transport::HttpTarget target;
  target.base_ =
    "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::thread server([&] {
    tcp::socket socket(context);
    acceptor.accept(socket);
    acceptor.close();
    std::string text;
    boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(text), "\r\n\r\n");
    boost::asio::write(socket,
                       boost::asio::buffer(std::string(
                         "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    text.clear();
    boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(text), "\r\n\r\n");
  });
  transport::HttpClient client;
  BOOST_TEST(client.FetchAndWait(target, Deposit()).Ok());
  std::promise<transport::Delivery> delivery;
  client.Fetch(target,
               Deposit(),
               100,
               [&](const core::Result<protocol::HttpResponse>& aAnswer,
                   transport::Delivery aDelivery) {
                 BOOST_TEST(!aAnswer.Ok());
                 delivery.set_value(aDelivery);
               });
  BOOST_TEST((delivery.get_future().get() == transport::Delivery::MaybeSent));
  server.join();
}

// Guards against a cut answer being taken as whole.
BOOST_AUTO_TEST_CASE(reports_an_answer_cut_short)
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::make_address("127.0.0.1"), 0 });
  std::thread server([&] {
    tcp::socket socket(context);
    acceptor.accept(socket);
    std::string text;
    boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(text), "\r\n\r\n");
    boost::asio::write(
      socket,
      boost::asio::buffer(std::string(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n")));
  });
  transport::HttpClient client;
  const auto answer = client.FetchAndWait(
    { .base_ =
        "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
      .freshConnection_ = true },
    Deposit());
  server.join();
  BOOST_TEST(!answer.Ok());
}

BOOST_AUTO_TEST_SUITE_END()
