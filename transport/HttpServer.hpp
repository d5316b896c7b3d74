#pragma once

#include "core/Error.hpp"
#include "core/Reasons.hpp"
#include "protocol/HttpMessage.hpp"
#include "transport/TlsFiles.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// HTTP server on cpprestsdk, with the read limits that the library lacks.
namespace crocusslip::transport {

/// The body of an answer that is sent piece by piece.
class BodyWriter
{
public:
  virtual ~BodyWriter() = default;
  virtual void Write(std::string_view aBytes) = 0;
  virtual void Finish() = 0;
  /// Bytes written and not yet taken by the connection.
  virtual std::size_t Pending() const = 0;
};

/// One request with its whole body, and the means to answer it once.
class HttpExchange
{
public:
  virtual ~HttpExchange() = default;
  virtual const protocol::HttpRequest& Request() const = 0;
  virtual void Reply(protocol::HttpResponse aResponse) = 0;
  /// Sends status and headers; the body follows through the writer.
  virtual std::shared_ptr<BodyWriter> ReplyStream(
    protocol::HttpResponse aHead) = 0;
  /// Runs when the connection breaks before the answer is sent whole.
  virtual void OnDisconnect(std::function<void()> aCallback) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;
/// Makes the answer for a request that the server refuses by itself.
using RefusalMaker =
  std::function<protocol::HttpResponse(core::RefusalReason, std::string)>;

struct HttpServerSettings
{
  std::string address_ = "127.0.0.1";
  std::uint16_t port_ = 0;
  std::size_t bodyLimit_ = 8 * 1024 * 1024;
  std::chrono::milliseconds bodyTimeout_{ 10'000 };
  std::size_t requestLimit_ = 4096;
  TlsFiles tls_;
};

class HttpServer
{
public:
  HttpServer(HttpServerSettings aSettings,
             HttpHandler aHandler,
             RefusalMaker aRefusal);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  core::Status Start();
  /// From now on each answer ends its connection, so that a caller does not
  /// send its next request on one that is about to be closed.
  void CloseConnections();
  /// Stops accepting; requests in progress go on.
  void Stop();
  std::size_t InProgress() const;

private:
  struct Content;
  std::shared_ptr<Content> content_;
};

/// Sets the size of the thread pool that server, client and continuations
/// share; once, before anything else of this layer is used.
void
StartHttpThreads(std::size_t aThreads);

} // namespace crocusslip::transport
