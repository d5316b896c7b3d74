#pragma once

#include "core/Clock.hpp"
#include "fakes/EventLog.hpp"
#include "transport/HttpServer.hpp"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>

namespace crocusslip::fakes {

struct WeightStoreSettings
{
  double loadsPerSecond_ = 8;
  std::uint32_t fullSpeed_ = 4;
  std::uint32_t adapters_ = 32;
};

/// Stand-in of the rate-limited weight store. GET /weights?ms=T answers after
/// T at full speed, proportionally later while more than the limit are in
/// progress, and never faster than the rate admits.
class WeightStore
{
public:
  WeightStore(WeightStoreSettings aSettings, EventLog& aLog);

  void Handle(const std::shared_ptr<transport::HttpExchange>& aExchange);

private:
  std::chrono::milliseconds TimeFor(std::chrono::milliseconds aFullSpeed,
                                    bool aAdapter);

  const WeightStoreSettings settings_;
  EventLog& log_;
  std::mutex mutex_;
  double slowdown_ = 1.0;
  std::uint32_t models_ = 0;
  std::uint32_t adapters_ = 0;
  core::MonotonicTime nextStart_;
};

} // namespace crocusslip::fakes
