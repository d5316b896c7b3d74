#pragma once

#include "core/Error.hpp"
#include "protocol/HttpMessage.hpp"
#include "transport/HttpServer.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

/// HTTP/1.1 client with threads of its own; answers are streamed, nothing
/// blocks.
namespace crocusslip::transport {

enum class Delivery : std::uint8_t
{
  /// No byte can have reached the server.
  NotSent,
  /// The server may have seen the request.
  MaybeSent,
};

struct CallFailure
{
  core::Error error_;
  Delivery delivery_ = Delivery::MaybeSent;
};

/// Receives one answer; calls come in order and never at the same time.
class HttpSink
{
public:
  virtual ~HttpSink() = default;
  virtual void OnHead(const protocol::HttpResponse& aHead) = 0;
  virtual void OnData(std::string_view aBytes) = 0;
  virtual void OnEnd() = 0;
  virtual void OnFailure(const CallFailure& aFailure) = 0;
};

class HttpCall
{
public:
  virtual ~HttpCall() = default;
  virtual void Cancel() = 0;
};

struct HttpTarget
{
  /// "http://127.0.0.1:8000" or "https://...".
  std::string base_;
  /// Longest silence of the server.
  std::chrono::milliseconds timeout_{ 30'000 };
  /// Takes a connection of its own. A request is sent again when a pooled
  /// connection turns out to be closed, so that a call that must not run twice
  /// may never use a pooled one.
  bool freshConnection_ = false;
};

class HttpClient
{
public:
  explicit HttpClient(TlsFiles aTls = {});
  /// Calls that have not ended are dropped; their sinks get no more calls.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Fails when the body is longer than aLimit bytes.
  std::shared_ptr<HttpCall> Start(
    const HttpTarget& aTarget,
    const protocol::HttpRequest& aRequest,
    const std::shared_ptr<HttpSink>& aSink,
    std::size_t aLimit = std::numeric_limits<std::size_t>::max());

  using WholeCallback =
    std::function<void(core::Result<protocol::HttpResponse>, Delivery)>;
  /// Collects the whole answer, up to aLimit bytes.
  std::shared_ptr<HttpCall> Fetch(const HttpTarget& aTarget,
                                  const protocol::HttpRequest& aRequest,
                                  std::size_t aLimit,
                                  WholeCallback aDone);
  /// Fetch for threads that may block; never call it from a callback.
  core::Result<protocol::HttpResponse> FetchAndWait(
    const HttpTarget& aTarget,
    const protocol::HttpRequest& aRequest,
    std::size_t aLimit = 64 * 1024 * 1024);

private:
  struct Content;
  std::unique_ptr<Content> content_;
};

} // namespace crocusslip::transport
