#include "entry/LoadReader.hpp"

#include "core/Durations.hpp"
#include "core/Log.hpp"
#include "protocol/LoadHeader.hpp"

#include <array>
#include <cmath>
#include <cstdio>
#include <utility>

namespace crocusslip::entry {

namespace {

/// Weight of a new error in the moving mean.
constexpr double kErrorWeight = 0.02;
/// Longest part of a text that can't be read in a log line.
constexpr std::size_t kMaxLoggedText = 64;

} // namespace

LoadReader::LoadReader(coordination::BackendView& aView,
                       std::string aHeader,
                       core::MetricsRegistry& aMetrics)
  : view_(aView)
  , header_(std::move(aHeader))
  , sightings_(aMetrics.AddCounter("crocusslip_load_sightings_total",
                                   "",
                                   "Answers with the load of their server."))
  , unreadable_(aMetrics.AddCounter("crocusslip_unreadable_loads_total",
                                    "",
                                    "Answers whose load could not be read."))
  , turnedAway_(
      aMetrics.AddCounter("crocusslip_turned_away_total",
                          "",
                          "Sends that servers answered without running them."))
{
  aMetrics.AddGauge("crocusslip_load_estimate_error",
                    "",
                    "Mean difference, in requests, between the load expected "
                    "at a server and what it said.",
                    [this] { return meanError_; });
}

void
LoadReader::OnAnswerHead(const core::ServerId& aServer,
                         const transport::AnswerHead& aHead,
                         core::MonotonicTime aNow)
{
  if (header_.empty()) {
    return;
  }
  const auto field = aHead.fields_.find(header_);
  if (field == aHead.fields_.end()) {
    return;
  }
  const std::string_view text(field->value().data(), field->value().size());
  auto sighting = protocol::ParseLoadHeader(text);
  if (!sighting) {
    unreadable_.Add();
    core::Log(core::LogLevel::Warning,
              "load of a server can't be read",
              { { "server", aServer.Value() },
                { "load", std::string(text.substr(0, kMaxLoggedText)) } });
    return;
  }
  sightings_.Add();
  sighting->at_ = aNow;
  if (const auto expected = view_.EstimateOf(aServer, aNow)) {
    const double error =
      std::abs(expected->inFlight_ - static_cast<double>(sighting->InFlight()));
    meanError_ += kErrorWeight * (error - meanError_);
  }
  view_.OnLoadSighting(aServer, *sighting);
}

std::string
LoadReader::Describe(const coordination::BackendChoice& aChoice)
{
  if (!aChoice.estimate_) {
    return {};
  }
  std::array<char, 128> text{};
  std::snprintf(
    text.data(),
    text.size(),
    "load=%.1f doubt=%.1f places=%.0f pace=%.0f known_ms=%lld of=%u",
    aChoice.estimate_->inFlight_,
    aChoice.estimate_->deviation_,
    aChoice.usableSlots_,
    100 * aChoice.estimate_->pace_,
    static_cast<long long>(core::Milliseconds(aChoice.estimate_->age_)),
    aChoice.candidates_);
  return text.data();
}

void
LoadReader::Report(const coordination::BackendView::Usage& aUsage,
                   core::MonotonicTime aNow,
                   wire::ServerUse& aOut)
{
  if (!aUsage.load_) {
    return;
  }
  const routing::LoadSighting& load = *aUsage.load_;
  aOut.loadAgeMs =
    static_cast<std::int32_t>(core::Milliseconds(aNow - load.at_));
  aOut.running = static_cast<std::int32_t>(load.running_);
  aOut.queued = static_cast<std::int32_t>(load.queued_);
  aOut.pacePercent = static_cast<std::int32_t>(load.pacePercent_);
}

} // namespace crocusslip::entry
