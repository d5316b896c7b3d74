#define BOOST_TEST_MODULE ClientCrowdTest
#include <boost/test/unit_test.hpp>

#include "tests/support/EntryProcess.hpp"

#include <boost/asio/write.hpp>

// Guards against crowds of clients that end an entry process by the memory or
// the descriptors that it holds for them. What is checked does not depend on
// the machine's speed.

namespace {

using namespace crocusslip::tests;
using crocusslip::transport::Catch;
using crocusslip::transport::Tcp;

constexpr EntryLimits kLimits{ 48, 400, kMebi };
constexpr int kCrowd = 80;
/// Longest time for which one client keeps sending.
constexpr std::chrono::seconds kSendTime{ 8 };
/// Most time for the process to take what was sent, and the time without growth
/// after which it has done so.
constexpr std::chrono::seconds kSettleTime{ 15 };
constexpr std::chrono::milliseconds kQuietTime{ 1500 };
constexpr std::size_t kPiece = 16UL * 1024;
/// More connections than the process has descriptors.
constexpr int kManyConnections = 500;
constexpr std::size_t kLargeAnswer = kMebi;
constexpr std::size_t kEventBytes = 8UL * 1024;
constexpr int kPipelined = 500;
constexpr std::size_t kLargeChunk = 64UL * 1024;
constexpr int kCountedClients = 12;
/// What the process takes beyond what it counts.
constexpr double kOverhead = 1.05;
constexpr double kFixedOverhead = 2.0 * kMebi;
constexpr int kRounds = 5;
constexpr std::size_t kTinyFieldBytes = 15UL * 1024;
/// Receive buffer of the crowd, so that what it does not take stays with the
/// process.
constexpr int kClientBuffer = 8 * 1024;
/// Default of the settings.
constexpr std::chrono::seconds kGrace{ 8 };

std::string
Head(const std::string& aFraming)
{
  return "POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: a\r\n" +
         aFraming + "\r\n\r\n";
}

std::string
Announced(std::size_t aBytes)
{
  return Head("Content-Length: " + std::to_string(aBytes));
}

/// A body in chunks without its last chunk.
std::string
InChunks(std::size_t aBytes, std::size_t aChunk)
{
  const std::string chunk = Chunk(std::string(aChunk, 'c'));
  std::string text = Head("Transfer-Encoding: chunked");
  text.reserve(text.size() + aBytes / aChunk * chunk.size());
  for (std::size_t sent = 0; sent < aBytes; sent += aChunk) {
    text += chunk;
  }
  return text;
}

std::string
SmallRequest(const std::string& aTarget)
{
  return "POST " + aTarget +
         " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: abc\r\n"
         "Content-Length: 4\r\n\r\nbody";
}

/// An unfinished head below the limit of a head.
std::string
TinyFields()
{
  std::string head = "POST /once/x HTTP/1.1\r\nHost: h.example\r\n";
  while (head.size() < kTinyFieldBytes) {
    head += "a:\r\n";
  }
  return head;
}

const std::string kAnswerHead =
  "200 OK\r\nX-Request-Id: abc\r\nX-Server-Stamp: s";

RequestHandler
Answers(std::size_t aBytes)
{
  return GatewayFixture::Respond(kAnswerHead, std::string(aBytes, 'a'));
}

RequestHandler
Streams(std::size_t aBytes)
{
  return [aBytes](crocusslip::transport::CallerLink& aLink,
                  const HttpRequest&) -> Task<void> {
    bool taken = co_await aLink.WriteRaw(
      "HTTP/1.1 " + kAnswerHead + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string event =
      Chunk("data: " + std::string(kEventBytes, 'e') + "\n\n");
    for (std::size_t sent = 0; sent < aBytes && taken; sent += event.size()) {
      taken = co_await aLink.WriteRaw(event);
    }
    co_await aLink.WriteRaw("0\r\n\r\n");
  };
}

struct Crowd
{
  explicit Crowd(const RequestHandler& aServer = Answers(4),
                 const EntryLimits& aLimits = kLimits)
    : limits_(aLimits)
    , process_(aLimits)
  {
    process_.StartServer(aServer, 4 * kCrowd);
    BOOST_REQUIRE(process_.Serves("/once/x"));
  }

  /// Connects aCount clients; each sends the text and stays open.
  void Send(const std::string& aText,
            int aCount = kCrowd,
            std::size_t aPiece = kMebi * 64,
            std::chrono::milliseconds aPause = 0ms)
  {
    int sending = aCount;
    for (int i = 0; i < aCount; ++i) {
      crocusslip::transport::Spawn(
        process_.loop_, [this, &aText, &sending, aPiece, aPause] {
          return SendOne(aText, aPiece, aPause, sending);
        });
    }
    const auto until = std::chrono::steady_clock::now() + kSendTime;
    while (sending > 0 && std::chrono::steady_clock::now() < until) {
      process_.loop_.run_for(10ms);
    }
    for (const auto& client : clients_) {
      boost::system::error_code ignored;
      client->cancel(ignored);
    }
    while (sending > 0) {
      process_.loop_.run_for(10ms);
    }
  }

  Task<void> SendOne(const std::string& aText,
                     std::size_t aPiece,
                     std::chrono::milliseconds aPause,
                     int& aSending)
  {
    auto client = std::make_shared<Tcp::socket>(process_.loop_);
    clients_.push_back(client);
    boost::system::error_code error;
    client->open(Tcp::v4(), error);
    client->set_option(
      crocusslip::transport::asio::socket_base::receive_buffer_size(
        kClientBuffer),
      error);
    co_await client->async_connect(
      *crocusslip::transport::ParseEndpoint(process_.front_), Catch(error));
    crocusslip::transport::asio::steady_timer timer(process_.loop_);
    for (std::size_t at = 0; at < aText.size() && !error; at += aPiece) {
      const std::size_t size = std::min(aPiece, aText.size() - at);
      co_await crocusslip::transport::asio::async_write(
        *client,
        crocusslip::transport::asio::buffer(aText.data() + at, size),
        Catch(error));
      if (aPause > 0ms) {
        co_await crocusslip::transport::Sleep(timer, aPause);
      }
    }
    --aSending;
  }

  /// Runs until the process takes up no more, or for a bounded time.
  void Settle()
  {
    const auto until = std::chrono::steady_clock::now() + kSettleTime;
    std::uint64_t before = 0;
    while (before != process_.Memory("VmHWM:") &&
           std::chrono::steady_clock::now() < until) {
      before = process_.Memory("VmHWM:");
      process_.loop_.run_for(kQuietTime);
    }
  }

  /// The crowd is still connected: the process lives within its bounds and
  /// serves an ordinary request; once the crowd is gone also the largest.
  void Check()
  {
    BOOST_TEST(process_.Descriptors() < limits_.maxDescriptors_);
    Settle();
    BOOST_TEST(process_.Lives());
    BOOST_TEST(process_.Serves("/once/x"));
    // No more than its settings allow it.
    BOOST_TEST(process_.Memory("VmHWM:") < limits_.memoryMb_ * kMebi);
    BOOST_TEST(process_.Descriptors() < limits_.maxDescriptors_);
    BOOST_TEST_MESSAGE("VmHWM " << process_.Memory("VmHWM:") / 1024
                                << " kB, descriptors "
                                << process_.Descriptors());
    clients_.clear();
    BOOST_TEST(process_.Serves("/once/x", limits_.bodyBytes_));
    BOOST_TEST(process_.Memory("VmHWM:") < limits_.memoryMb_ * kMebi);
  }

  const EntryLimits limits_;
  EntryProcess process_;
  std::vector<std::shared_ptr<Tcp::socket>> clients_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ACrowdOfClients)

BOOST_AUTO_TEST_CASE(SendsWholeBodiesThatStopShort)
{
  Crowd crowd;
  crowd.Send(Announced(kLimits.bodyBytes_) +
             std::string(kLimits.bodyBytes_ - 1, 'b'));
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(SendsBodiesPieceByPieceThatStopShort)
{
  Crowd crowd;
  crowd.Send(Announced(kLimits.bodyBytes_) +
               std::string(kLimits.bodyBytes_ - 1, 'b'),
             kCrowd,
             kPiece,
             10ms);
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(SendsLargeChunksThatStopShort)
{
  Crowd crowd;
  crowd.Send(InChunks(kLimits.bodyBytes_, kLimits.bodyBytes_ / 16));
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(SendsSmallChunksThatStopShort)
{
  Crowd crowd;
  crowd.Send(InChunks(kLimits.bodyBytes_, 16));
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(AnnouncesBodiesFarOverTheLimit)
{
  Crowd crowd;
  crowd.Send(Announced(64 * kLimits.bodyBytes_) +
             std::string(8 * kLimits.bodyBytes_, 'b'));
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(JustSendsBodiesFarOverTheLimit)
{
  Crowd crowd;
  crowd.Send(InChunks(8 * kLimits.bodyBytes_, kLimits.bodyBytes_ / 16));
  crowd.Check();
}

// The smallest machine with the limits of our pages.
BOOST_AUTO_TEST_CASE(LeavesRoomForTheLargestBody)
{
  const EntryLimits limits{ 112, 2870, 4 * kMebi };
  Crowd crowd(Answers(4), limits);
  BOOST_TEST(crowd.process_.Call("/once/x", limits.bodyBytes_) == 200U);
  crowd.Send(Announced(limits.bodyBytes_) +
             std::string(limits.bodyBytes_ - 1, 'b'));
  crowd.Check();
}

// Guards against a budget that counts less than what is allocated.
BOOST_AUTO_TEST_CASE(TakesWhatTheBudgetCounts)
{
  Crowd crowd(Answers(4), { 400, 2870, 4 * kMebi });
  const std::uint64_t before = crowd.process_.Memory("VmRSS:");
  crowd.Send(InChunks(4 * kMebi, kLargeChunk), kCountedClients);
  crowd.Settle();
  const auto grown =
    static_cast<double>(crowd.process_.Memory("VmRSS:") - before);
  const double counted =
    crowd.process_.Metric("crocusslip_held_bytes{holder=\"body\"}");
  BOOST_TEST(counted >= kCountedClients * 4.0 * kMebi);
  BOOST_TEST(grown < counted * kOverhead + kFixedOverhead);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AnotherCrowd)

// A reader that takes nothing holds up the server's answer, not the process.
BOOST_AUTO_TEST_CASE(DoesNotTakeItsAnswers)
{
  Crowd crowd(Answers(kLargeAnswer));
  crowd.Send(SmallRequest("/once/x"));
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(DoesNotTakeItsStreams)
{
  Crowd crowd(Streams(kLargeAnswer));
  crowd.Send(SmallRequest("/stream/x"));
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(SendsAByteNowAndThen)
{
  Crowd crowd;
  crowd.Send(
    Announced(kLimits.bodyBytes_) + std::string(16, 'b'), kCrowd, 64, 250ms);
  crowd.Check();
}

// Fields of four bytes take twenty times their size once they are parsed.
BOOST_AUTO_TEST_CASE(SendsHeadsOfTinyFieldsOnly)
{
  Crowd crowd;
  crowd.Send(TinyFields(), kManyConnections);
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(SendsHeadsOfTinyFieldsAndNoBody)
{
  Crowd crowd;
  crowd.Send(TinyFields() + "Content-Length: 99\r\n\r\n", kManyConnections);
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(PipelinesRequests)
{
  Crowd crowd;
  std::string requests;
  for (int i = 0; i < kPipelined; ++i) {
    requests += SmallRequest("/once/x");
  }
  crowd.Send(requests);
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(ClosesItsHalf)
{
  Crowd crowd;
  crowd.Send(Announced(kLimits.bodyBytes_) +
             std::string(kLimits.bodyBytes_ - 1, 'b'));
  for (const auto& client : crowd.clients_) {
    boost::system::error_code ignored;
    client->shutdown(Tcp::socket::shutdown_send, ignored);
  }
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(ReconnectsAtOnce)
{
  Crowd crowd;
  for (int round = 0; round < kRounds; ++round) {
    crowd.Send(Announced(kLimits.bodyBytes_) +
               std::string(kLimits.bodyBytes_ / 2, 'b'));
    crowd.clients_.clear();
  }
  crowd.Check();
}

// More than the descriptors of the process.
BOOST_AUTO_TEST_CASE(OpensManyConnections)
{
  Crowd crowd;
  crowd.Send("", kManyConnections);
  crowd.Check();
}

BOOST_AUTO_TEST_CASE(HoldsManyUnfinishedRequests)
{
  Crowd crowd;
  crowd.Send(Announced(99) + "b", kManyConnections);
  crowd.Check();
}

// The process ends at the end of its grace period, whoever is connected.
BOOST_AUTO_TEST_CASE(StaysDuringAPlannedStop)
{
  Crowd crowd;
  crowd.Send(Announced(kLimits.bodyBytes_) +
             std::string(kLimits.bodyBytes_ - 1, 'b'));
  crowd.process_.Terminate();
  const auto until = std::chrono::steady_clock::now() + 2 * kGrace;
  while (crowd.process_.Lives() && std::chrono::steady_clock::now() < until) {
    crowd.process_.loop_.run_for(100ms);
  }
  BOOST_TEST(!crowd.process_.Lives());
}

BOOST_AUTO_TEST_SUITE_END()
