#pragma once

#include "core/Clock.hpp"

#include <algorithm>
#include <chrono>

namespace crocusslip::coordination {

/// Token bucket rate limiter; the current time is passed to each call.
class TokenBucket
{
public:
  TokenBucket() = default;
  TokenBucket(double aRate, double aBurst, core::MonotonicTime aNow)
    : rate_(aRate)
    , burst_(aBurst)
    , tokens_(aBurst)
    , refilledAt_(aNow)
  {
  }

  /// Takes the tokens if there are enough, else none.
  bool TryTake(double aTokens, core::MonotonicTime aNow)
  {
    Refill(aNow);
    if (tokens_ < aTokens) {
      return false;
    }
    tokens_ -= aTokens;
    return true;
  }

  /// Adds tokens, up to the burst size.
  void Add(double aTokens) { tokens_ = std::min(burst_, tokens_ + aTokens); }

  /// Time until aTokens tokens are available; max when they never will be.
  core::Duration WaitFor(double aTokens, core::MonotonicTime aNow)
  {
    Refill(aNow);
    if (tokens_ >= aTokens) {
      return core::Duration::zero();
    }
    if (rate_ <= 0.0) {
      return core::Duration::max();
    }
    return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double>((aTokens - tokens_) / rate_));
  }

  bool Full(core::MonotonicTime aNow)
  {
    Refill(aNow);
    return tokens_ >= burst_;
  }

  double Tokens() const { return tokens_; }
  double Rate() const { return rate_; }
  double Burst() const { return burst_; }

private:
  void Refill(core::MonotonicTime aNow)
  {
    if (aNow <= refilledAt_) {
      return;
    }
    const std::chrono::duration<double> elapsed = aNow - refilledAt_;
    tokens_ = std::min(burst_, tokens_ + rate_ * elapsed.count());
    refilledAt_ = aNow;
  }

  double rate_ = 0.0;
  double burst_ = 0.0;
  double tokens_ = 0.0;
  core::MonotonicTime refilledAt_{};
};

} // namespace crocusslip::coordination
