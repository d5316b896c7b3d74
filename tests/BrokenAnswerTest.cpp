#define BOOST_TEST_MODULE BrokenAnswerTest
#include <boost/test/unit_test.hpp>

#include "tests/support/BrokenHeads.hpp"
#include "tests/support/EntryProcess.hpp"

// Guards against bytes that break the grammar of HTTP/1.1 and are passed on to
// callers as answers.

namespace {

using namespace crocusslip::tests;

constexpr EntryLimits kLimits{ 128, 400, kMebi };
/// Half the timeout of the routes.
constexpr std::chrono::seconds kNoticed{ 4 };
const std::string kSignature = "X-Server-Stamp: s1\r\n";
const std::string kSound = "X-Request-Id: abc\r\n" + kSignature;
const std::string kEvent = "id: 1\ndata: leaked\n\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kLastChunk = "0\r\n\r\n";
const std::vector<std::string> kRoutes{ "/once/", "/stream/" };

/// An answer with this head in each framing.
std::vector<std::string>
Framed(const std::string& aHead)
{
  return { aHead + "Content-Length: " + std::to_string(kEvent.size()) +
             "\r\n\r\n" + kEvent,
           aHead + kChunked + Chunk(kEvent) + kLastChunk,
           aHead + "\r\n" + kEvent };
}

/// The entry process before a server that sends raw bytes.
struct RawServer
{
  RawServer()
  {
    process_.StartServer([this](crocusslip::transport::CallerLink& aLink,
                                const HttpRequest&) -> Task<void> {
      ++arrivals_;
      co_await aLink.WriteRaw(bytes_);
      if (!staysOpen_) {
        co_await aLink.Finish();
      }
    });
    BOOST_REQUIRE(IsServed());
  }

  bool IsServed()
  {
    bytes_ = Framed("HTTP/1.1 200 OK\r\n" + kSound).front();
    return process_.Serves("/once/sound");
  }
  /// What the caller gets when the server sends these bytes. Each request
  /// differs, so that none is held back for the servers that it broke.
  std::string AnswerTo(const std::string& aBytes, const std::string& aRoute)
  {
    bytes_ = aBytes;
    return process_.BytesOfAnswer(aRoute + std::to_string(++requests_));
  }

  EntryProcess process_{ kLimits };
  std::string bytes_;
  bool staysOpen_ = false;
  int arrivals_ = 0;
  int requests_ = 0;
};

/// One for all cases; each would need ports of its own.
RawServer&
Server()
{
  static RawServer server;
  server.staysOpen_ = false;
  return server;
}

bool
IsBadGateway(const std::string& aAnswer)
{
  return aAnswer.starts_with("HTTP/1.1 502 ") &&
         aAnswer.find("leaked") == std::string::npos &&
         aAnswer.find("X-Bro") == std::string::npos &&
         aAnswer.find(kSignature) == std::string::npos;
}

/// Answers of servers that are broken in each way and each framing.
struct RawAnswer
{
  std::string name_;
  std::string bytes_;
};

std::vector<RawAnswer>
BrokenAnswers()
{
  std::vector<RawAnswer> answers;
  for (const BrokenHead& broken : BrokenHeads()) {
    for (const std::string& bytes : Framed(Head(broken, kSound))) {
      answers.push_back({ broken.name_, bytes });
    }
  }
  return answers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AServerThatSendsABrokenHead)

BOOST_AUTO_TEST_CASE(DoesNotReachTheCaller)
{
  RawServer& server = Server();
  for (const std::string& route : kRoutes) {
    for (const RawAnswer& broken : BrokenAnswers()) {
      const int before = server.arrivals_;
      const std::string answer = server.AnswerTo(broken.bytes_, route);
      BOOST_TEST(IsBadGateway(answer), broken.name_ << " gave " << answer);
      // It may have run, and must not run again.
      BOOST_TEST(server.arrivals_ == before + 1, broken.name_);
      BOOST_TEST(server.IsServed(), broken.name_);
    }
  }
}

// Guards against a wait for the rest of what is no answer.
BOOST_AUTO_TEST_CASE(IsNoticedBeforeItsHeadEnds)
{
  RawServer& server = Server();
  server.staysOpen_ = true;
  for (BrokenHead broken : BrokenHeads()) {
    if (IsFolded(broken)) {
      // Known only with the line behind it.
      broken.line_ += "\r\nX-B: 1";
    }
    const auto begin = std::chrono::steady_clock::now();
    const std::string answer = server.AnswerTo(Head(broken, kSound), "/once/");
    const auto took = std::chrono::steady_clock::now() - begin;
    BOOST_TEST(IsBadGateway(answer), broken.name_ << " gave " << answer);
    BOOST_TEST((took < kNoticed), broken.name_);
    BOOST_TEST(server.IsServed(), broken.name_);
  }
}

// An answer that can't be read says nothing, not even that nothing was run.
BOOST_AUTO_TEST_CASE(DoesNotPromiseThatNothingWasRun)
{
  RawServer& server = Server();
  for (const BrokenHead& broken : BrokenHeads()) {
    const std::string head = Head(broken, kSound + "X-Not-Executed: 1\r\n");
    const int before = server.arrivals_;
    const std::string answer = server.AnswerTo(Framed(head).front(), "/once/");
    BOOST_TEST(IsBadGateway(answer), broken.name_ << " gave " << answer);
    BOOST_TEST(server.arrivals_ == before + 1, broken.name_);
    BOOST_TEST(server.IsServed(), broken.name_);
  }
}

BOOST_AUTO_TEST_CASE(IsNotReadOnBehindAnInterimAnswer)
{
  RawServer& server = Server();
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n" + kField + "\r\n";
  const std::string answer = Framed("HTTP/1.1 200 OK\r\n" + kSound)[1];
  // A sound interim answer changes nothing.
  BOOST_TEST(
    server.AnswerTo(interim + answer, "/once/").starts_with("HTTP/1.1 200 "));
  for (const BrokenHead& broken : BrokenHeads()) {
    const std::string behind = interim + Framed(Head(broken, kSound)).front();
    BOOST_TEST(IsBadGateway(server.AnswerTo(behind, "/once/")), broken.name_);
    BOOST_TEST(server.IsServed(), broken.name_);
  }
  for (BrokenHead broken : BrokenFieldNames()) {
    broken.status_ = "103";
    const std::string before = Head(broken, kField) + "\r\n" + answer;
    BOOST_TEST(IsBadGateway(server.AnswerTo(before, "/once/")), broken.name_);
    BOOST_TEST(server.IsServed(), broken.name_);
  }
}

BOOST_AUTO_TEST_CASE(IsNotReadOnBehindATransferCodingThatIsNotKnown)
{
  RawServer& server = Server();
  for (const std::string begin : {
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: x chunked\r\n",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: \r\n",
         "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
       }) {
    for (const std::string& route : kRoutes) {
      std::string bytes = begin;
      bytes.append(kSound).append("\r\n").append(Chunk(kEvent));
      const std::string answer = server.AnswerTo(bytes + kLastChunk, route);
      BOOST_TEST(IsBadGateway(answer), begin << " gave " << answer);
      BOOST_TEST(server.IsServed(), begin);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AServerThatSendsABrokenTrailer)

BOOST_AUTO_TEST_CASE(DoesNotEndAnAnswer)
{
  RawServer& server = Server();
  const std::string begin = "HTTP/1.1 200 OK\r\n" + kSound + kChunked +
                            Chunk(kEvent) + "0\r\n" + kField;
  for (const std::string& route : kRoutes) {
    const std::string sound = server.AnswerTo(begin + "\r\n", route);
    BOOST_TEST(sound.find(kEvent) != std::string::npos);
    for (const BrokenHead& broken : BrokenFieldNames()) {
      const std::string answer =
        server.AnswerTo(begin + broken.line_ + "\r\n\r\n", route);
      BOOST_TEST(answer.find("X-Bro") == std::string::npos, broken.name_);
      if (IsFolded(broken)) {
        // The rest of the field before it; trailers are not passed on.
        BOOST_TEST(answer.find(kEvent) != std::string::npos, broken.name_);
      } else if (answer.find(kEvent) == std::string::npos) {
        BOOST_TEST(IsBadGateway(answer), broken.name_ << " gave " << answer);
      } else {
        // A stream whose events were passed on is broken off.
        BOOST_TEST(answer.find(kChunked) != std::string::npos, broken.name_);
        BOOST_TEST(!answer.ends_with(kLastChunk), broken.name_);
      }
      BOOST_TEST(server.IsServed(), broken.name_);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()
