#include "transport/HttpServer.hpp"

#include "transport/Timer.hpp"
#include "transport/TlsReload.hpp"

#include <boost/asio/ssl.hpp>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <openssl/crypto.h>
#include <pplx/threadpool.h>

#include <atomic>
#include <cstring>
#include <mutex>
#include <utility>

namespace crocusslip::transport {

namespace {

namespace listener = web::http::experimental::listener;
using web::http::http_request;
using web::http::http_response;
using BodyBuffer = concurrency::streams::producer_consumer_buffer<uint8_t>;

protocol::HttpRequest
Head(const http_request& aRequest)
{
  protocol::HttpRequest head;
  head.method_ = aRequest.method();
  head.path_ = aRequest.request_uri().path();
  head.query_ = aRequest.request_uri().query();
  for (const auto& header : aRequest.headers()) {
    head.headers_.Set(header.first, header.second);
  }
  head.remoteAddress_ = aRequest.remote_address();
  return head;
}

http_response
ToLibrary(const protocol::HttpResponse& aResponse)
{
  http_response response(aResponse.status_);
  for (const protocol::HttpHeader& header : aResponse.headers_.All()) {
    response.headers().add(header.name_, header.value_);
  }
  return response;
}

class Writer final : public BodyWriter
{
public:
  ~Writer() override { Writer::Finish(); }

  void Write(std::string_view aBytes) override
  {
    // Written in place: the buffer's other calls run as tasks on the shared
    // thread pool, and waiting for one there can use the pool up.
    uint8_t* place = buffer_.alloc(aBytes.size());
    if (place != nullptr) {
      std::memcpy(place, aBytes.data(), aBytes.size());
      buffer_.commit(aBytes.size());
      // Without it a reader gets its bytes only once its own buffer is full.
      // Done when the call returns; the task has nothing to wait for.
      buffer_.sync();
    }
  }

  void Finish() override
  {
    if (!finished_.exchange(true)) {
      buffer_.close(std::ios_base::out);
    }
  }

  std::size_t Pending() const override { return buffer_.in_avail(); }

  BodyBuffer& Buffer() { return buffer_; }

private:
  mutable BodyBuffer buffer_;
  std::atomic<bool> finished_{ false };
};

/// What the server and its requests share.
struct ServerState
{
  std::atomic<std::size_t> inProgress_{ 0 };
  std::atomic<bool> closesConnections_{ false };
};

/// Counts a request as in progress until its answer is sent or has failed.
class Exchange final
  : public HttpExchange
  , public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(const http_request& aLibraryRequest,
           protocol::HttpRequest aRequest,
           std::shared_ptr<ServerState> aServer)
    : library_(aLibraryRequest)
    , request_(std::move(aRequest))
    , server_(std::move(aServer))
  {
    server_->inProgress_.fetch_add(1);
  }
  ~Exchange() override
  {
    if (!replied_.load()) {
      Send(http_response(500));
    }
  }

  const protocol::HttpRequest& Request() const override { return request_; }
  protocol::HttpRequest& MutableRequest() { return request_; }

  void Reply(protocol::HttpResponse aResponse) override
  {
    if (replied_.exchange(true)) {
      return;
    }
    http_response response = ToLibrary(aResponse);
    response.set_body(std::vector<unsigned char>(aResponse.body_.begin(),
                                                 aResponse.body_.end()));
    const auto type = aResponse.headers_.Find("Content-Type");
    response.headers().set_content_type(type.value_or("text/plain"));
    Send(response);
  }

  std::shared_ptr<BodyWriter> ReplyStream(protocol::HttpResponse aHead) override
  {
    auto writer = std::make_shared<Writer>();
    if (replied_.exchange(true)) {
      return writer;
    }
    http_response response = ToLibrary(aHead);
    const auto type = aHead.headers_.Find("Content-Type");
    response.set_body(
      concurrency::streams::istream(writer->Buffer().create_istream()),
      type.value_or("application/octet-stream"));
    Send(response);
    return writer;
  }

  void OnDisconnect(std::function<void()> aCallback) override
  {
    {
      const std::lock_guard lock(mutex_);
      if (!gone_) {
        onDisconnect_ = std::move(aCallback);
        return;
      }
    }
    aCallback();
  }

private:
  void Send(http_response aResponse)
  {
    if (server_->closesConnections_.load()) {
      aResponse.headers()[web::http::header_names::connection] = "close";
    }
    auto server = server_;
    std::weak_ptr<Exchange> weak = weak_from_this();
    library_.reply(aResponse).then(
      [server, weak](const pplx::task<void>& aTask) {
        server->inProgress_.fetch_sub(1);
        try {
          aTask.get();
        } catch (const std::exception&) {
          if (const auto self = weak.lock()) {
            self->Disconnected();
          }
        }
      });
  }

  void Disconnected()
  {
    std::function<void()> callback;
    {
      const std::lock_guard lock(mutex_);
      gone_ = true;
      callback = std::move(onDisconnect_);
    }
    if (callback) {
      callback();
    }
  }

  http_request library_;
  protocol::HttpRequest request_;
  std::shared_ptr<ServerState> server_;
  std::atomic<bool> replied_{ false };
  /// Held only around the two members below.
  std::mutex mutex_;
  bool gone_ = false;
  std::function<void()> onDisconnect_;
};

enum class BodyState : int
{
  Waiting,
  Complete,
  Refused,
};

} // namespace

struct HttpServer::Content
{
  HttpServerSettings settings_;
  HttpHandler handler_;
  RefusalMaker refusal_;
  std::unique_ptr<listener::http_listener> listener_;
  std::shared_ptr<ServerState> state_ = std::make_shared<ServerState>();

  void Accept(const std::shared_ptr<Content>& aSelf, http_request aRequest);
  /// aBody has completed; waiting for it here returns at once.
  void TakeBody(http_request& aRequest,
                const std::shared_ptr<Exchange>& aExchange,
                const pplx::task<std::vector<unsigned char>>& aBody) const;
  void Refuse(http_request& aRequest,
              const std::shared_ptr<Exchange>& aExchange,
              core::RefusalReason aReason,
              const std::string& aDetail) const;
};

// The library answers only once the whole body has arrived. Completing the
// message by hand lets the refusal out, and `Connection: close` then ends the
// connection, so that a body that never comes holds nothing.
void
HttpServer::Content::Refuse(http_request& aRequest,
                            const std::shared_ptr<Exchange>& aExchange,
                            core::RefusalReason aReason,
                            const std::string& aDetail) const
{
  protocol::HttpResponse response = refusal_(aReason, aDetail);
  response.headers_.Set("Connection", "close");
  aExchange->Reply(std::move(response));
  aRequest._get_impl()->_complete(0);
}

void
HttpServer::Content::Accept(const std::shared_ptr<Content>& aSelf,
                            http_request aRequest)
{
  auto exchange = std::make_shared<Exchange>(aRequest, Head(aRequest), state_);
  // The library takes a chunk size that it cannot parse for the end of the
  // body, so that a whole chunked body cannot be told from a damaged one.
  if (exchange->Request().headers_.Find("Transfer-Encoding")) {
    Refuse(aRequest,
           exchange,
           core::RefusalReason::LengthRequired,
           "send the body with a Content-Length, not chunked");
    return;
  }
  const auto length = exchange->Request().headers_.Find("Content-Length");
  if (length) {
    const bool numeric =
      !length->empty() && length->size() < 19 &&
      length->find_first_not_of("0123456789") == std::string::npos;
    if (!numeric) {
      Refuse(aRequest,
             exchange,
             core::RefusalReason::Malformed,
             "Content-Length is not a number");
      return;
    }
    if (std::stoull(*length) > settings_.bodyLimit_) {
      Refuse(aRequest,
             exchange,
             core::RefusalReason::BodyTooLarge,
             "the body is larger than " + std::to_string(settings_.bodyLimit_) +
               " bytes");
      return;
    }
  }
  if (state_->inProgress_.load() > settings_.requestLimit_) {
    Refuse(aRequest,
           exchange,
           core::RefusalReason::Overloaded,
           "too many requests in progress");
    return;
  }

  const pplx::task<std::vector<unsigned char>> body = aRequest.extract_vector();
  if (body.is_done()) {
    TakeBody(aRequest, exchange, body);
    return;
  }
  auto state = std::make_shared<std::atomic<BodyState>>(BodyState::Waiting);
  auto timeout = SharedTimer().After(
    settings_.bodyTimeout_, [aSelf, aRequest, exchange, state]() mutable {
      BodyState expected = BodyState::Waiting;
      if (state->compare_exchange_strong(expected, BodyState::Refused)) {
        aSelf->Refuse(aRequest,
                      exchange,
                      core::RefusalReason::BodyTimeout,
                      "the body did not arrive in time");
      }
    });
  body.then([aSelf, aRequest, exchange, state, timeout](
              const pplx::task<std::vector<unsigned char>>& aTask) mutable {
    timeout->Cancel();
    BodyState expected = BodyState::Waiting;
    if (state->compare_exchange_strong(expected, BodyState::Complete)) {
      aSelf->TakeBody(aRequest, exchange, aTask);
    }
  });
}

void
HttpServer::Content::TakeBody(
  http_request& aRequest,
  const std::shared_ptr<Exchange>& aExchange,
  const pplx::task<std::vector<unsigned char>>& aBody) const
{
  try {
    const std::vector<unsigned char> body = aBody.get();
    if (body.size() > settings_.bodyLimit_) {
      Refuse(aRequest,
             aExchange,
             core::RefusalReason::BodyTooLarge,
             "the body is too large");
      return;
    }
    aExchange->MutableRequest().body_.assign(body.begin(), body.end());
  } catch (const std::exception& error) {
    Refuse(aRequest,
           aExchange,
           core::RefusalReason::Malformed,
           std::string("the body could not be read: ") + error.what());
    return;
  }
  handler_(aExchange);
}

HttpServer::HttpServer(HttpServerSettings aSettings,
                       HttpHandler aHandler,
                       RefusalMaker aRefusal)
  : content_(std::make_shared<Content>())
{
  content_->settings_ = std::move(aSettings);
  content_->handler_ = std::move(aHandler);
  content_->refusal_ = std::move(aRefusal);
}

HttpServer::~HttpServer()
{
  Stop();
}

core::Status
HttpServer::Start()
{
  const HttpServerSettings& settings = content_->settings_;
  listener::http_listener_config config;
  const bool tls = settings.tls_.Enabled();
  const std::string base = std::string(tls ? "https" : "http") + "://" +
                           settings.address_ + ":" +
                           std::to_string(settings.port_);
  try {
    if (tls) {
      const auto files = std::make_shared<ListenerTls>(settings.tls_);
      config.set_ssl_context_callback(
        [files](boost::asio::ssl::context& aConnection) {
          files->Prepare(aConnection);
        });
    }
    content_->listener_ =
      std::make_unique<listener::http_listener>(web::uri(base), config);
    const std::shared_ptr<Content> content = content_;
    content_->listener_->support([content](const http_request& aRequest) {
      content->Accept(content, aRequest);
    });
    content_->listener_->open().wait();
  } catch (const std::exception& error) {
    content_->listener_.reset();
    return core::Error{ make_error_code(core::Errc::Unavailable),
                        "cannot listen on " + base + ": " + error.what() };
  }
  return core::Success{};
}

void
HttpServer::CloseConnections()
{
  content_->state_->closesConnections_.store(true);
}

void
HttpServer::Stop()
{
  if (!content_->listener_) {
    return;
  }
  try {
    content_->listener_->close().wait();
  } catch (const std::exception&) {
    // The listener is given up either way.
  }
  content_->listener_.reset();
}

std::size_t
HttpServer::InProgress() const
{
  return content_->state_->inProgress_.load();
}

void
StartHttpThreads(std::size_t aThreads)
{
  // The pool's threads run until the process has ended. OpenSSL's clean-up at
  // exit would take away the state of threads that still use it.
  OPENSSL_init_crypto(OPENSSL_INIT_NO_ATEXIT, nullptr);
  crossplat::threadpool::initialize_with_threads(aThreads);
}

} // namespace crocusslip::transport
