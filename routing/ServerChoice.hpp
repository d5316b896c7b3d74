#pragma once

#include "core/Clock.hpp"
#include "core/Random.hpp"
#include "routing/ServerEstimate.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace crocusslip::routing {

/// A server that can run the request.
struct ServerCandidate
{
  LoadEstimate load_;
  /// Runs that callers bear the pauses of.
  double usableSlots_ = 1;
  /// Time at the usual pace to read this prompt and those before it.
  core::Duration promptTime_{ 0 };
  /// Factor of the cost, e.g. for another failure domain.
  double penalty_ = 1;
};

/// Number of runs at a server with which streams still pause no longer than
/// aLongestPause: an event waits for the steps of its tokens, which grow with
/// each run, and for the reading of a prompt in between. At least 1; all slots
/// if aLongestPause is 0.
double
UsableSlots(std::uint32_t aSlots,
            double aPace,
            core::Duration aLongestPause,
            core::Duration aPromptTime);

/// Cost of one request more at the server when aMore requests come first:
/// the time to its first event, which grows without bound as places run out.
double
CostOf(const ServerCandidate& aCandidate, double aMore);

/// Requests that other hosts are expected to send to the candidates within the
/// age of what is known of them.
double
ExpectedOthers(const std::vector<ServerCandidate>& aCandidates);

/// Index of the chosen candidate; aCandidates must not be empty.
///
/// The requests expected from others, and this one, are assigned one after the
/// other, each to the server that costs it least then. The choice is drawn with
/// the resulting shares, so that hosts that know the same send to each server
/// what it has room for instead of all to the best one. Knowledge without age
/// leaves only the best server, old knowledge a draw by free room.
std::size_t
ChooseServer(const std::vector<ServerCandidate>& aCandidates,
             double aExpectedOthers,
             core::Random& aRandom);

} // namespace crocusslip::routing
