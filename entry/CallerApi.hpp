#pragma once

#include "core/Clock.hpp"
#include "core/Metrics.hpp"
#include "entry/Dispatcher.hpp"
#include "transport/HttpServer.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace crocusslip::entry {

/// The HTTP API for callers: OpenAI-compatible paths, plain services by path
/// prefix, liveness, readiness and metrics.
class CallerApi
{
public:
  CallerApi(Dispatcher& aDispatcher,
            const core::Clock& aClock,
            core::MetricsRegistry& aMetrics,
            std::string aHost,
            std::uint64_t aInstance);

  void Handle(const std::shared_ptr<transport::HttpExchange>& aExchange);
  protocol::HttpResponse Refuse(core::RefusalReason aReason,
                                std::string aDetail);
  /// Makes the readiness probe fail from now on.
  void ReportNotReady() { ready_.store(false); }

private:
  using ExchangePtr = std::shared_ptr<transport::HttpExchange>;

  bool HandleProbe(const ExchangePtr& aExchange);
  void HandleModels(const ExchangePtr& aExchange);
  void HandleModelRequest(const ExchangePtr& aExchange);
  void HandleService(const ExchangePtr& aExchange);
  std::shared_ptr<Request> NewRequest(const ExchangePtr& aExchange,
                                      const Access& aAccess);
  void Submit(const std::shared_ptr<Request>& aRequest);

  Dispatcher& dispatcher_;
  const core::Clock& clock_;
  core::MetricsRegistry& metrics_;
  const std::string requestPrefix_;
  std::atomic<std::uint64_t> nextRequest_{ 1 };
  std::atomic<bool> ready_{ true };
};

} // namespace crocusslip::entry
