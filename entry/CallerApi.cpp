#include "entry/CallerApi.hpp"

#include "coordination/CrashGuard.hpp"
#include "protocol/EngineDialect.hpp"
#include "protocol/OpenAiRequest.hpp"
#include "transport/Sha256.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace crocusslip::entry {

namespace {

using core::RefusalReason;
using protocol::HttpRequest;
using protocol::HttpResponse;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxKeyLength = 256;

std::string
KeyDigest(const HttpRequest& aRequest)
{
  const auto header = aRequest.headers_.Find("Authorization");
  if (!header || header->compare(0, kBearer.size(), kBearer) != 0) {
    return {};
  }
  return transport::Sha256Hex(header->substr(kBearer.size()));
}

// The deadline requested by the caller, limited by the deployment's settings.
// Returns nullopt if the header is not a positive number of milliseconds.
std::optional<core::Duration>
DeadlineOf(const HttpRequest& aRequest,
           const state::DeploymentSettings& aSettings)
{
  const auto header = aRequest.headers_.Find(protocol::kDeadlineHeader);
  if (!header) {
    return aSettings.deadlineDefault_;
  }
  std::int64_t milliseconds = 0;
  const char* end = header->data() + header->size();
  const auto parsed = std::from_chars(header->data(), end, milliseconds);
  const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(
                      aSettings.deadlineMax_)
                      .count();
  if (parsed.ptr != end || parsed.ec != std::errc() || milliseconds <= 0) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::min<std::int64_t>(milliseconds, most));
}

} // namespace

CallerApi::CallerApi(Dispatcher& aDispatcher,
                     const core::Clock& aClock,
                     core::MetricsRegistry& aMetrics,
                     std::string aHost,
                     std::uint64_t aInstance)
  : dispatcher_(aDispatcher)
  , clock_(aClock)
  , metrics_(aMetrics)
  , requestPrefix_(std::move(aHost) + "-" + std::to_string(aInstance) + "-")
{
}

protocol::HttpResponse
CallerApi::Refuse(RefusalReason aReason, std::string aDetail)
{
  return dispatcher_.Refuse(
    { aReason, core::Ran::NotRun, std::move(aDetail), std::nullopt });
}

bool
CallerApi::HandleProbe(const ExchangePtr& aExchange)
{
  const std::string& path = aExchange->Request().path_;
  if (path == "/livez") {
    aExchange->Reply(HttpResponse::Text(200, "ok\n"));
    return true;
  }
  if (path == "/readyz") {
    const bool ready = ready_.load() && dispatcher_.Ready();
    aExchange->Reply(ready ? HttpResponse::Text(200, "ready\n")
                           : HttpResponse::Text(503, "not ready\n"));
    return true;
  }
  if (path == "/metrics") {
    aExchange->Reply(HttpResponse::Text(200, metrics_.Text()));
    return true;
  }
  return false;
}

void
CallerApi::Handle(const ExchangePtr& aExchange)
{
  if (HandleProbe(aExchange)) {
    return;
  }
  const HttpRequest& request = aExchange->Request();
  const bool models = request.path_ == "/v1/models";
  const bool completion = request.path_ == "/v1/completions" ||
                          request.path_ == "/v1/chat/completions";
  if (models && request.method_ == "GET") {
    HandleModels(aExchange);
    return;
  }
  if (completion && request.method_ == "POST") {
    HandleModelRequest(aExchange);
    return;
  }
  if (models || completion) {
    HttpResponse response =
      Refuse(RefusalReason::MethodNotAllowed, "wrong method for this path");
    response.headers_.Set("Allow", models ? "GET" : "POST");
    aExchange->Reply(std::move(response));
    return;
  }
  HandleService(aExchange);
}

void
CallerApi::HandleModels(const ExchangePtr& aExchange)
{
  const auto models = dispatcher_.ModelsFor(KeyDigest(aExchange->Request()));
  if (!models) {
    aExchange->Reply(
      Refuse(RefusalReason::Unauthorized, "the key is not known"));
    return;
  }
  nlohmann::json list = nlohmann::json::array();
  for (const core::DeploymentId& id : *models) {
    list.push_back({ { "id", id.Value() },
                     { "object", "model" },
                     { "owned_by", "crocusslip" } });
  }
  aExchange->Reply(HttpResponse::Json(
    200, nlohmann::json({ { "object", "list" }, { "data", list } }).dump()));
}

std::shared_ptr<Request>
CallerApi::NewRequest(const ExchangePtr& aExchange, const Access& aAccess)
{
  const HttpRequest& http = aExchange->Request();
  if (aAccess.refused_) {
    aExchange->Reply(dispatcher_.Refuse(*aAccess.refused_));
    return nullptr;
  }
  const state::DeploymentSettings& settings = *aAccess.settings_;
  if (http.body_.size() > settings.bodyLimit_.Count()) {
    aExchange->Reply(Refuse(RefusalReason::BodyTooLarge,
                            "the deployment takes bodies of up to " +
                              std::to_string(settings.bodyLimit_.Count()) +
                              " bytes"));
    return nullptr;
  }
  const auto deadline = DeadlineOf(http, settings);
  if (!deadline) {
    aExchange->Reply(Refuse(RefusalReason::Malformed,
                            std::string(protocol::kDeadlineHeader) +
                              " must be a positive number of milliseconds"));
    return nullptr;
  }
  auto request = std::make_shared<Request>();
  request->id_ =
    core::RequestId(requestPrefix_ + std::to_string(nextRequest_++));
  request->exchange_ = aExchange;
  request->settings_ = aAccess.settings_;
  request->caller_ = aAccess.caller_;
  request->priority_ = aAccess.priority_;
  request->deadline_ = clock_.Now() + *deadline;
  request->fingerprint_ = coordination::FingerprintOf(
    settings.id_,
    http.method_ + " " + http.path_ + "?" + http.query_ + "\n" + http.body_);
  return request;
}

void
CallerApi::Submit(const std::shared_ptr<Request>& aRequest)
{
  std::weak_ptr<Request> weak = aRequest;
  Dispatcher& dispatcher = dispatcher_;
  aRequest->exchange_->OnDisconnect([weak, &dispatcher] {
    if (const auto request = weak.lock()) {
      dispatcher.Cancel(request);
    }
  });
  dispatcher_.Submit(aRequest);
}

void
CallerApi::HandleModelRequest(const ExchangePtr& aExchange)
{
  const auto parsed = protocol::ReadOpenAiRequest(aExchange->Request().body_);
  if (!parsed.Ok()) {
    aExchange->Reply(
      Refuse(RefusalReason::Malformed, parsed.Failure().detail_));
    return;
  }
  const Access access = dispatcher_.FindDeployment(
    parsed.Value().model_, KeyDigest(aExchange->Request()));
  const auto request = NewRequest(aExchange, access);
  if (!request) {
    return;
  }
  request->wantsStream_ = parsed.Value().stream_;
  request->deterministic_ = parsed.Value().deterministic_;
  if (access.settings_->prefixAffinity_) {
    request->prefixBlocks_ = parsed.Value().prefixBlocks_;
  }
  Submit(request);
}

void
CallerApi::HandleService(const ExchangePtr& aExchange)
{
  const HttpRequest& http = aExchange->Request();
  const Access access = dispatcher_.FindService(http.path_, KeyDigest(http));
  const auto request = NewRequest(aExchange, access);
  if (!request) {
    return;
  }
  const state::DeploymentSettings& settings = *access.settings_;
  request->idempotent_ = !settings.IsNonIdempotent(http.method_, http.path_);
  const auto key = http.headers_.Find("Idempotency-Key");
  if (!request->idempotent_ && key) {
    if (key->empty() || key->size() > kMaxKeyLength) {
      aExchange->Reply(Refuse(RefusalReason::Malformed,
                              "Idempotency-Key must have 1 to 256 characters"));
      return;
    }
    request->key_ = *key;
  }
  if (!request->idempotent_ && !key && settings.requireIdempotencyKey_) {
    aExchange->Reply(
      Refuse(RefusalReason::Malformed, "this call needs an Idempotency-Key"));
    return;
  }
  Submit(request);
}

} // namespace crocusslip::entry
