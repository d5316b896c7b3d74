#include "transport/HttpClient.hpp"

#include "transport/ClientConnection.hpp"

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace crocusslip::transport {

namespace {

using Connection = std::shared_ptr<ClientConnection>;

constexpr unsigned kMinThreads = 4;
/// Idle connections that are kept to one server, and for how long.
constexpr std::size_t kMaxIdle = 64;
constexpr std::chrono::seconds kIdleTime{ 30 };

bool
IsVisible(std::string_view aText)
{
  return std::ranges::none_of(
    aText, [](unsigned char aByte) { return aByte <= ' ' || aByte == 0x7f; });
}

/// Whether a value can't end its line.
bool
IsFieldValue(std::string_view aText)
{
  return aText.find_first_of(std::string_view("\r\n\0", 3)) ==
         std::string_view::npos;
}

/// The message to send; nothing when it would not be one request.
std::optional<ClientConnection::Request>
ToMessage(const ClientTarget& aTarget, const protocol::HttpRequest& aRequest)
{
  std::string target = aTarget.path_ + aRequest.path_;
  if (!target.starts_with('/')) {
    target.insert(0, "/");
  }
  if (!aRequest.query_.empty()) {
    target += "?" + aRequest.query_;
  }
  if (!IsVisible(target) || !IsVisible(aRequest.method_) ||
      aRequest.method_.empty()) {
    return std::nullopt;
  }
  ClientConnection::Request message;
  message.version(11);
  message.method_string(aRequest.method_);
  message.target(target);
  message.set(http::field::host, aTarget.authority_);
  for (const protocol::HttpHeader& header : aRequest.headers_.All()) {
    if (!IsVisible(header.name_) || !IsFieldValue(header.value_)) {
      return std::nullopt;
    }
    message.set(header.name_, header.value_);
  }
  message.erase(http::field::transfer_encoding);
  message.erase(http::field::content_length);
  if (!aRequest.body_.empty() &&
      message.find(http::field::content_type) == message.end()) {
    message.set(http::field::content_type, "application/octet-stream");
  }
  message.body() = aRequest.body_;
  message.prepare_payload();
  return message;
}

protocol::HttpResponse
ToResponse(const http::response_header<>& aHead)
{
  protocol::HttpResponse response;
  response.status_ = static_cast<std::uint16_t>(aHead.result_int());
  for (const auto& field : aHead) {
    const std::string name(field.name_string());
    std::string value(field.value());
    if (const auto before = response.headers_.Find(name)) {
      value.insert(0, *before + ", ");
    }
    response.headers_.Set(name, value);
  }
  return response;
}

// Only errors of opening the connection prove that no byte was sent; all
// others, timeouts included, may come after the request has arrived.
Delivery
DeliveryOf(const std::error_code& aCode)
{
  const bool refused = aCode == std::errc::connection_refused ||
                       aCode == std::errc::host_unreachable ||
                       aCode == std::errc::network_unreachable;
  return refused ? Delivery::NotSent : Delivery::MaybeSent;
}

CallFailure
ToFailure(const boost::system::error_code& aError)
{
  CallFailure failure;
  failure.delivery_ = DeliveryOf(aError);
  failure.error_.code_ = make_error_code(
    failure.delivery_ == Delivery::NotSent ? core::Errc::ConnectFailed
    : aError == beast::error::timeout      ? core::Errc::Timeout
                                           : core::Errc::ConnectionLost);
  failure.error_.detail_ = aError.message();
  return failure;
}

/// Connections that wait for their next request, by server.
class IdleConnections
{
public:
  /// One on which nothing has arrived since its last answer; may be null.
  Connection Take(const std::string& aServer)
  {
    const std::lock_guard lock(mutex_);
    std::vector<Idle>& idle = idle_[aServer];
    while (!idle.empty()) {
      const Idle last = std::move(idle.back());
      idle.pop_back();
      if (std::chrono::steady_clock::now() - last.since_ < kIdleTime &&
          last.connection_->Quiet()) {
        return last.connection_;
      }
    }
    return nullptr;
  }

  void Put(const std::string& aServer, Connection aConnection)
  {
    const std::lock_guard lock(mutex_);
    std::vector<Idle>& idle = idle_[aServer];
    if (idle.size() >= kMaxIdle) {
      idle.erase(idle.begin());
    }
    idle.push_back(
      { std::move(aConnection), std::chrono::steady_clock::now() });
  }

private:
  struct Idle
  {
    Connection connection_;
    std::chrono::steady_clock::time_point since_;
  };

  /// Held only around the map.
  std::mutex mutex_;
  std::map<std::string, std::vector<Idle>> idle_;
};

/// Runs on the executor of its connection.
class Call : public std::enable_shared_from_this<Call>
{
public:
  Call(HttpTarget aTarget,
       ClientTarget aServer,
       ClientConnection::Request aRequest,
       std::shared_ptr<HttpSink> aSink,
       std::size_t aLimit,
       IdleConnections& aIdle,
       const TlsFiles& aTls,
       const ClientConnection::Executor& aExecutor)
    : target_(std::move(aTarget))
    , server_(std::move(aServer))
    , request_(std::move(aRequest))
    , sink_(std::move(aSink))
    , limit_(aLimit)
    , idle_(aIdle)
    , tls_(aTls)
    , connection_(target_.freshConnection_ ? nullptr
                                           : idle_.Take(target_.base_))
    , executor_(connection_ ? connection_->GetExecutor() : aExecutor)
  {
  }

  void Start()
  {
    asio::co_spawn(
      executor_,
      [self = shared_from_this()] { return self->Run(); },
      [](const std::exception_ptr& aError) { LogUnexpected(aError); });
  }

  void Cancel()
  {
    asio::post(executor_, [self = shared_from_this()] {
      self->cancelled_ = true;
      if (self->connection_) {
        self->connection_->Close();
      }
    });
  }

private:
  Task<void> Run()
  {
    if (!co_await Ask()) {
      Fail(FailureOfAsking());
      co_return;
    }
    sink_->OnHead(ToResponse(connection_->Head()));
    std::size_t length = 0;
    while (true) {
      const auto part = co_await connection_->ReadBody();
      if (!part) {
        CallFailure failure = ToFailure(connection_->Failure());
        failure.delivery_ = Delivery::MaybeSent;
        Fail(failure);
        co_return;
      }
      if (part->empty()) {
        break;
      }
      length += part->size();
      if (length > limit_) {
        Fail({ { make_error_code(core::Errc::TooLarge),
                 "the answer is too large" },
               Delivery::MaybeSent });
        co_return;
      }
      sink_->OnData(*part);
    }
    if (!target_.freshConnection_ && !cancelled_ && connection_->Reusable()) {
      idle_.Put(target_.base_, std::move(connection_));
    }
    sink_->OnEnd();
  }

  /// Sends the request and reads the head of its answer.
  Task<bool> Ask()
  {
    if (connection_) {
      connection_->SetTimeout(target_.timeout_);
      if (co_await Exchange()) {
        co_return true;
      }
      // The server has closed a connection that was idle.
      const bool again = !connection_->HasAnswer() && !cancelled_ &&
                         connection_->Failure() != beast::error::timeout;
      if (!again) {
        co_return false;
      }
    }
    if (cancelled_ || !Open()) {
      co_return false;
    }
    const bool connected = co_await connection_->Connect(server_);
    if (!connected || cancelled_) {
      co_return false;
    }
    co_return co_await Exchange();
  }

  /// Fails when the files of TLS can't be read.
  bool Open()
  {
    connection_.reset();
    try {
      connection_ =
        std::make_shared<ClientConnection>(executor_, tls_, server_.tls_);
    } catch (const std::exception& error) {
      openFailure_ = error.what();
      return false;
    }
    connection_->SetTimeout(target_.timeout_);
    return true;
  }

  CallFailure FailureOfAsking() const
  {
    CallFailure failure;
    if (cancelled_) {
      failure = { { make_error_code(core::Errc::ConnectionLost), "cancelled" },
                  Delivery::MaybeSent };
    } else if (!connection_) {
      failure = { { make_error_code(core::Errc::ConnectFailed), openFailure_ },
                  Delivery::NotSent };
    } else {
      failure = ToFailure(connection_->Failure());
    }
    // It may have arrived on the pooled connection before.
    if (maybeSent_) {
      failure.delivery_ = Delivery::MaybeSent;
    }
    return failure;
  }

  Task<bool> Exchange()
  {
    const bool toHead = request_.method() == http::verb::head;
    maybeSent_ = true;
    const bool sent = co_await connection_->Send(request_);
    co_return sent&& co_await connection_->ReadHead(toHead);
  }

  void Fail(const CallFailure& aFailure)
  {
    if (connection_) {
      connection_->Close();
    }
    sink_->OnFailure(aFailure);
  }

  const HttpTarget target_;
  const ClientTarget server_;
  const ClientConnection::Request request_;
  const std::shared_ptr<HttpSink> sink_;
  /// Longest body.
  const std::size_t limit_;
  IdleConnections& idle_;
  const TlsFiles& tls_;
  Connection connection_;
  const ClientConnection::Executor executor_;
  std::string openFailure_;
  bool maybeSent_ = false;
  bool cancelled_ = false;
};

/// A call that may have ended, also with its client.
class CallHandle final : public HttpCall
{
public:
  explicit CallHandle(std::weak_ptr<Call> aCall)
    : call_(std::move(aCall))
  {
  }

  void Cancel() override
  {
    if (const auto call = call_.lock()) {
      call->Cancel();
    }
  }

private:
  const std::weak_ptr<Call> call_;
};

/// Collects an answer in memory.
class Collector final : public HttpSink
{
public:
  explicit Collector(HttpClient::WholeCallback aDone)
    : done_(std::move(aDone))
  {
  }

  void OnHead(const protocol::HttpResponse& aHead) override
  {
    response_ = aHead;
  }

  void OnData(std::string_view aBytes) override
  {
    response_.body_.append(aBytes);
  }

  void OnEnd() override { done_(std::move(response_), Delivery::MaybeSent); }

  void OnFailure(const CallFailure& aFailure) override
  {
    done_(aFailure.error_, aFailure.delivery_);
  }

private:
  HttpClient::WholeCallback done_;
  protocol::HttpResponse response_;
};

} // namespace

struct HttpClient::Content
{
  explicit Content(TlsFiles aTls)
    : tls_(std::move(aTls))
  {
    const unsigned count =
      std::max(kMinThreads, std::thread::hardware_concurrency());
    for (unsigned i = 0; i < count; ++i) {
      threads_.emplace_back([this] { RunLoop(loop_); });
    }
  }
  ~Content()
  {
    loop_.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
  }
  Content(const Content&) = delete;
  Content& operator=(const Content&) = delete;

  const TlsFiles tls_;
  asio::io_context loop_;
  const asio::executor_work_guard<asio::io_context::executor_type> work_{
    loop_.get_executor()
  };
  IdleConnections idle_;
  std::vector<std::thread> threads_;
};

HttpClient::HttpClient(TlsFiles aTls)
  : content_(std::make_unique<Content>(std::move(aTls)))
{
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall>
HttpClient::Start(const HttpTarget& aTarget,
                  const protocol::HttpRequest& aRequest,
                  const std::shared_ptr<HttpSink>& aSink,
                  std::size_t aLimit)
{
  const auto server = ParseTarget(aTarget.base_);
  auto message = server ? ToMessage(*server, aRequest)
                        : std::optional<ClientConnection::Request>();
  if (!message) {
    aSink->OnFailure({ { make_error_code(core::Errc::InvalidInput),
                         server ? "not one request" : "not an address" },
                       Delivery::NotSent });
    return std::make_shared<CallHandle>(std::weak_ptr<Call>());
  }
  const auto call = std::make_shared<Call>(aTarget,
                                           *server,
                                           std::move(*message),
                                           aSink,
                                           aLimit,
                                           content_->idle_,
                                           content_->tls_,
                                           asio::make_strand(content_->loop_));
  call->Start();
  return std::make_shared<CallHandle>(call);
}

std::shared_ptr<HttpCall>
HttpClient::Fetch(const HttpTarget& aTarget,
                  const protocol::HttpRequest& aRequest,
                  std::size_t aLimit,
                  WholeCallback aDone)
{
  return Start(
    aTarget, aRequest, std::make_shared<Collector>(std::move(aDone)), aLimit);
}

core::Result<protocol::HttpResponse>
HttpClient::FetchAndWait(const HttpTarget& aTarget,
                         const protocol::HttpRequest& aRequest,
                         std::size_t aLimit)
{
  using Answer = core::Result<protocol::HttpResponse>;
  auto promise = std::make_shared<std::promise<Answer>>();
  auto future = promise->get_future();
  const auto call =
    Fetch(aTarget, aRequest, aLimit, [promise](Answer aAnswer, Delivery) {
      promise->set_value(std::move(aAnswer));
    });
  return future.get();
}

} // namespace crocusslip::transport
