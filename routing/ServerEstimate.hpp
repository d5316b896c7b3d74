#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <optional>

/// The choice of a server among those that can run a request. Answers the load
/// of about a hundred hosts that choose at the same moment from knowledge that
/// is half a second old.
namespace crocusslip::routing {

/// What a server said of its load in an answer.
struct LoadSighting
{
  std::uint32_t running_ = 0;
  std::uint32_t queued_ = 0;
  /// 0 when not named.
  std::uint32_t slots_ = 0;
  /// Time that work takes now against the usual time (100); 0 when not named.
  std::uint32_t pacePercent_ = 0;
  core::MonotonicTime at_;

  std::uint32_t InFlight() const { return running_ + queued_; }
};

/// Requests of other hosts at a server, as the control group published them.
struct PublishedLoad
{
  double others_ = 0;
  core::MonotonicTime at_;
};

/// Expected load of a server now.
struct LoadEstimate
{
  /// Requests that run or wait there, of all hosts.
  double inFlight_ = 0;
  /// Standard deviation of inFlight_.
  double deviation_ = 0;
  /// Time that work takes against the usual time.
  double pace_ = 1;
  /// Of the newest knowledge that inFlight_ is made of.
  core::Duration age_{ 0 };
};

/// One host's knowledge of one server's load.
///
/// The requests of other hosts are taken for a queue without a limit: those
/// known of end at a constant rate, and new ones arrive at the rate that keeps
/// the usual load. That gives the mean and the variance for any age.
class ServerEstimate
{
public:
  /// aOwnInFlight are the host's own requests there when the answer came.
  void OnSighting(const LoadSighting& aSighting, std::uint32_t aOwnInFlight);
  /// The mean pace of the last seconds; 0 when not known.
  void OnPublishedPace(std::uint32_t aPercent);

  /// Whether the server has ever named its pace. One that has not is chosen
  /// without an estimate.
  bool NamesPace() const { return meanPace_ > 0; }
  /// aUsualLoad are the requests of other hosts at a server of the service in
  /// the mean, aOwnInFlight the host's own requests there now.
  LoadEstimate At(core::MonotonicTime aNow,
                  const PublishedLoad& aPublished,
                  double aUsualLoad,
                  std::uint32_t aOwnInFlight) const;
  double PaceAt(core::MonotonicTime aNow) const;
  const std::optional<LoadSighting>& LastSighting() const { return sighting_; }

private:
  std::optional<LoadSighting> sighting_;
  /// Requests of other hosts at the time of the sighting.
  double sightedOthers_ = 0;
  /// 0 until the server or the control group has named a pace.
  double meanPace_ = 0;
};

/// Mean duration of a run, with which requests end.
inline constexpr std::chrono::milliseconds kMeanRunTime{ 1500 };

} // namespace crocusslip::routing
