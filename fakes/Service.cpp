#include "fakes/Service.hpp"

#include "transport/Timer.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace crocusslip::fakes {

using nlohmann::json;
using protocol::HttpResponse;

Service::Service(ServiceSettings aSettings, EventLog& aLog)
  : settings_(std::move(aSettings))
  , log_(aLog)
{
}

void
Service::Handle(const std::shared_ptr<transport::HttpExchange>& aExchange)
{
  const protocol::HttpRequest& request = aExchange->Request();
  if (request.path_ == "/fake/runs") {
    json runs = json::object();
    const std::lock_guard lock(mutex_);
    for (const auto& [body, count] : runs_) {
      runs[body] = count;
    }
    aExchange->Reply(HttpResponse::Json(
      200, json({ { "total", total_ }, { "runs", runs } }).dump()));
    return;
  }
  std::uint64_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    number = ++total_;
    if (request.method_ != "GET") {
      ++runs_[request.body_];
    }
  }
  log_.Add("run",
           "\"service\":" + json(settings_.name_).dump() +
             ",\"method\":" + json(request.method_).dump() +
             ",\"body\":" + json(request.body_).dump());
  const auto reply = [aExchange, number, this] {
    aExchange->Reply(HttpResponse::Json(
      201,
      json({ { "number", number }, { "server", settings_.name_ } }).dump()));
  };
  if (settings_.time_ == std::chrono::milliseconds::zero()) {
    reply();
    return;
  }
  transport::SharedTimer().After(settings_.time_, reply);
}

} // namespace crocusslip::fakes
