#include "core/Metrics.hpp"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cstdio>

namespace crocusslip::core {

namespace {

namespace bh = boost::histogram;

constexpr unsigned kBuckets = 42;
constexpr double kSmallest = 1e-4;
constexpr double kLargest = 1e3;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using Histogram =
  decltype(bh::make_histogram_with(Storage(),
                                   LogAxis(kBuckets, kSmallest, kLargest)));

std::string
Number(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof text, "%.6g", aValue);
  return text;
}

std::string
Sample(const std::string& aName, const std::string& aLabels, double aValue)
{
  const std::string labels = aLabels.empty() ? "" : "{" + aLabels + "}";
  return aName + labels + " " + Number(aValue) + "\n";
}

} // namespace

struct DurationHistogram::Content
{
  Histogram buckets_ =
    bh::make_histogram_with(Storage(), LogAxis(kBuckets, kSmallest, kLargest));
  std::atomic<std::uint64_t> sumMicroseconds_{ 0 };
};

DurationHistogram::DurationHistogram()
  : content_(std::make_unique<Content>())
{
}

DurationHistogram::~DurationHistogram() = default;

void
DurationHistogram::Observe(double aSeconds)
{
  content_->buckets_(aSeconds);
  content_->sumMicroseconds_.fetch_add(
    static_cast<std::uint64_t>(std::max(0.0, aSeconds) * 1e6),
    std::memory_order_relaxed);
}

std::string
DurationHistogram::Text(const std::string& aName,
                        const std::string& aLabels) const
{
  const std::string bucket = aName + "_bucket";
  const std::string labels = aLabels.empty() ? "" : aLabels + ",";
  std::string text;
  std::uint64_t sum = content_->buckets_.at(-1).load();
  for (unsigned i = 0; i < kBuckets; ++i) {
    sum += content_->buckets_.at(static_cast<int>(i)).load();
    const double upper = content_->buckets_.axis().bin(i).upper();
    const std::string bound = "le=\"" + Number(upper) + "\"";
    text += Sample(bucket, labels + bound, static_cast<double>(sum));
  }
  sum += content_->buckets_.at(static_cast<int>(kBuckets)).load();
  const auto total = static_cast<double>(sum);
  text += Sample(bucket, labels + "le=\"+Inf\"", total);
  text += Sample(aName + "_sum",
                 aLabels,
                 static_cast<double>(content_->sumMicroseconds_.load()) / 1e6);
  return text + Sample(aName + "_count", aLabels, total);
}

MetricsRegistry::Entry&
MetricsRegistry::Add(std::string aName, std::string aLabels, std::string aHelp)
{
  auto entry = std::make_unique<Entry>();
  entry->name_ = std::move(aName);
  entry->labels_ = std::move(aLabels);
  entry->help_ = std::move(aHelp);
  // Samples of one name stand together, as the text format asks.
  const auto place =
    std::find_if(entries_.rbegin(), entries_.rend(), [&](const auto& aOther) {
      return aOther->name_ == entry->name_;
    });
  const auto position =
    place == entries_.rend() ? entries_.end() : place.base();
  return **entries_.insert(position, std::move(entry));
}

Counter&
MetricsRegistry::AddCounter(std::string aName,
                            std::string aLabels,
                            std::string aHelp)
{
  const std::lock_guard lock(mutex_);
  Entry& entry = Add(std::move(aName), std::move(aLabels), std::move(aHelp));
  entry.counter_ = std::make_unique<Counter>();
  return *entry.counter_;
}

DurationHistogram&
MetricsRegistry::AddHistogram(std::string aName,
                              std::string aLabels,
                              std::string aHelp)
{
  const std::lock_guard lock(mutex_);
  Entry& entry = Add(std::move(aName), std::move(aLabels), std::move(aHelp));
  entry.histogram_ = std::make_unique<DurationHistogram>();
  return *entry.histogram_;
}

void
MetricsRegistry::AddGauge(std::string aName,
                          std::string aLabels,
                          std::string aHelp,
                          std::function<double()> aRead)
{
  const std::lock_guard lock(mutex_);
  Entry& entry = Add(std::move(aName), std::move(aLabels), std::move(aHelp));
  entry.gauge_ = std::move(aRead);
}

std::string
MetricsRegistry::Text() const
{
  const std::lock_guard lock(mutex_);
  std::string text;
  std::string previous;
  for (const auto& entry : entries_) {
    if (entry->name_ != previous) {
      const char* kind = entry->counter_     ? "counter"
                         : entry->histogram_ ? "histogram"
                                             : "gauge";
      text += "# HELP " + entry->name_ + " " + entry->help_ + "\n";
      text += "# TYPE " + entry->name_ + " " + kind + "\n";
      previous = entry->name_;
    }
    if (entry->counter_) {
      text += entry->name_ +
              (entry->labels_.empty() ? "" : "{" + entry->labels_ + "}") + " " +
              std::to_string(entry->counter_->Value()) + "\n";
    } else if (entry->histogram_) {
      text += entry->histogram_->Text(entry->name_, entry->labels_);
    } else {
      text += Sample(entry->name_, entry->labels_, entry->gauge_());
    }
  }
  return text;
}

} // namespace crocusslip::core
