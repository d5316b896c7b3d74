#pragma once

#include "admission/LineTable.hpp"
#include "coordination/BackendView.hpp"
#include "coordination/DispatchQueue.hpp"
#include "core/Clock.hpp"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusslip::bench {

struct EvenLoadSettings
{
  std::uint32_t hosts_ = 95;
  std::uint32_t servers_ = 140;
  std::uint32_t models_ = 120;
  std::uint32_t slots_ = 12;
  /// Requests that wait at a server before it turns others away.
  std::uint32_t line_ = 4;
  double requestsPerHost_ = 3.5;
  /// Every so many-th server works at slowPace_ in the mean.
  std::uint32_t slowEvery_ = 10;
  double slowPace_ = 1.8;
  core::Duration reportInterval_ = std::chrono::milliseconds(500);
  core::Duration warmUp_ = std::chrono::seconds(5);
  core::Duration length_ = std::chrono::seconds(20);
  /// Time from the start at which hosts are told nothing more.
  std::optional<core::Duration> leaderLostAt_;
  /// Whether servers name their load and pace in answers.
  bool namesPace_ = true;
  /// Whether requests that can't begin in time are refused on arrival.
  bool refusesEarly_ = false;
  /// Time within which callers want the first event.
  core::Duration patience_ = std::chrono::seconds(5);
  std::uint64_t seed_ = 1;
};

struct EvenLoadResult
{
  std::uint64_t arrivals_ = 0;
  /// Arrivals at servers with a full line.
  std::uint64_t turnedAway_ = 0;
  /// Requests without a first event in time.
  std::uint64_t givenUp_ = 0;
  /// Requests refused on arrival.
  std::uint64_t refusedEarly_ = 0;
  /// Requests whose first event came in time, of those of each rank; half of
  /// all are of rank 0.
  double servedUrgent_ = 0;
  double servedOther_ = 0;
  /// Mean time from the arrival of a request to its refusal.
  double refusalMs_ = 0;
  /// Starts of prompts that let streams pause for longer than callers bear.
  std::uint64_t longPauses_ = 0;
  /// Greatest number of requests in flight at a server by the mean, over time.
  double busiestToMean_ = 0;
  /// The same of all arrivals at servers.
  double arrivalsBusiestToMean_ = 0;
  /// Arrivals at a slow server by those at another, in the mean.
  double slowToOthers_ = 0;
  double firstMeanMs_ = 0;
  double firstP95Ms_ = 0;
  double firstP99Ms_ = 0;
  /// Rows of load in one answer to a host.
  double rowsPerReply_ = 0;
  /// Root mean square of the error of the load expected at the chosen server.
  double estimateError_ = 0;
};

/// An engine of the model.
struct EvenLoadServer
{
  std::vector<std::uint32_t> models_;
  double stepMs_ = 8;
  double meanPace_ = 1;
  double pace_ = 1;
  std::uint32_t running_ = 0;
  std::deque<std::uint32_t> line_;
  core::MonotonicTime readingUntil_;
  std::uint64_t arrivals_ = 0;
  std::uint32_t InFlight() const
  {
    return running_ + static_cast<std::uint32_t>(line_.size());
  }
};
struct EvenLoadRequest
{
  std::uint32_t host_ = 0;
  std::uint32_t server_ = 0;
  coordination::BackendRequirements need_;
  std::uint32_t answerTokens_ = 0;
  std::uint32_t turnedAway_ = 0;
  std::uint32_t rank_ = 0;
  core::MonotonicTime arrivedAt_;
  core::MonotonicTime sentAt_;
};

/// An entry host of the model.
struct EvenLoadHost
{
  explicit EvenLoadHost(std::uint32_t aIndex)
    : id_("h" + std::to_string(aIndex))
  {
  }
  core::HostId id_;
  coordination::BackendView view_{ core::FailureDomainId("a") };
  coordination::DispatchQueue queue_;
  std::map<coordination::DispatchQueue::Id, std::uint32_t> waiting_;
  std::uint64_t seen_ = 0;
  admission::LineTable lines_;
  /// Requests that got a place since the last report.
  std::map<core::ModelName, std::uint32_t> begun_;
  std::map<core::ModelName, std::uint32_t> inFlight_;
};

} // namespace crocusslip::bench
