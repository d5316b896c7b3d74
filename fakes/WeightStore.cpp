#include "fakes/WeightStore.hpp"

#include "transport/Timer.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace crocusslip::fakes {

using protocol::HttpResponse;

WeightStore::WeightStore(WeightStoreSettings aSettings, EventLog& aLog)
  : settings_(aSettings)
  , log_(aLog)
{
}

std::chrono::milliseconds
WeightStore::TimeFor(std::chrono::milliseconds aFullSpeed, bool aAdapter)
{
  const std::uint32_t inProgress = aAdapter ? adapters_ : models_;
  const std::uint32_t limit =
    aAdapter ? settings_.adapters_ : settings_.fullSpeed_;
  const double crowding =
    std::max(1.0, static_cast<double>(inProgress) / limit);
  const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
    aFullSpeed * (crowding * slowdown_));
  if (aAdapter) {
    return time;
  }
  const core::MonotonicTime now = core::SystemClock().Now();
  const core::MonotonicTime start = std::max(now, nextStart_);
  nextStart_ =
    start +
    std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>(slowdown_ / settings_.loadsPerSecond_));
  return time +
         std::chrono::duration_cast<std::chrono::milliseconds>(start - now);
}

void
WeightStore::Handle(const std::shared_ptr<transport::HttpExchange>& aExchange)
{
  const protocol::HttpRequest& request = aExchange->Request();
  if (request.path_ == "/fake/slow") {
    const std::string factor = request.Parameter("factor").value_or("1");
    const std::lock_guard lock(mutex_);
    slowdown_ = std::max(1.0, std::strtod(factor.c_str(), nullptr));
    log_.Add("slow", "\"factor\":" + std::to_string(slowdown_));
    aExchange->Reply(HttpResponse::Json(200, "{}"));
    return;
  }
  if (request.path_ != "/weights") {
    aExchange->Reply(HttpResponse::Json(404, "{}"));
    return;
  }
  const bool adapter = request.Parameter("adapter").has_value();
  const std::chrono::milliseconds fullSpeed(
    std::strtol(request.Parameter("ms").value_or("0").c_str(), nullptr, 10));
  std::chrono::milliseconds time{ 0 };
  {
    const std::lock_guard lock(mutex_);
    ++(adapter ? adapters_ : models_);
    time = TimeFor(fullSpeed, adapter);
    log_.Add(
      "load",
      "\"adapter\":" + std::string(adapter ? "true" : "false") +
        ",\"in_progress\":" + std::to_string(adapter ? adapters_ : models_) +
        ",\"ms\":" + std::to_string(time.count()));
  }
  transport::SharedTimer().After(time, [this, aExchange, adapter] {
    {
      const std::lock_guard lock(mutex_);
      --(adapter ? adapters_ : models_);
    }
    aExchange->Reply(HttpResponse::Json(200, "{}"));
  });
}

} // namespace crocusslip::fakes
