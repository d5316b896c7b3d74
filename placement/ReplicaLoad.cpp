#include "placement/ReplicaLoad.hpp"

#include <algorithm>

namespace crocusslip::placement {

namespace {

/// Measured on servers with 48 slots and more.
constexpr double kLargeServerLoad = 6;
/// Fewer would load replicas for every second request.
constexpr double kSmallestLoad = 3;
/// Share of a small server's slots for one of its models.
constexpr double kSlotShare = 0.25;

} // namespace

double
LoadPerReplica(std::uint32_t aSlots)
{
  if (aSlots == 0 || aSlots >= kManySlots) {
    return kLargeServerLoad;
  }
  return std::clamp(kSlotShare * aSlots, kSmallestLoad, kLargeServerLoad);
}

} // namespace crocusslip::placement
