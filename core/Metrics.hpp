#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace crocusslip::core {

/// A count that only grows.
class Counter
{
public:
  void Add(std::uint64_t aCount = 1)
  {
    value_.fetch_add(aCount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> value_{ 0 };
};

/// Durations in seconds, in logarithmic buckets from 0.1 ms to 1,000 s.
class DurationHistogram
{
public:
  DurationHistogram();
  ~DurationHistogram();
  DurationHistogram(const DurationHistogram&) = delete;
  DurationHistogram& operator=(const DurationHistogram&) = delete;

  void Observe(double aSeconds);
  /// Lines in the Prometheus text format, without the TYPE line.
  std::string Text(const std::string& aName, const std::string& aLabels) const;

private:
  struct Content;
  std::unique_ptr<Content> content_;
};

/// All metrics of a process. Handles stay valid as long as the registry.
class MetricsRegistry
{
public:
  /// aLabels is the text between braces, e.g. `reason="queue_full"`.
  Counter& AddCounter(std::string aName,
                      std::string aLabels,
                      std::string aHelp);
  DurationHistogram& AddHistogram(std::string aName,
                                  std::string aLabels,
                                  std::string aHelp);
  void AddGauge(std::string aName,
                std::string aLabels,
                std::string aHelp,
                std::function<double()> aRead);
  /// The Prometheus text exposition format, version 0.0.4.
  std::string Text() const;

private:
  struct Entry
  {
    std::string name_;
    std::string labels_;
    std::string help_;
    std::unique_ptr<Counter> counter_;
    std::unique_ptr<DurationHistogram> histogram_;
    std::function<double()> gauge_;
  };

  Entry& Add(std::string aName, std::string aLabels, std::string aHelp);

  /// Held while entries are added or printed; gauges run under it and take no
  /// lock of lower order.
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Entry>> entries_;
};

} // namespace crocusslip::core
