#pragma once

#include <cstdint>

namespace crocusslip::protocol {

/// Results of a claim in ClaimAnswer beside those of state::ClaimResult. Entry
/// hosts treat every negative result that they don't know as ClaimUnavailable.
enum class ClaimFailure : std::int8_t
{
  /// The claim may still be committed.
  Unavailable = -1,
  /// The leader's disk is full; this claim was not recorded.
  DiskFull = -2,
};

} // namespace crocusslip::protocol
