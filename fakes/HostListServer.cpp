#include "fakes/HostListServer.hpp"

#include "transport/Timer.hpp"

#include <nlohmann/json.hpp>

namespace crocusslip::fakes {

using nlohmann::json;
using protocol::HttpResponse;

HostListServer::HostListServer(std::chrono::milliseconds aLag, EventLog& aLog)
  : lag_(aLag)
  , log_(aLog)
{
}

void
HostListServer::Handle(
  const std::shared_ptr<transport::HttpExchange>& aExchange)
{
  const protocol::HttpRequest& request = aExchange->Request();
  if (request.path_ == "/fake/host") {
    const std::string host = request.Parameter("host").value_or("");
    const std::string state = request.Parameter("state").value_or("live");
    log_.Add("host",
             "\"host\":" + json(host).dump() +
               ",\"state\":" + json(state).dump());
    transport::SharedTimer().After(lag_, [this, host, state] {
      const std::lock_guard lock(mutex_);
      shown_[host] = state;
    });
    aExchange->Reply(HttpResponse::Json(200, "{}"));
    return;
  }
  json hosts = json::array();
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [host, state] : shown_) {
      hosts.push_back({ { "host", host }, { "state", state } });
    }
  }
  aExchange->Reply(
    HttpResponse::Json(200, json({ { "hosts", hosts } }).dump()));
}

} // namespace crocusslip::fakes
