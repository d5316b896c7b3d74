#include "fakes/Engine.hpp"
#include "fakes/Generation.hpp"
#include "protocol/EngineDialect.hpp"
#include "transport/Timer.hpp"

#include <nlohmann/json.hpp>

#include <cstdlib>

namespace crocusslip::fakes {

namespace {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;

constexpr std::size_t kMostKept = 256;

HttpResponse
Unknown(const std::string& aMessage)
{
  return HttpResponse::Json(
    404, json({ { "error", { { "message", aMessage } } } }).dump());
}

std::string
EventOf(const Generation& aGeneration, const std::string& aToken)
{
  json choice = { { "index", 0 }, { "finish_reason", nullptr } };
  if (aGeneration.chat_) {
    choice["delta"] = { { "content", aToken } };
  } else {
    choice["text"] = aToken;
  }
  const json event = { { "id", aGeneration.id_ },
                       { "model", aGeneration.model_ },
                       { "choices", json::array({ choice }) } };
  return "data: " + event.dump() + "\n\n";
}

void
CopyState(const Generation& aFrom, Generation& aTo)
{
  aTo.model_ = aFrom.model_;
  aTo.id_ = aFrom.id_;
  aTo.generationId_ = aFrom.generationId_;
  aTo.revision_ = aFrom.revision_;
  aTo.chat_ = aFrom.chat_;
  aTo.wanted_ = aFrom.wanted_;
}

std::string
TokenOf(const Generation& aGeneration)
{
  return "t" + std::to_string(aGeneration.tokens_) + aGeneration.mark_ + " ";
}

} // namespace

// Sends the head of a stream that starts at the generation's position.
void
Engine::StartStream(const std::shared_ptr<Generation>& aGeneration)
{
  HttpResponse head;
  head.headers_.Set("Content-Type", "text/event-stream");
  head.headers_.Set(protocol::kGenerationHeader, aGeneration->generationId_);
  head.headers_.Set(protocol::kRevisionHeader, aGeneration->revision_);
  head.headers_.Set(protocol::kFromHeader,
                    std::to_string(aGeneration->tokens_));
  {
    const std::lock_guard lock(mutex_);
    const bool breaks = aGeneration->tokens_ == 0 || !faults_.breakNewStreams_;
    aGeneration->breakAfter_ = breaks ? faults_.breakStreamAfter_ : 0;
    if (settings_.resumes_) {
      head.headers_.Set(protocol::kResumeHeader, aGeneration->generationId_);
    }
    if (settings_.exports_) {
      head.headers_.Set(protocol::kKvExportHeader, "1");
    }
    if (settings_.resumes_ || settings_.exports_) {
      if (kept_.size() >= kMostKept) {
        kept_.erase(kept_.begin());
      }
      kept_[aGeneration->generationId_] = aGeneration;
    }
  }
  aGeneration->writer_ = aGeneration->exchange_->ReplyStream(head);
  std::weak_ptr<Generation> weak = aGeneration;
  aGeneration->exchange_->OnDisconnect([weak] {
    if (const auto self = weak.lock()) {
      self->cancelled_.store(true);
    }
  });
}

void
Engine::HandleStreams(const ExchangePtr& aExchange)
{
  const std::string rest =
    aExchange->Request().path_.substr(kStreamPath.size());
  const std::size_t slash = rest.find('/');
  const std::string action =
    slash == std::string::npos ? "" : rest.substr(slash + 1);
  if (rest == "import") {
    Import(aExchange);
  } else if (action == "export") {
    Export(aExchange, rest.substr(0, slash));
  } else if (action == "kv") {
    SendExport(aExchange, rest.substr(0, slash));
  } else {
    Resume(aExchange, rest);
  }
}

// Sends a stream that goes on at the generation's position.
void
Engine::Continue(const std::shared_ptr<Generation>& aGeneration,
                 const std::string& aEvent)
{
  {
    const std::lock_guard lock(mutex_);
    if (faults_.otherGeneration_) {
      aGeneration->generationId_ += "-other";
    }
    if (faults_.otherGeneration_ || faults_.otherTokens_) {
      aGeneration->mark_ = "x";
    }
    ++running_;
    ++artifacts_[aGeneration->model_].running_;
  }
  log_.Add(aEvent,
           "\"engine\":" + json(settings_.name_).dump() +
             ",\"generation\":" + json(aGeneration->generationId_).dump() +
             ",\"from\":" + std::to_string(aGeneration->tokens_));
  StartStream(aGeneration);
  NextToken(aGeneration);
}

void
Engine::Resume(const ExchangePtr& aExchange, const std::string& aId)
{
  const std::string from =
    aExchange->Request().headers_.Find(protocol::kLastEventHeader).value_or("");
  auto generation = std::make_shared<Generation>();
  {
    const std::lock_guard lock(mutex_);
    const auto found = kept_.find(aId);
    if (found == kept_.end() || faults_.forgetStreams_ || !settings_.resumes_) {
      aExchange->Reply(Unknown("no such stream"));
      return;
    }
    CopyState(*found->second, *generation);
  }
  generation->exchange_ = aExchange;
  generation->tokens_ = std::strtoull(from.c_str(), nullptr, 10);
  Continue(generation, "resume");
}

// The cache is exported in whole blocks, and so may lack the last tokens.
void
Engine::Export(const ExchangePtr& aExchange, const std::string& aId)
{
  constexpr std::uint64_t kBlock = 4;
  const HttpRequest& request = aExchange->Request();
  const json body = json::parse(request.body_, nullptr, false);
  const auto most = body.is_object()
                      ? body.value("max_tokens", std::uint64_t{ 0 })
                      : std::uint64_t{ 0 };
  {
    const std::lock_guard lock(mutex_);
    if (!kept_.contains(aId) || faults_.forgetStreams_ || !settings_.exports_) {
      aExchange->Reply(Unknown("no such stream"));
      return;
    }
  }
  const std::uint64_t tokens = most / kBlock * kBlock;
  const std::string location = "http://" +
                               request.headers_.Find("Host").value_or("") +
                               std::string(kStreamPath) + aId + "/kv";
  aExchange->Reply(HttpResponse::Json(
    200,
    json({ { "export", location + "?tokens=" + std::to_string(tokens) },
           { "tokens", tokens } })
      .dump()));
}

void
Engine::SendExport(const ExchangePtr& aExchange, const std::string& aId)
{
  const auto tokens = aExchange->Request().Parameter("tokens").value_or("0");
  json state;
  {
    const std::lock_guard lock(mutex_);
    const auto found = kept_.find(aId);
    if (found == kept_.end()) {
      aExchange->Reply(Unknown("no such stream"));
      return;
    }
    const Generation& kept = *found->second;
    state = { { "id", kept.id_ },
              { "generation", kept.generationId_ },
              { "chat", kept.chat_ },
              { "wanted", kept.wanted_ },
              { "tokens", std::strtoull(tokens.c_str(), nullptr, 10) } };
  }
  aExchange->Reply(HttpResponse::Json(200, state.dump()));
}

void
Engine::Import(const ExchangePtr& aExchange)
{
  const json body = json::parse(aExchange->Request().body_, nullptr, false);
  if (!body.is_object() || !settings_.exports_) {
    aExchange->Reply(Unknown("no import"));
    return;
  }
  const std::string model = body.value("model", "");
  const std::string location = body.value("export", "");
  constexpr std::string_view kScheme = "http://";
  const std::size_t path = location.find('/', kScheme.size());
  const std::size_t query = location.find('?');
  if (path == std::string::npos || query == std::string::npos) {
    aExchange->Reply(Unknown("no such export"));
    return;
  }
  HttpRequest request;
  request.method_ = "GET";
  request.path_ = location.substr(path, query - path);
  request.query_ = location.substr(query + 1);
  constexpr std::size_t kLimit = 4096;
  client_.Fetch(
    { location.substr(0, path) },
    request,
    kLimit,
    [this, aExchange, model](const auto& aAnswer, transport::Delivery) {
      Imported(aExchange, model, aAnswer.Ok() ? aAnswer.Value().body_ : "");
    });
}

void
Engine::Imported(const ExchangePtr& aExchange,
                 const std::string& aModel,
                 const std::string& aState)
{
  const json state = json::parse(aState, nullptr, false);
  auto generation = std::make_shared<Generation>();
  {
    const std::lock_guard lock(mutex_);
    const auto found = artifacts_.find(aModel);
    const bool ready =
      found != artifacts_.end() && found->second.phase_ == Phase::Ready;
    if (!state.contains("generation") || !ready) {
      aExchange->Reply(Unknown("the export or the model is missing"));
      return;
    }
    generation->revision_ = found->second.revision_;
  }
  generation->exchange_ = aExchange;
  generation->model_ = aModel;
  generation->id_ = state.value("id", "");
  generation->generationId_ = state.value("generation", "");
  generation->chat_ = state.value("chat", false);
  generation->wanted_ = state.value("wanted", std::uint64_t{ 0 });
  generation->tokens_ = state.value("tokens", std::uint64_t{ 0 });
  Continue(generation, "import");
}

// Ends a stream without its closing event, if the fault still holds.
void
Engine::BreakStream(Generation& aGeneration)
{
  bool inside = false;
  {
    const std::lock_guard lock(mutex_);
    inside = faults_.breakInsideEvent_;
    if (faults_.breakStreams_ > 0 && --faults_.breakStreams_ == 0) {
      faults_.breakStreamAfter_ = 0;
    }
  }
  if (inside) {
    const std::string event = EventOf(aGeneration, TokenOf(aGeneration));
    aGeneration.writer_->Write(event.substr(0, event.size() / 2));
  }
  aGeneration.cancelled_.store(true);
}

void
Engine::NextToken(const std::shared_ptr<Generation>& aGeneration)
{
  const bool done = aGeneration->tokens_ >= aGeneration->wanted_;
  if (aGeneration->cancelled_.load() || done) {
    Finish(aGeneration);
    return;
  }
  const std::string token = TokenOf(*aGeneration);
  ++aGeneration->tokens_;
  aGeneration->text_ += token;
  if (aGeneration->writer_) {
    aGeneration->writer_->Write(EventOf(*aGeneration, token));
  }
  if (aGeneration->breakAfter_ > 0 &&
      aGeneration->tokens_ >= aGeneration->breakAfter_) {
    BreakStream(*aGeneration);
    Finish(aGeneration);
    return;
  }
  if (aGeneration->tokens_ >= aGeneration->wanted_) {
    Finish(aGeneration);
    return;
  }
  transport::SharedTimer().After(
    settings_.betweenTokens_, [this, aGeneration] { NextToken(aGeneration); });
}

} // namespace crocusslip::fakes
