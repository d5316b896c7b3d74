#include "load/LoadReport.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace crocusslip::load {

namespace {

double
Milliseconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto rank =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(rank),
                   aValues.end());
  return aValues[rank];
}

nlohmann::json
Quantiles(const std::vector<double>& aValues)
{
  constexpr double kP50 = 0.5;
  constexpr double kP95 = 0.95;
  constexpr double kP99 = 0.99;
  return { { "count", aValues.size() },
           { "p50_ms", Quantile(aValues, kP50) },
           { "p95_ms", Quantile(aValues, kP95) },
           { "p99_ms", Quantile(aValues, kP99) },
           { "max_ms", Quantile(aValues, 1.0) } };
}

} // namespace

const char*
NameOf(Ending aEnding)
{
  switch (aEnding) {
    case Ending::Answered:
      return "answered";
    case Ending::Refused:
      return "refused";
    case Ending::NotConnected:
      return "not_connected";
    case Ending::Cut:
      return "cut";
    case Ending::TimedOut:
      return "timed_out";
  }
  return "unknown";
}

void
LoadReport::Add(const Sample& aSample)
{
  ++endings_[aSample.ending_];
  if (aSample.ending_ == Ending::Refused) {
    ++reasons_[aSample.reason_];
  }
  if (aSample.ending_ == Ending::Answered) {
    firstByteMs_.push_back(Milliseconds(aSample.firstByte_));
    totalMs_.push_back(Milliseconds(aSample.total_));
  }
}

void
LoadReport::AddGap(std::chrono::nanoseconds aGap)
{
  gapMs_.push_back(Milliseconds(aGap));
}

std::uint64_t
LoadReport::Count(Ending aEnding) const
{
  const auto found = endings_.find(aEnding);
  return found == endings_.end() ? 0 : found->second;
}

std::string
LoadReport::Json(std::chrono::nanoseconds aElapsed) const
{
  nlohmann::json endings = nlohmann::json::object();
  for (const Ending ending : { Ending::Answered,
                               Ending::Refused,
                               Ending::NotConnected,
                               Ending::Cut,
                               Ending::TimedOut }) {
    endings[NameOf(ending)] = Count(ending);
  }
  const double seconds = std::chrono::duration<double>(aElapsed).count();
  const nlohmann::json report = {
    { "seconds", seconds },
    { "answers_per_second",
      static_cast<double>(Count(Ending::Answered)) / seconds },
    { "endings", endings },
    { "refusals", reasons_ },
    { "first_byte", Quantiles(firstByteMs_) },
    { "total", Quantiles(totalMs_) },
    { "gaps", Quantiles(gapMs_) },
  };
  return report.dump(2) + "\n";
}

std::string
LoadReport::Table(std::chrono::nanoseconds aElapsed) const
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(2);
  const double seconds = std::chrono::duration<double>(aElapsed).count();
  text << "answered      " << Count(Ending::Answered) << " ("
       << static_cast<double>(Count(Ending::Answered)) / seconds << "/s)\n"
       << "refused       " << Count(Ending::Refused) << "\n"
       << "not connected " << Count(Ending::NotConnected) << "\n"
       << "cut           " << Count(Ending::Cut) << "\n"
       << "timed out     " << Count(Ending::TimedOut) << "\n";
  for (const auto& [reason, count] : reasons_) {
    text << "  " << reason << " " << count << "\n";
  }
  const auto line = [&](const char* aName, const std::vector<double>& aValues) {
    constexpr double kP50 = 0.5;
    constexpr double kP99 = 0.99;
    text << aName << " p50 " << Quantile(aValues, kP50) << " ms, p99 "
         << Quantile(aValues, kP99) << " ms, max " << Quantile(aValues, 1.0)
         << " ms\n";
  };
  line("first byte   ", firstByteMs_);
  line("whole answer ", totalMs_);
  if (!gapMs_.empty()) {
    line("stream gaps  ", gapMs_);
  }
  return text.str();
}

} // namespace crocusslip::load
