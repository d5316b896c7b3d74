#pragma once

#include "fakes/EventLog.hpp"
#include "transport/HttpServer.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace crocusslip::fakes {

struct ServiceSettings
{
  std::string name_;
  std::chrono::milliseconds time_{ 20 };
};

/// Stand-in of a plain service with calls that may not be repeated. Counts the
/// runs by body, so that a second run shows.
class Service
{
public:
  Service(ServiceSettings aSettings, EventLog& aLog);

  void Handle(const std::shared_ptr<transport::HttpExchange>& aExchange);

private:
  const ServiceSettings settings_;
  EventLog& log_;
  std::mutex mutex_;
  std::map<std::string, std::uint32_t> runs_;
  std::uint64_t total_ = 0;
};

} // namespace crocusslip::fakes
