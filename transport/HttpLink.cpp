#include "transport/HttpLink.hpp"

#include "core/Log.hpp"
#include "transport/CancelTimer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace crocusslip::transport {

namespace {

constexpr std::size_t kReadBytes = 4096;
/// Largest answer to a call of CallOnce, and largest body that SkipRest reads.
constexpr std::size_t kAnswerBytes = 2UL * 1024 * 1024;
constexpr std::size_t kSkippedBytes = 64UL * 1024;
/// Interim answers before the answer proper.
constexpr int kMaxInterimAnswers = 8;
/// Bytes of a message that are read ahead; bounds what the parser needs in one
/// piece: chunk sizes with their extensions, and trailers.
constexpr std::size_t kReadAheadBytes = 64UL * 1024;
/// Pause after a failed accept, e.g. without free descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 50 };
/// Unacknowledged data older than this ends a connection.
constexpr int kUserTimeoutMs = 5000;
/// Time in which a request is expected on a new connection.
constexpr std::chrono::milliseconds kFirstRequestTime{ 200 };
/// Time in which a closing peer may take the last bytes.
constexpr std::chrono::milliseconds kLinger{ 500 };

void
SetOptions(Tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
  const int timeout = kUserTimeoutMs;
  ::setsockopt(aSocket.native_handle(),
               IPPROTO_TCP,
               TCP_USER_TIMEOUT,
               &timeout,
               sizeof(timeout));
}

std::optional<int>
Peek(Tcp::socket& aSocket)
{
  char byte = 0;
  const auto got =
    ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    return std::nullopt;
  }
  return got < 0 ? 0 : static_cast<int>(got);
}

} // namespace

std::optional<Tcp::endpoint>
ParseEndpoint(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address =
    asio::ip::make_address(std::string(aText.substr(0, colon)), error);
  std::uint16_t port = 0;
  const std::string_view digits = aText.substr(colon + 1);
  const auto parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool whole =
    parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
  if (error || !whole) {
    return std::nullopt;
  }
  return Tcp::endpoint(address, port);
}

CallerLink::CallerLink(Tcp::socket aSocket, LinkLimits aLimits)
  : stream_(std::move(aSocket))
  , limits_(aLimits)
{
  SetOptions(stream_.socket());
}

Task<ReadResult>
CallerLink::Read(HttpRequest& aRequest,
                 const LinkLimits& aLimits,
                 ReadRoom* aRoom)
{
  limits_ = aLimits;
  buffer_.max_size(kReadAheadBytes + limits_.headerBytes_);
  boost::system::error_code error;
  while (buffer_.size() == 0) {
    stream_.expires_after(first_ ? limits_.headerTime_ : limits_.idleTime_);
    idle_ = true;
    idleSince_ = std::chrono::steady_clock::now();
    const std::size_t got = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes), Catch(error));
    idle_ = false;
    buffer_.commit(got);
    // Bytes may have arrived after the wait was cancelled.
    const bool again = error == asio::error::operation_aborted && HasUnread();
    if (error && got == 0 && !again) {
      co_return ReadResult::Closed;
    }
  }
  first_ = false;
  busy_ = true;
  RequestReader reader(stream_, buffer_, limits_, aRoom);
  reader_ = &reader;
  const ReadResult result = co_await reader.Read(aRequest);
  reader_ = nullptr;
  co_return result;
}

std::string
CallerLink::PeerAddress() const
{
  boost::system::error_code error;
  const auto peer = stream_.socket().remote_endpoint(error);
  return error ? std::string() : peer.address().to_string();
}

Task<bool>
CallerLink::Write(http::response<http::string_body>& aResponse)
{
  boost::system::error_code error;
  stream_.expires_after(limits_.stallTime_);
  co_await http::async_write(stream_, aResponse, Catch(error));
  stream_.expires_never();
  writeTimedOut_ = error == beast::error::timeout;
  co_return !error;
}

Task<bool>
CallerLink::WriteRaw(std::string_view aBytes)
{
  boost::system::error_code error;
  stream_.expires_after(limits_.stallTime_);
  while (!aBytes.empty() && !error) {
    const std::size_t sent = co_await stream_.async_write_some(
      asio::buffer(aBytes.data(), aBytes.size()), Catch(error));
    aBytes.remove_prefix(sent);
  }
  stream_.expires_never();
  writeTimedOut_ = error == beast::error::timeout;
  co_return !error;
}

Task<bool>
CallerLink::AwaitClose()
{
  boost::system::error_code error;
  co_await stream_.socket().async_wait(Tcp::socket::wait_read, Catch(error));
  if (error) {
    co_return error != asio::error::operation_aborted;
  }
  const auto peeked = Peek(stream_.socket());
  co_return peeked&&* peeked == 0;
}

void
CallerLink::CancelWait()
{
  boost::system::error_code ignored;
  stream_.socket().cancel(ignored);
}

void
CallerLink::Abort()
{
  boost::system::error_code ignored;
  auto& socket = stream_.socket();
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void
CallerLink::Close()
{
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
}

Task<std::size_t>
CallerLink::Finish()
{
  boost::system::error_code error;
  auto& socket = stream_.socket();
  if (!socket.is_open()) {
    co_return 0;
  }
  std::size_t dropped = buffer_.size();
  // Bytes that were not read would turn the close into a reset, which may take
  // the answer with it.
  socket.shutdown(Tcp::socket::shutdown_send, error);
  stream_.expires_after(kLinger);
  while (!error) {
    buffer_.clear();
    dropped += co_await stream_.async_read_some(buffer_.prepare(kReadBytes),
                                                Catch(error));
  }
  socket.close(error);
  co_return dropped;
}

bool
CallerLink::HasUnread()
{
  return stream_.socket().is_open() && Peek(stream_.socket()).value_or(0) > 0;
}

bool
CallerLink::IsNew() const
{
  return first_ &&
         std::chrono::steady_clock::now() - acceptedAt_ < kFirstRequestTime;
}

std::optional<std::chrono::steady_clock::time_point>
CallerLink::IdleSince() const
{
  return idle_ && !IsNew() ? std::optional(idleSince_) : std::nullopt;
}

std::optional<std::chrono::steady_clock::time_point>
CallerLink::ReadingSince() const
{
  return reader_ == nullptr ? std::nullopt
                            : std::optional(reader_->ProgressAt());
}

void
CallerLink::EndIdle()
{
  // The bytes of a request may be read already, with their handler not run yet.
  // Only the reader can tell.
  if (idle_ && !IsNew()) {
    boost::system::error_code ignored;
    stream_.socket().cancel(ignored);
  }
}

ServerLink::ServerLink(asio::io_context& aLoop)
  : stream_(aLoop)
  , buffer_(kReadAheadBytes)
{
}

bool
ServerLink::Note(const boost::system::error_code& aError)
{
  timedOut_ = aError == beast::error::timeout;
  return !aError;
}

Task<bool>
ServerLink::Connect(const std::string& aAddress,
                    std::chrono::milliseconds aTimeout)
{
  const auto endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    co_return false;
  }
  boost::system::error_code error;
  stream_.expires_after(aTimeout);
  co_await stream_.async_connect(*endpoint, Catch(error));
  if (Note(error)) {
    SetOptions(stream_.socket());
  }
  co_return !error;
}

template<typename Body>
Task<bool>
ServerLink::SendMessage(const http::request<Body>& aRequest,
                        std::chrono::nanoseconds aTimeout)
{
  parser_.reset();
  boost::system::error_code error;
  stream_.expires_after(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout));
  co_await http::async_write(stream_, aRequest, Catch(error));
  co_return Note(error);
}

Task<bool>
ServerLink::Send(const HttpRequest& aRequest, std::chrono::nanoseconds aTimeout)
{
  return SendMessage(aRequest, aTimeout);
}

Task<bool>
ServerLink::Send(const ForwardedRequest& aRequest,
                 std::chrono::nanoseconds aTimeout)
{
  return SendMessage(aRequest, aTimeout);
}

Task<bool>
ServerLink::AwaitData(std::chrono::nanoseconds aTimeout)
{
  if (buffer_.size() > 0) {
    co_return true;
  }
  const CancelTimer timer(stream_, aTimeout);
  boost::system::error_code error;
  co_await stream_.socket().async_wait(Tcp::socket::wait_read, Catch(error));
  co_return !timer.Expired();
}

Task<bool>
ServerLink::ReadOneHead()
{
  BeginAnswer(parser_);
  HeadState state = ParseHead(buffer_, *parser_);
  while (state == HeadState::Begun) {
    boost::system::error_code error;
    const std::size_t got = co_await stream_.async_read_some(
      buffer_.prepare(kReadBytes), Catch(error));
    buffer_.commit(got);
    if (!Note(error)) {
      co_return false;
    }
    state = ParseHead(buffer_, *parser_);
  }
  timedOut_ = false;
  co_return state == HeadState::Whole;
}

Task<bool>
ServerLink::ReadHead(AnswerHead& aHead, std::chrono::nanoseconds aTimeout)
{
  stream_.expires_after(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout));
  bool interim = true;
  for (int i = 0; interim && i <= kMaxInterimAnswers; ++i) {
    if (!co_await ReadOneHead()) {
      parser_.reset();
      co_return false;
    }
    interim = parser_->get().result_int() / 100 == 1;
  }
  if (interim) {
    parser_.reset();
    co_return false;
  }
  const auto& message = parser_->get();
  aHead.status_ = message.result_int();
  aHead.fields_ = message.base();
  aHead.keepAlive_ = parser_->keep_alive();
  keepAlive_ = aHead.keepAlive_;
  const auto idle = message["Keep-Alive"];
  const auto at = idle.find("timeout=");
  if (at != std::string_view::npos) {
    int seconds = 0;
    const char* begin = idle.data() + at + std::string_view("timeout=").size();
    std::from_chars(begin, idle.data() + idle.size(), seconds);
    serverIdle_ = std::chrono::seconds(seconds);
  }
  co_return true;
}

Task<std::optional<std::string_view>>
ServerLink::ReadBody(std::chrono::nanoseconds aTimeout)
{
  if (!parser_) {
    co_return std::nullopt;
  }
  chunk_.resize(kReadBytes);
  auto& body = parser_->get().body();
  std::size_t got = 0;
  while (got == 0 && !parser_->is_done()) {
    body.data = chunk_.data();
    body.size = chunk_.size();
    body.more = true;
    boost::system::error_code error;
    stream_.expires_after(
      std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout));
    co_await http::async_read_some(stream_, buffer_, *parser_, Catch(error));
    got = chunk_.size() - body.size;
    if (error == http::error::need_buffer) {
      error = {};
    }
    if (error && got == 0) {
      Note(error);
      co_return std::nullopt;
    }
  }
  co_return std::string_view(chunk_).substr(0, got);
}

Task<bool>
ServerLink::ReadRest(std::string& aBody, std::chrono::nanoseconds aTimeout)
{
  const auto until =
    std::chrono::steady_clock::now() +
    std::chrono::duration_cast<std::chrono::milliseconds>(aTimeout);
  while (true) {
    const auto left = until - std::chrono::steady_clock::now();
    if (left <= std::chrono::nanoseconds(0)) {
      timedOut_ = true;
      co_return false;
    }
    const auto part = co_await ReadBody(left);
    if (!part || aBody.size() > kAnswerBytes) {
      co_return false;
    }
    if (part->empty()) {
      co_return true;
    }
    aBody += *part;
  }
}

Task<bool>
ServerLink::SkipRest(std::chrono::nanoseconds aTimeout)
{
  const auto until = std::chrono::steady_clock::now() + aTimeout;
  for (std::size_t skipped = 0; skipped <= kSkippedBytes;) {
    const auto left = until - std::chrono::steady_clock::now();
    if (left <= std::chrono::nanoseconds(0)) {
      timedOut_ = true;
      co_return false;
    }
    const auto part = co_await ReadBody(left);
    if (!part) {
      co_return false;
    }
    if (part->empty()) {
      co_return true;
    }
    skipped += part->size();
  }
  co_return false;
}

bool
ServerLink::EndsWithConnection() const
{
  return parser_ && parser_->get().need_eof();
}

bool
ServerLink::Reusable() const
{
  return parser_ && parser_->is_done() && keepAlive_ && buffer_.size() == 0;
}

bool
ServerLink::Quiet()
{
  return stream_.socket().is_open() && !Peek(stream_.socket());
}

void
ServerLink::Reset()
{
  boost::system::error_code ignored;
  stream_.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  stream_.socket().close(ignored);
}

void
ServerLink::Abort()
{
  boost::system::error_code ignored;
  stream_.socket().close(ignored);
}

LinkListener::LinkListener(asio::io_context& aLoop,
                           const std::string& aAddress,
                           std::function<void(Tcp::socket)> aAccept)
  : loop_(aLoop)
  , address_(aAddress)
  , accept_(std::move(aAccept))
  , acceptor_(aLoop)
{
}

core::Status
LinkListener::Start()
{
  const auto endpoint = ParseEndpoint(address_);
  boost::system::error_code error;
  if (!endpoint) {
    return core::Error{ make_error_code(core::Errc::InvalidInput),
                        address_ + " is not an address" };
  }
  acceptor_.open(endpoint->protocol(), error);
  acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  acceptor_.bind(*endpoint, error);
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return core::Error{ make_error_code(core::Errc::Unavailable),
                        "cannot listen on " + address_ + ": " +
                          error.message() };
  }
  Spawn(loop_, [this] { return Run(); });
  return core::Success{};
}

Task<void>
LinkListener::Run()
{
  asio::steady_timer pause(loop_);
  while (acceptor_.is_open()) {
    boost::system::error_code error;
    Tcp::socket socket(loop_);
    co_await acceptor_.async_accept(socket, Catch(error));
    if (!error) {
      accept_(std::move(socket));
    } else if (error == asio::error::operation_aborted) {
      co_return;
    } else {
      core::Log(core::LogLevel::Warning,
                "connection not accepted",
                { { "reason", error.message() } });
      co_await Sleep(pause, kAcceptPause);
    }
  }
}

void
LinkListener::Stop()
{
  boost::system::error_code error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    // Closing would reset the connections that wait.
    Tcp::socket socket(loop_);
    acceptor_.accept(socket, error);
    if (!error) {
      accept_(std::move(socket));
    }
  }
  acceptor_.close(error);
}

std::uint16_t
LinkListener::Port() const
{
  boost::system::error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

Task<core::Result<WholeAnswer>>
CallOnce(asio::io_context& aLoop,
         const std::string& aAddress,
         const HttpRequest& aRequest,
         std::chrono::milliseconds aTimeout)
{
  const auto fail = [&](core::Errc aCode, const char* aWhat) {
    return core::Error{ make_error_code(aCode), aAddress + ": " + aWhat };
  };
  ServerLink link(aLoop);
  if (!co_await link.Connect(aAddress, aTimeout)) {
    co_return fail(core::Errc::ConnectFailed, "no connection");
  }
  AnswerHead head;
  const bool answered = co_await link.Send(aRequest, aTimeout) &&
                        co_await link.ReadHead(head, aTimeout);
  WholeAnswer answer;
  if (!answered || !co_await link.ReadRest(answer.body_, aTimeout)) {
    // The caller gives up on it: an order must not arrive after a later one.
    link.Reset();
    co_return fail(link.TimedOut() ? core::Errc::Timeout
                                   : core::Errc::ConnectionLost,
                   "no whole answer");
  }
  answer.status_ = head.status_;
  answer.fields_ = std::move(head.fields_);
  co_return answer;
}

} // namespace crocusslip::transport
