#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocusslip::load {

/// How one request ended, as its caller sees it.
enum class Ending : std::uint8_t
{
  /// A whole answer.
  Answered,
  /// A whole problem document.
  Refused,
  /// The connection could not be opened.
  NotConnected,
  /// The connection broke, or a stream ended without its closing event and
  /// without an error event.
  Cut,
  /// No answer within the deadline and a grace time.
  TimedOut,
};

const char*
NameOf(Ending aEnding);

struct Sample
{
  Ending ending_ = Ending::Answered;
  std::uint16_t status_ = 0;
  /// Reason and whether it ran, for a refusal.
  std::string reason_;
  std::chrono::nanoseconds firstByte_{};
  std::chrono::nanoseconds total_{};
};

/// Results of a run.
class LoadReport
{
public:
  void Add(const Sample& aSample);
  void AddGap(std::chrono::nanoseconds aGap);

  std::uint64_t Count(Ending aEnding) const;
  std::string Table(std::chrono::nanoseconds aElapsed) const;
  std::string Json(std::chrono::nanoseconds aElapsed) const;

private:
  std::map<Ending, std::uint64_t> endings_;
  std::map<std::string, std::uint64_t> reasons_;
  std::vector<double> firstByteMs_;
  std::vector<double> totalMs_;
  std::vector<double> gapMs_;
};

} // namespace crocusslip::load
