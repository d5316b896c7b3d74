#include "core/Log.hpp"
#include "entry/GatewayCounters.hpp"

#include <algorithm>
#include <vector>

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
/// themselves, and what one takes (measured: 9 kB).
constexpr double kConnectionMemoryShare = 0.2;
constexpr std::uint64_t kConnectionBytes = 10UL * 1024;
/// Share of the callers' connections that are closed at once when there are
/// too many, so that not each new one looks at all of them.
constexpr double kCloseShare = 0.05;
/// Silence after which a request that is being read counts as stalled.
constexpr std::chrono::seconds kStallTime{ 1 };
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
  if (maxCallers_ == 0 || callerLinks_.size() < maxCallers_) {
    return true;
  }
  const auto most = std::max<std::size_t>(
    1,
    static_cast<std::size_t>(kCloseShare * static_cast<double>(maxCallers_)));
  if (callerLinks_.size() >= maxCallers_ + most) {
    // Those that were told to end have not ended yet.
    counters_->refusedConnections_.Add();
    return false;
  }
  const std::size_t closed = CloseIdlest(most);
  const bool room = closed > 0 || CloseStalled(most) > 0;
  if (!room) {
    counters_->refusedConnections_.Add();
  }
  return room;
}

std::size_t
Gateway::CloseIdlest(std::size_t aMost)
{
  std::vector<std::pair<std::chrono::steady_clock::time_point, LinkPtr>> idle;
  for (const LinkPtr& link : callerLinks_) {
    if (const auto since = link->IdleSince()) {
      idle.emplace_back(*since, link);
    }
  }
  const std::size_t count = std::min(aMost, idle.size());
  std::ranges::partial_sort(idle,
                            idle.begin() + static_cast<std::ptrdiff_t>(count),
                            {},
                            [](const auto& aEntry) { return aEntry.first; });
  for (std::size_t i = 0; i < count; ++i) {
    idle.at(i).second->EndIdle();
  }
  counters_->closedIdle_.Add(count);
  return count;
}

std::size_t
Gateway::CloseStalled(std::size_t aMost)
{
  const auto before = std::chrono::steady_clock::now() - kStallTime;
  std::size_t count = 0;
  for (const LinkPtr& link : callerLinks_) {
    const auto heard = link->ReadingSince();
    if (count < aMost && heard && *heard < before) {
      link->Abort();
      ++count;
    }
  }
  counters_->closedStalled_.Add(count);
  return count;
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
