#pragma once

#include "fakes/EventLog.hpp"
#include "transport/HttpServer.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace crocusslip::fakes {

/// Stand-in of the platform's host list: POST /fake/host?host=H&state=S changes
/// a host, GET /hosts shows the change only after the lag.
class HostListServer
{
public:
  HostListServer(std::chrono::milliseconds aLag, EventLog& aLog);

  void Handle(const std::shared_ptr<transport::HttpExchange>& aExchange);

private:
  const std::chrono::milliseconds lag_;
  EventLog& log_;
  std::mutex mutex_;
  std::map<std::string, std::string> shown_;
};

} // namespace crocusslip::fakes
