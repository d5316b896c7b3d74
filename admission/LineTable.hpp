#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Refusing early. Answers the load of more requests for a model than its
/// servers can begin within what callers bear: a refusal after most of a
/// caller's patience leaves it no time for another try.
namespace crocusslip::admission {

/// Ranks that are told apart in a line; further ones count as the last.
inline constexpr std::size_t kLineRanks = 10;

/// Requests for one model over several hosts.
struct ModelLine
{
  /// Waiting requests by rank, 0 is the most urgent.
  std::vector<std::uint32_t> waiting_;
  std::uint32_t inFlight_ = 0;
  double begunPerSecond_ = 0;

  std::uint32_t Waiting() const;
  void AddWaiting(std::uint32_t aRank, std::uint32_t aCount = 1);
};

/// Whether a request can begin in time.
struct BeginVerdict
{
  bool canBegin_ = true;
  /// Time until a request that comes then can begin within what it bears; only
  /// set if canBegin_ is false.
  core::Duration retryAfter_{ 0 };
  /// What the verdict was made from.
  double ahead_ = 0;
  core::Duration expectedWait_{ 0 };
};

/// What one host knows of the lines of all hosts, as the control group told.
class LineTable
{
public:
  /// Replaces all lines; models without one have few waiting requests.
  void OnLines(std::map<core::ModelName, ModelLine> aLines,
               core::MonotonicTime aNow);
  /// A run of this host has taken this long at its server.
  void OnRun(core::Duration aTime);

  /// aOwnAhead are the waiting requests of this host that begin before it,
  /// aReadyIn the time until a load under way gives the model a server more.
  /// Without a line, or one older than 2 s, the request is kept.
  BeginVerdict Judge(const core::ModelName& aModel,
                     std::uint32_t aRank,
                     std::uint32_t aOwnAhead,
                     core::Duration aBearable,
                     std::optional<core::Duration> aReadyIn,
                     core::MonotonicTime aNow) const;
  /// More urgent requests of other hosts that wait for the model.
  std::uint32_t MoreUrgentElsewhere(const core::ModelName& aModel,
                                    std::uint32_t aRank,
                                    core::MonotonicTime aNow) const;
  /// All requests of other hosts that wait for the model.
  std::uint32_t WaitingElsewhere(const core::ModelName& aModel,
                                 core::MonotonicTime aNow) const;

private:
  const ModelLine* Find(const core::ModelName& aModel,
                        core::MonotonicTime aNow) const;

  std::map<core::ModelName, ModelLine> lines_;
  core::MonotonicTime toldAt_;
  core::Duration meanRun_ = std::chrono::milliseconds(1500);
};

} // namespace crocusslip::admission
