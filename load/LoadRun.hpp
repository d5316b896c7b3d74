#pragma once

#include "core/Clock.hpp"
#include "load/LoadReport.hpp"
#include "load/LoadSettings.hpp"
#include "transport/HttpClient.hpp"

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <memory>
#include <mutex>

namespace crocusslip::load {

/// Sends requests over a fixed number of connections for a fixed time and
/// waits for each to end.
class LoadRun
{
public:
  LoadRun(LoadSettings aSettings, transport::HttpClient& aClient);

  /// Blocks until the run is over.
  void Run();
  const LoadReport& Report() const { return report_; }
  std::chrono::nanoseconds Elapsed() const { return elapsed_; }

private:
  class Sink;

  void Next(std::uint32_t aConnection);
  void Send(std::uint32_t aConnection);
  void Ended(std::uint32_t aConnection,
             std::uint64_t aNumber,
             const Sample& aSample,
             const std::vector<std::chrono::nanoseconds>& aGaps);
  protocol::HttpRequest MakeRequest(std::uint64_t aNumber) const;
  void CheckReady();
  const std::string& PickTarget(std::uint64_t aNumber);

  const LoadSettings settings_;
  transport::HttpClient& client_;
  const core::SystemClock clock_;
  core::MonotonicTime begin_;
  core::MonotonicTime end_;
  std::chrono::nanoseconds elapsed_{};
  std::atomic<std::uint64_t> nextNumber_{ 0 };
  /// Guards what follows.
  std::mutex mutex_;
  std::condition_variable idle_;
  std::uint32_t running_ = 0;
  /// By target; true until a check has failed.
  std::vector<bool> ready_;
  LoadReport report_;
  std::ofstream log_;
};

} // namespace crocusslip::load
