#pragma once

#include "transport/AnswerParser.hpp"
#include "transport/Coroutine.hpp"
#include "transport/TlsFiles.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace crocusslip::transport {

/// Where a client connects to: "http://127.0.0.1:8000" or "https://...".
struct ClientTarget
{
  bool tls_ = false;
  /// Host and port as given.
  std::string authority_;
  std::string host_;
  std::string port_;
  /// Before the path of each request.
  std::string path_;
};

/// Nothing when the text is no such address.
std::optional<ClientTarget>
ParseTarget(std::string_view aBase);

/// One connection of HttpClient, plain or with TLS. All calls but the
/// constructor belong on its executor. A step that fails says why in Failure.
class ClientConnection
{
public:
  using Executor = asio::strand<asio::io_context::executor_type>;
  using Request = http::request<http::string_body>;

  ClientConnection(Executor aExecutor, const TlsFiles& aTls, bool aUseTls);

  const Executor& GetExecutor() const { return executor_; }
  /// Longest silence of the peer in any step.
  void SetTimeout(std::chrono::milliseconds aTimeout) { timeout_ = aTimeout; }
  Task<bool> Connect(const ClientTarget& aTarget);
  Task<bool> Send(const Request& aRequest);
  /// Reads the head of the answer; skips interim answers.
  Task<bool> ReadHead(bool aToHead);
  const http::response_header<>& Head() const { return parser_->get().base(); }
  /// The next bytes of the body; empty at its end. Nothing on failure.
  Task<std::optional<std::string_view>> ReadBody();
  /// Whether the answer has begun to arrive.
  bool HasAnswer() const { return answerBegun_; }
  /// The whole answer was read and the server keeps the connection.
  bool Reusable() const;
  /// Nothing has arrived or been closed since the last answer.
  bool Quiet();
  void Close();
  const boost::system::error_code& Failure() const { return failure_; }

private:
  using Plain = beast::tcp_stream;
  using Secure = beast::ssl_stream<beast::tcp_stream>;

  beast::tcp_stream& Socket();
  Task<bool> Handshake(const std::string& aHost);
  Task<std::size_t> ReadSome();
  bool Note(const boost::system::error_code& aError);

  const Executor executor_;
  std::chrono::milliseconds timeout_{ 0 };
  std::unique_ptr<asio::ssl::context> tls_;
  std::variant<std::monostate, Plain, Secure> stream_;
  beast::flat_buffer buffer_;
  std::optional<AnswerParser> parser_;
  std::string chunk_;
  bool answerBegun_ = false;
  boost::system::error_code failure_;
};

} // namespace crocusslip::transport
