#pragma once

#include <cstdint>

namespace crocusslip::placement {

/// Slots of a server from which on its size no longer counts.
inline constexpr std::uint32_t kManySlots = 48;

/// Running and waiting requests for each replica above which a busy model gets
/// another one. A server's slots are shared by its models, and each prompt that
/// is read holds up the streams beside it: with few slots a model that takes
/// most of them makes the other models' callers wait. Load: 12 to 24 slots a
/// server, where the 6 requests of large servers are up to half of them.
double
LoadPerReplica(std::uint32_t aSlots);

} // namespace crocusslip::placement
