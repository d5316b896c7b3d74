#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <vector>

namespace crocusslip::admission {

/// How long a host may spend credit after the report that was answered with it.
/// From then on it passes on its part of the rate only.
inline constexpr std::chrono::milliseconds kCreditLifetime{ 800 };

/// How long it may save its fallback credit from then on.
inline constexpr std::chrono::milliseconds kFallbackCreditTime{ 4000 };

/// What one host did for a tenant since its last report, in units of the quota.
struct QuotaUse
{
  /// By requests that were passed on to a server, less what was given back.
  double spent_ = 0;
  /// Requests that were passed on.
  std::uint32_t requests_ = 0;
  /// By requests that wait for credit.
  double wanted_ = 0;
  /// Granted and not spent; without contact, what may be passed on at once.
  double credit_ = 0;
  /// By requests that were admitted and not passed on yet.
  double reserved_ = 0;
  /// Requests refused for the quota.
  std::uint32_t refused_ = 0;
  /// Spent in each of the last seconds, the newest first; from a host
  /// that the leader may not have heard of for a while.
  std::vector<double> recent_;
};

/// What a host may do for a tenant until its next report.
struct QuotaGrant
{
  /// Replaces the credit that the host holds.
  double credit_ = 0;
  /// Whether the credit is less than the host may need: most requests ask.
  bool metered_ = false;
  /// Units a second that the host may pass on without contact, and at once when
  /// it loses contact.
  double fallbackPerSecond_ = 0;
  double fallbackCredit_ = 0;
  /// Until a refused request can be served; 0 if there is room.
  core::Duration retryAfter_{ 0 };
};

} // namespace crocusslip::admission
