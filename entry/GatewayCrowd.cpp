#include "core/Log.hpp"
#include "entry/GatewayCounters.hpp"

#include <algorithm>
#include <string>

// What the gateway does against crowds of callers: bounds on their connections
// and on what their requests take up (docs/design/byte-budget.md).

namespace crocusslip::entry {

namespace {

using transport::HttpRequest;
using transport::Task;
namespace http = transport::http;

/// Descriptors that are left to files.
constexpr std::uint32_t kFileDescriptors = 200;
/// Share of the others that callers may take; servers, the control group and
/// the load balancer have the rest.
constexpr double kCallerShare = 0.75;
/// Share of the process's memory that callers' connections may take by
/// themselves, and what one takes (7.2 kB when idle, measured with
/// 2,002 of them).
constexpr double kConnectionMemoryShare = 0.2;
constexpr std::uint64_t kConnectionBytes = 10UL * 1024;
/// Retry-After of a request that had to yield.
constexpr const char* kYieldRetryAfter = "1";

} // namespace

std::size_t
MaxCallerConnections(const GatewaySettings& aSettings)
{
  std::size_t most = 0;
  const auto lower = [&most](double aBound) {
    const auto bound =
      std::max<std::size_t>(1, static_cast<std::size_t>(aBound));
    most = most == 0 ? bound : std::min(most, bound);
  };
  if (aSettings.maxDescriptors_ > kFileDescriptors) {
    lower(kCallerShare * (aSettings.maxDescriptors_ - kFileDescriptors));
  }
  if (aSettings.memoryLimit_.Count() > 0) {
    lower(kConnectionMemoryShare *
          static_cast<double>(aSettings.memoryLimit_.Count()) /
          kConnectionBytes);
  }
  return most;
}

bool
Gateway::AdmitConnection()
{
  const ConnectionBound::Outcome outcome = callerBound_.Admit(callerLinks_);
  counters_->closedIdle_.Add(outcome.closedIdle_);
  counters_->closedStalled_.Add(outcome.closedStalled_);
  if (!outcome.admitted_) {
    counters_->refusedConnections_.Add();
  }
  return outcome.admitted_;
}

// Its head was read, so that the answer can say whose it is; no server has seen
// it.
Task<void>
Gateway::RejectYielded(LinkPtr aLink, const HttpRequest& aRequest)
{
  CountRefusal(GatewayRefusal::NoMemory);
  http::response<http::string_body> answer;
  answer.version(11);
  answer.result(503);
  const std::string& idName = settings_.headers_.requestId_;
  const auto id = aRequest[idName];
  if (!id.empty()) {
    answer.set(idName, id);
  }
  answer.set(http::field::retry_after, kYieldRetryAfter);
  answer.set(http::field::content_type, "text/plain");
  answer.body() = std::string(NameOf(GatewayRefusal::NoMemory)) + "\n";
  answer.keep_alive(false);
  answer.prepare_payload();
  core::Log(core::LogLevel::Info,
            "request refused",
            { { "request", std::string(id) },
              { "reason", NameOf(GatewayRefusal::NoMemory) },
              { "held", std::to_string(memory_->Bytes().Held()) } });
  co_await aLink->Write(answer);
}

} // namespace crocusslip::entry
