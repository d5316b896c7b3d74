#include "load/LoadRun.hpp"

#include "protocol/EngineDialect.hpp"
#include "protocol/StreamTracker.hpp"
#include "transport/Timer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocusslip::load {

namespace {

using nlohmann::json;

/// Time beyond the deadline after which a request counts as timed out.
constexpr std::chrono::milliseconds kGrace{ 2000 };
constexpr std::size_t kBodyKept = 4096;
constexpr std::chrono::milliseconds kReadyInterval{ 250 };

std::string
ReasonOf(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object() || !body.contains("reason")) {
    return "no_problem_document";
  }
  return body.value("reason", std::string()) + "/" +
         body.value("ran", std::string());
}

} // namespace

class LoadRun::Sink final
  : public transport::HttpSink
  , public std::enable_shared_from_this<Sink>
{
public:
  Sink(LoadRun& aRun,
       std::uint32_t aConnection,
       std::uint64_t aNumber,
       bool aStream)
    : run_(aRun)
    , connection_(aConnection)
    , number_(aNumber)
    , stream_(aStream)
    , begin_(run_.clock_.Now())
  {
  }

  void OnHead(const protocol::HttpResponse& aHead) override
  {
    sample_.status_ = aHead.status_;
  }

  void OnData(std::string_view aBytes) override
  {
    const core::MonotonicTime now = run_.clock_.Now();
    if (sample_.firstByte_ == std::chrono::nanoseconds::zero()) {
      sample_.firstByte_ = now - begin_;
    } else {
      gaps_.push_back(now - last_);
    }
    last_ = now;
    tracker_.Add(aBytes);
    if (body_.size() < kBodyKept) {
      body_.append(aBytes.substr(0, kBodyKept));
    }
  }

  void OnEnd() override
  {
    if (sample_.status_ >= 400) {
      sample_.ending_ = Ending::Refused;
      sample_.reason_ = ReasonOf(body_);
    } else if (stream_ && !tracker_.Closed()) {
      const bool told = body_.find("event: error") != std::string::npos;
      sample_.ending_ = told ? Ending::Refused : Ending::Cut;
      sample_.reason_ = "stream_broken/unknown";
    }
    End();
  }

  void OnFailure(const transport::CallFailure& aFailure) override
  {
    sample_.ending_ =
      aFailure.delivery_ == transport::Delivery::NotSent ? Ending::NotConnected
      : aFailure.error_.code_ == core::Errc::Timeout     ? Ending::TimedOut
                                                         : Ending::Cut;
    sample_.reason_ = aFailure.error_.Message();
    End();
  }

private:
  void End()
  {
    sample_.total_ = run_.clock_.Now() - begin_;
    run_.Ended(connection_, number_, sample_, gaps_);
  }

  LoadRun& run_;
  const std::uint32_t connection_;
  const std::uint64_t number_;
  const bool stream_;
  const core::MonotonicTime begin_;
  core::MonotonicTime last_;
  Sample sample_;
  std::string body_;
  std::vector<std::chrono::nanoseconds> gaps_;
  protocol::StreamTracker tracker_;
};

LoadRun::LoadRun(LoadSettings aSettings, transport::HttpClient& aClient)
  : settings_(std::move(aSettings))
  , client_(aClient)
  , ready_(settings_.targets_.size(), true)
{
}

void
LoadRun::CheckReady()
{
  protocol::HttpRequest request;
  request.method_ = "GET";
  request.path_ = "/readyz";
  for (std::size_t i = 0; i < settings_.targets_.size(); ++i) {
    client_.Fetch({ settings_.targets_[i], kReadyInterval, true },
                  request,
                  kBodyKept,
                  [this, i](const core::Result<protocol::HttpResponse>& aAnswer,
                            transport::Delivery) {
                    const std::lock_guard lock(mutex_);
                    ready_[i] = aAnswer.Ok() && aAnswer.Value().status_ == 200;
                  });
  }
  transport::SharedTimer().After(kReadyInterval, [this] { CheckReady(); });
}

const std::string&
LoadRun::PickTarget(std::uint64_t aNumber)
{
  const std::lock_guard lock(mutex_);
  const std::size_t count = settings_.targets_.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t target = (aNumber + i) % count;
    if (ready_[target]) {
      return settings_.targets_[target];
    }
  }
  return settings_.targets_[aNumber % count];
}

void
LoadRun::Run()
{
  if (!settings_.log_.empty()) {
    log_.open(settings_.log_, std::ios::app);
  }
  begin_ = clock_.Now();
  end_ = begin_ + settings_.duration_;
  running_ = settings_.connections_;
  if (settings_.balances_) {
    CheckReady();
  }
  for (std::uint32_t i = 0; i < settings_.connections_; ++i) {
    Next(i);
  }
  std::unique_lock lock(mutex_);
  idle_.wait(lock, [this] { return running_ == 0; });
  elapsed_ = clock_.Now() - begin_;
}

// With a rate, connection i sends at every n-th interval, so that the
// connections together keep the rate whatever the answers take.
void
LoadRun::Next(std::uint32_t aConnection)
{
  const core::MonotonicTime now = clock_.Now();
  core::MonotonicTime at = now;
  if (settings_.rate_ > 0) {
    const double interval =
      static_cast<double>(settings_.connections_) / settings_.rate_;
    const double offset =
      interval * static_cast<double>(aConnection) / settings_.connections_;
    const double since = std::chrono::duration<double>(now - begin_).count();
    const double turns = std::max(0.0, std::ceil((since - offset) / interval));
    at = begin_ + std::chrono::duration_cast<core::Duration>(
                    std::chrono::duration<double>(offset + turns * interval));
  }
  const bool enough =
    settings_.requests_ > 0 && nextNumber_.load() >= settings_.requests_;
  if (at >= end_ || enough) {
    const std::lock_guard lock(mutex_);
    --running_;
    idle_.notify_all();
    return;
  }
  if (at <= now) {
    Send(aConnection);
    return;
  }
  transport::SharedTimer().After(at - now,
                                 [this, aConnection] { Send(aConnection); });
}

protocol::HttpRequest
LoadRun::MakeRequest(std::uint64_t aNumber) const
{
  protocol::HttpRequest request;
  request.method_ = "POST";
  request.headers_.Set("Content-Type", "application/json");
  request.headers_.Set(protocol::kDeadlineHeader,
                       std::to_string(settings_.deadline_.count()));
  if (!settings_.key_.empty()) {
    request.headers_.Set("Authorization", "Bearer " + settings_.key_);
  }
  const std::string number =
    std::to_string(settings_.seed_) + "-" + std::to_string(aNumber);
  if (settings_.kind_ == LoadKind::Get) {
    request.method_ = "GET";
    request.path_ = settings_.path_;
    return request;
  }
  if (settings_.kind_ == LoadKind::Deposit) {
    request.path_ = settings_.path_;
    request.headers_.Set("Idempotency-Key", "deposit-" + number);
    request.body_ =
      json({ { "deposit", number }, { "note", settings_.marker_ } }).dump();
    return request;
  }
  request.path_ = "/v1/completions";
  request.body_ = json({ { "model", settings_.deployment_ },
                         { "prompt", number + " " + settings_.marker_ },
                         { "max_tokens", settings_.maxTokens_ },
                         { "stream", settings_.kind_ == LoadKind::Stream } })
                    .dump();
  return request;
}

void
LoadRun::Send(std::uint32_t aConnection)
{
  const std::uint64_t number = nextNumber_++;
  const protocol::HttpRequest request = MakeRequest(number);
  transport::HttpTarget target;
  target.base_ = PickTarget(number);
  target.timeout_ = settings_.deadline_ + kGrace;
  // A balancer does not reuse a connection to a target that was restarted,
  // while the library would send on it and report the request as cut.
  target.freshConnection_ =
    settings_.kind_ == LoadKind::Deposit ||
    (settings_.balances_ && !settings_.keepsConnections_);
  const auto sink = std::make_shared<Sink>(
    *this, aConnection, number, settings_.kind_ == LoadKind::Stream);
  if (settings_.twice_) {
    const std::string& other =
      settings_.targets_[(number + 1) % settings_.targets_.size()];
    transport::HttpTarget second = target;
    second.base_ = other;
    {
      const std::lock_guard lock(mutex_);
      ++running_;
    }
    client_.Fetch(
      second,
      request,
      kBodyKept,
      [this](const core::Result<protocol::HttpResponse>&, transport::Delivery) {
        const std::lock_guard lock(mutex_);
        --running_;
        idle_.notify_all();
      });
  }
  client_.Start(target, request, sink);
}

void
LoadRun::Ended(std::uint32_t aConnection,
               std::uint64_t aNumber,
               const Sample& aSample,
               const std::vector<std::chrono::nanoseconds>& aGaps)
{
  {
    const std::lock_guard lock(mutex_);
    report_.Add(aSample);
    if (log_.is_open()) {
      log_ << json({ { "request",
                       std::to_string(settings_.seed_) + "-" +
                         std::to_string(aNumber) },
                     { "ending", NameOf(aSample.ending_) },
                     { "status", aSample.status_ },
                     { "reason", aSample.reason_ },
                     { "ms",
                       std::chrono::duration<double, std::milli>(aSample.total_)
                         .count() } })
                .dump()
           << "\n";
    }
    for (const std::chrono::nanoseconds gap : aGaps) {
      report_.AddGap(gap);
    }
  }
  // A target that refuses connections would otherwise be called in a tight
  // loop.
  constexpr std::chrono::milliseconds kPause{ 20 };
  if (aSample.ending_ == Ending::NotConnected) {
    transport::SharedTimer().After(kPause,
                                   [this, aConnection] { Next(aConnection); });
    return;
  }
  Next(aConnection);
}

} // namespace crocusslip::load
