#pragma once

#include "core/Error.hpp"
#include "transport/AnswerParser.hpp"
#include "transport/Coroutine.hpp"
#include "transport/RequestReader.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// HTTP/1.1 connections with control of each read, write and close, which the
/// library of HttpServer and HttpClient does not give (docs/platform.md).
namespace crocusslip::transport {

using Tcp = asio::ip::tcp;

/// A caller's connection.
class CallerLink
{
public:
  CallerLink(Tcp::socket aSocket, LinkLimits aLimits);
  CallerLink(const CallerLink&) = delete;
  CallerLink& operator=(const CallerLink&) = delete;

  /// Reads a whole request. aLimits may have changed since the last one. aRoom
  /// bounds what it takes up; null: no bound.
  Task<ReadResult> Read(HttpRequest& aRequest,
                        const LinkLimits& aLimits,
                        ReadRoom* aRoom = nullptr);
  /// Address of the caller, without the port; empty when it has gone.
  std::string PeerAddress() const;
  /// Whether a request is being read or was read and not answered yet.
  bool Busy() const { return busy_; }
  void SetBusy(bool aBusy) { busy_ = aBusy; }
  Task<bool> Write(http::response<http::string_body>& aResponse);
  /// Writes bytes as they are.
  Task<bool> WriteRaw(std::string_view aBytes);
  /// The last write ended because the caller did not take the bytes in time.
  bool WriteTimedOut() const { return writeTimedOut_; }
  /// Waits until the caller closes its connection. Returns false when the
  /// wait was cancelled or the caller has sent more.
  Task<bool> AwaitClose();
  void CancelWait();
  /// Ends the connection so that an unfinished answer does not look complete.
  void Abort();
  /// Ends a connection on which nothing is being read or written.
  void Close();
  /// Ends the connection, of which close the caller has been told, after what
  /// has been written. Returns the number of bytes that the caller has sent
  /// since the last request; they are dropped.
  Task<std::size_t> Finish();
  /// Bytes have arrived that were not read yet.
  bool HasUnread();
  /// Accepted a moment ago; its first request may be on its way.
  bool IsNew() const;
  /// Since when it waits for a request; nothing when it doesn't or is new.
  std::optional<std::chrono::steady_clock::time_point> IdleSince() const;
  /// When the request that is being read has last made progress.
  std::optional<std::chrono::steady_clock::time_point> ReadingSince() const;
  /// Ends a wait for the next request, unless one has begun to arrive or the
  /// connection is new: Read then returns Closed.
  void EndIdle();

private:
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  LinkLimits limits_;
  bool busy_ = false;
  bool first_ = true;
  bool writeTimedOut_ = false;
  /// Waits for the first bytes of a request.
  bool idle_ = false;
  std::chrono::steady_clock::time_point idleSince_;
  /// Set while a request is being read.
  const RequestReader* reader_ = nullptr;
  const std::chrono::steady_clock::time_point acceptedAt_ =
    std::chrono::steady_clock::now();
};

/// Head of a backend server's answer.
struct AnswerHead
{
  unsigned status_ = 0;
  http::fields fields_;
  bool keepAlive_ = false;
};

/// A request whose body belongs to another one.
using ForwardedRequest = http::request<http::span_body<const char>>;

/// A connection to a backend server. Serves one request at a time.
class ServerLink
{
public:
  explicit ServerLink(asio::io_context& aLoop);
  ServerLink(const ServerLink&) = delete;
  ServerLink& operator=(const ServerLink&) = delete;

  Task<bool> Connect(const std::string& aAddress,
                     std::chrono::milliseconds aTimeout);
  /// False when the request may have left in part.
  Task<bool> Send(const HttpRequest& aRequest,
                  std::chrono::nanoseconds aTimeout);
  Task<bool> Send(const ForwardedRequest& aRequest,
                  std::chrono::nanoseconds aTimeout);
  /// Waits until something arrives or the connection ends. False when nothing
  /// did in this time; the connection is as before then.
  Task<bool> AwaitData(std::chrono::nanoseconds aTimeout);
  /// Reads the head of the next answer; skips interim answers (1xx). False
  /// also for a head that breaks the grammar of HTTP/1.1: nothing that follows
  /// it on the connection can be trusted.
  Task<bool> ReadHead(AnswerHead& aHead, std::chrono::nanoseconds aTimeout);
  /// The next bytes of the body; empty at its end. Nothing on failure.
  Task<std::optional<std::string_view>> ReadBody(
    std::chrono::nanoseconds aTimeout);
  /// Reads the rest of the body. False when it is cut short or too long.
  Task<bool> ReadRest(std::string& aBody, std::chrono::nanoseconds aTimeout);
  /// Reads the rest of a body that nobody needs. False as ReadRest.
  Task<bool> SkipRest(std::chrono::nanoseconds aTimeout);
  /// The answer has neither a length nor chunks: it ends with its connection.
  bool EndsWithConnection() const;
  /// The whole answer was read and the server keeps the connection.
  bool Reusable() const;
  /// Nothing has arrived or been closed since the last answer.
  bool Quiet();
  void Abort();
  /// Ends the connection so that bytes that have not reached the server are
  /// dropped, also those that a partition holds up.
  void Reset();
  bool TimedOut() const { return timedOut_; }
  std::chrono::steady_clock::time_point idleSince_;
  /// How long the server keeps an idle connection; 0: it did not say.
  std::chrono::seconds serverIdle_{ 0 };

private:
  template<typename Body>
  Task<bool> SendMessage(const http::request<Body>& aRequest,
                         std::chrono::nanoseconds aTimeout);
  bool Note(const boost::system::error_code& aError);
  /// Reads one head into a new parser. False when it breaks the grammar.
  Task<bool> ReadOneHead();

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::optional<AnswerParser> parser_;
  std::string chunk_;
  bool timedOut_ = false;
  bool keepAlive_ = false;
};

/// Accepts connections until stopped.
class LinkListener
{
public:
  LinkListener(asio::io_context& aLoop,
               const std::string& aAddress,
               std::function<void(Tcp::socket)> aAccept);
  core::Status Start();
  /// Accepts the connections that wait to be accepted, then no more.
  void Stop();
  std::uint16_t Port() const;

private:
  Task<void> Run();

  asio::io_context& loop_;
  const std::string address_;
  std::function<void(Tcp::socket)> accept_;
  Tcp::acceptor acceptor_;
};

/// "10.0.0.1:80" as an endpoint; nothing when it isn't one.
std::optional<Tcp::endpoint>
ParseEndpoint(std::string_view aText);

/// One call on a connection of its own; for calls that are rare.
struct WholeAnswer
{
  unsigned status_ = 0;
  http::fields fields_;
  std::string body_;
};
Task<core::Result<WholeAnswer>>
CallOnce(asio::io_context& aLoop,
         const std::string& aAddress,
         const HttpRequest& aRequest,
         std::chrono::milliseconds aTimeout);

} // namespace crocusslip::transport
