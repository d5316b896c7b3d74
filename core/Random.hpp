#pragma once

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <cstdint>

namespace crocusslip::core {

/// Seeded random source; equal seeds give equal sequences on every platform.
class Random
{
public:
  explicit Random(std::uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  std::uint64_t Next() { return engine_(); }
  /// In [0, 1).
  double Uniform() { return boost::random::uniform_01<double>()(engine_); }
  /// In [0, aBound); aBound must not be 0.
  std::uint64_t Below(std::uint64_t aBound)
  {
    return boost::random::uniform_int_distribution<std::uint64_t>(
      0, aBound - 1)(engine_);
  }
  double Exponential(double aMean)
  {
    return boost::random::exponential_distribution<double>(1.0 /
                                                           aMean)(engine_);
  }
  bool Chance(double aProbability) { return Uniform() < aProbability; }

private:
  boost::random::mt19937_64 engine_;
};

/// A seed from the system's random device.
std::uint64_t
DeviceSeed();

} // namespace crocusslip::core
