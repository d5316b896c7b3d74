#include "fakes/Engine.hpp"

#include "fakes/Generation.hpp"
#include "protocol/EngineDialect.hpp"
#include "transport/Timer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace crocusslip::fakes {

namespace {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;

constexpr std::string_view kRepository = "/v2/repository/models/";
constexpr std::uint32_t kDefaultTokens = 16;

HttpResponse
Problem(std::uint16_t aStatus, const std::string& aMessage)
{
  HttpResponse response = HttpResponse::Json(
    aStatus, json({ { "error", { { "message", aMessage } } } }).dump());
  response.headers_.Set(protocol::kNotRunHeader, "1");
  return response;
}

json
BodyOf(const HttpRequest& aRequest)
{
  const json body = json::parse(aRequest.body_, nullptr, false);
  return body.is_object() ? body : json::object();
}

std::uint64_t
NumberOf(const json& aObject, const char* aKey, std::uint64_t aDefault)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_number_unsigned()
           ? found->get<std::uint64_t>()
           : aDefault;
}

std::string
TextOf(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

} // namespace

Engine::Engine(EngineSettings aSettings,
               EventLog& aLog,
               transport::HttpClient& aClient)
  : settings_(std::move(aSettings))
  , log_(aLog)
  , client_(aClient)
  , instance_(
      settings_.name_ + "-" +
      std::to_string(core::SystemClock().WallNow().time_since_epoch().count()))
{
}

void
Engine::Handle(const ExchangePtr& aExchange)
{
  const HttpRequest& request = aExchange->Request();
  const std::string& path = request.path_;
  if (path == "/metrics") {
    Metrics(aExchange);
    return;
  }
  if (path == "/fake/faults") {
    SetFaults(aExchange);
    return;
  }
  if (path == "/v1/completions" || path == "/v1/chat/completions") {
    Complete(aExchange, path == "/v1/chat/completions");
    return;
  }
  if (path.compare(0, kStreamPath.size(), kStreamPath) == 0) {
    HandleStreams(aExchange);
    return;
  }
  if (Fenced(request)) {
    aExchange->Reply(Problem(412, "a newer fencing number was seen"));
    return;
  }
  const json body = BodyOf(request);
  if (path == "/v2/repository/index") {
    Index(aExchange);
  } else if (path == "/v1/load_lora_adapter") {
    Load(aExchange,
         TextOf(body, "lora_name"),
         core::Bytes(NumberOf(body, "memory_bytes", 0)),
         TextOf(body, "lora_path"),
         true);
  } else if (path == "/v1/unload_lora_adapter") {
    Unload(aExchange, TextOf(body, "lora_name"));
  } else if (path.compare(0, kRepository.size(), kRepository) == 0) {
    const std::size_t end = path.rfind('/');
    const std::string name =
      path.substr(kRepository.size(),
                  std::max(end, kRepository.size()) - kRepository.size());
    if (path.substr(end) == "/load") {
      const json parameters = body.value("parameters", json::object());
      Load(aExchange,
           name,
           core::Bytes(NumberOf(parameters, "memory_bytes", 0)),
           TextOf(parameters, "checkpoint") + "@" +
             TextOf(parameters, "version"),
           false);
    } else {
      Unload(aExchange, name);
    }
  } else {
    aExchange->Reply(Problem(404, "no such path"));
  }
}

bool
Engine::Fenced(const HttpRequest& aRequest)
{
  const auto header = aRequest.headers_.Find(protocol::kFencingHeader);
  if (!header || !settings_.checksFencing_) {
    return false;
  }
  const std::uint64_t fencing = std::strtoull(header->c_str(), nullptr, 10);
  const std::lock_guard lock(mutex_);
  if (fencing < highestFencing_) {
    return true;
  }
  highestFencing_ = fencing;
  return false;
}

core::Bytes
Engine::Used() const
{
  core::Bytes used;
  for (const auto& [name, artifact] : artifacts_) {
    used += artifact.memory_;
  }
  return used;
}

void
Engine::Index(const ExchangePtr& aExchange)
{
  json list = json::array();
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [name, artifact] : artifacts_) {
      const char* state = artifact.phase_ == Phase::Ready     ? "READY"
                          : artifact.phase_ == Phase::Loading ? "LOADING"
                                                              : "UNLOADING";
      list.push_back({ { "name", name },
                       { "state", state },
                       { "memory_bytes", artifact.memory_.Count() } });
    }
  }
  HttpResponse response = HttpResponse::Json(200, list.dump());
  response.headers_.Set(protocol::kInstanceHeader, instance_);
  aExchange->Reply(std::move(response));
}

// Lists the artifacts with each change, so that the number of replicas and the
// memory in use can be judged at every moment.
void
Engine::LogState(const std::string& aEvent, const std::string& aName)
{
  json artifacts = json::array();
  for (const auto& [name, artifact] : artifacts_) {
    artifacts.push_back(name);
  }
  log_.Add(aEvent,
           "\"engine\":" + json(settings_.name_).dump() + ",\"name\":" +
             json(aName).dump() + ",\"artifacts\":" + artifacts.dump() +
             ",\"used\":" + std::to_string(Used().Count()) +
             ",\"memory\":" + std::to_string(settings_.memory_.Count()));
}

void
Engine::SetFaults(const ExchangePtr& aExchange)
{
  const json body = BodyOf(aExchange->Request());
  {
    const std::lock_guard lock(mutex_);
    faults_.leaving_ = body.value("leaving", faults_.leaving_);
    faults_.loseOrderAnswers_ =
      body.value("lose_order_answers", faults_.loseOrderAnswers_);
    faults_.breakStreamAfter_ =
      NumberOf(body, "break_stream_after", faults_.breakStreamAfter_);
    faults_.breakStreams_ =
      NumberOf(body, "break_streams", faults_.breakStreams_);
    faults_.breakNewStreams_ =
      body.value("break_new_streams", faults_.breakNewStreams_);
    faults_.breakInsideEvent_ =
      body.value("break_inside_event", faults_.breakInsideEvent_);
    faults_.otherGeneration_ =
      body.value("other_generation", faults_.otherGeneration_);
    faults_.otherTokens_ = body.value("other_tokens", faults_.otherTokens_);
    faults_.forgetStreams_ =
      body.value("forget_streams", faults_.forgetStreams_);
  }
  aExchange->Reply(HttpResponse::Json(200, "{}"));
}

// A lost answer leaves the sender waiting until it gives up its connection.
void
Engine::AnswerOrder(const ExchangePtr& aExchange, HttpResponse aResponse)
{
  bool lost = false;
  {
    const std::lock_guard lock(mutex_);
    lost = faults_.loseOrderAnswers_;
  }
  if (!lost) {
    aExchange->Reply(std::move(aResponse));
    return;
  }
  constexpr std::chrono::seconds kHeld{ 60 };
  transport::SharedTimer().After(
    kHeld, [aExchange] { aExchange->Reply(Problem(500, "lost")); });
}

void
Engine::Load(const ExchangePtr& aExchange,
             const std::string& aName,
             core::Bytes aMemory,
             const std::string& aRevision,
             bool aAdapter)
{
  {
    const std::lock_guard lock(mutex_);
    const auto found = artifacts_.find(aName);
    if (found != artifacts_.end()) {
      aExchange->Reply(found->second.phase_ == Phase::Ready
                         ? HttpResponse::Json(200, "{}")
                         : Problem(409, "busy"));
      return;
    }
    artifacts_[aName] = { Phase::Loading, aMemory, 0, aRevision };
    // An engine loads what it is told to: whether memory suffices is the
    // sender's decision, and the log shows when it did not.
    LogState("load", aName);
  }
  const auto time = aAdapter ? settings_.adapterLoadTime_ : settings_.loadTime_;
  if (settings_.store_.empty()) {
    transport::SharedTimer().After(
      time, [this, aExchange, aName] { Loaded(aExchange, aName); });
    return;
  }
  protocol::HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/weights";
  request.query_ =
    "ms=" + std::to_string(time.count()) + (aAdapter ? "&adapter=1" : "");
  constexpr std::size_t kLimit = 4096;
  constexpr std::chrono::seconds kStoreTimeout{ 120 };
  client_.Fetch({ settings_.store_, kStoreTimeout },
                request,
                kLimit,
                [this, aExchange, aName](const auto&, transport::Delivery) {
                  Loaded(aExchange, aName);
                });
}

void
Engine::Loaded(const ExchangePtr& aExchange, const std::string& aName)
{
  {
    const std::lock_guard lock(mutex_);
    artifacts_[aName].phase_ = Phase::Ready;
    LogState("loaded", aName);
  }
  AnswerOrder(aExchange, HttpResponse::Json(200, "{}"));
}

void
Engine::Unload(const ExchangePtr& aExchange, const std::string& aName)
{
  {
    const std::lock_guard lock(mutex_);
    const auto found = artifacts_.find(aName);
    if (found != artifacts_.end()) {
      found->second.phase_ = Phase::Unloading;
      if (found->second.running_ > 0) {
        transport::SharedTimer().After(
          std::chrono::milliseconds(20),
          [this, aExchange, aName] { Unload(aExchange, aName); });
        return;
      }
      artifacts_.erase(found);
      LogState("unloaded", aName);
    }
  }
  AnswerOrder(aExchange, HttpResponse::Json(200, "{}"));
}

void
Engine::Complete(const ExchangePtr& aExchange, bool aChat)
{
  const std::string& text = aExchange->Request().body_;
  if (!settings_.crashOn_.empty() &&
      text.find(settings_.crashOn_) != std::string::npos) {
    log_.Add("crash", "\"engine\":" + json(settings_.name_).dump());
    std::_Exit(1);
  }
  const json body = BodyOf(aExchange->Request());
  auto generation = std::make_shared<Generation>();
  generation->exchange_ = aExchange;
  generation->model_ = TextOf(body, "model");
  generation->chat_ = aChat;
  generation->wanted_ = NumberOf(body, "max_tokens", kDefaultTokens);
  {
    const std::lock_guard lock(mutex_);
    if (faults_.leaving_) {
      log_.Add("offered", "\"engine\":" + json(settings_.name_).dump());
      HttpResponse response = Problem(503, "leaving");
      response.headers_.Set(protocol::kNotRunHeader, "leaving");
      aExchange->Reply(std::move(response));
      return;
    }
    const auto found = artifacts_.find(generation->model_);
    if (found == artifacts_.end() || found->second.phase_ != Phase::Ready) {
      aExchange->Reply(Problem(404, "model is not loaded"));
      return;
    }
    if (running_ >= settings_.slots_ * 4) {
      aExchange->Reply(Problem(503, "too many requests"));
      return;
    }
    ++running_;
    ++found->second.running_;
    generation->revision_ = found->second.revision_;
    generation->generationId_ =
      settings_.name_ + "-" + std::to_string(nextGeneration_++);
  }
  log_.Add("run",
           "\"engine\":" + json(settings_.name_).dump() +
             ",\"model\":" + json(generation->model_).dump() + ",\"request\":" +
             json(aExchange->Request()
                    .headers_.Find(protocol::kRequestHeader)
                    .value_or(""))
               .dump());
  generation->id_ =
    "cmpl-" +
    aExchange->Request().headers_.Find(protocol::kRequestHeader).value_or("0");
  const auto stream = body.find("stream");
  if (stream != body.end() && stream->is_boolean() && stream->get<bool>()) {
    StartStream(generation);
  }
  transport::SharedTimer().After(settings_.firstToken_,
                                 [this, generation] { NextToken(generation); });
}

void
Engine::Finish(const std::shared_ptr<Generation>& aGeneration)
{
  {
    const std::lock_guard lock(mutex_);
    --running_;
    const auto found = artifacts_.find(aGeneration->model_);
    if (found != artifacts_.end() && found->second.running_ > 0) {
      --found->second.running_;
    }
  }
  if (aGeneration->writer_) {
    if (!aGeneration->cancelled_.load()) {
      aGeneration->writer_->Write("data: [DONE]\n\n");
    }
    aGeneration->writer_->Finish();
    aGeneration->writer_.reset();
    aGeneration->exchange_.reset();
    return;
  }
  json choice = { { "index", 0 }, { "finish_reason", "length" } };
  if (aGeneration->chat_) {
    choice["message"] = { { "role", "assistant" },
                          { "content", aGeneration->text_ } };
  } else {
    choice["text"] = aGeneration->text_;
  }
  aGeneration->exchange_->Reply(HttpResponse::Json(
    200,
    json({ { "id", aGeneration->id_ },
           { "model", aGeneration->model_ },
           { "choices", json::array({ choice }) },
           { "usage", { { "completion_tokens", aGeneration->tokens_ } } } })
      .dump()));
}

void
Engine::Metrics(const ExchangePtr& aExchange)
{
  std::uint32_t running = 0;
  {
    const std::lock_guard lock(mutex_);
    running = running_;
  }
  const std::uint32_t now = std::min(running, settings_.slots_);
  aExchange->Reply(HttpResponse::Text(
    200,
    "engine_requests_running " + std::to_string(now) +
      "\nengine_requests_waiting " + std::to_string(running - now) + "\n"));
}

} // namespace crocusslip::fakes
