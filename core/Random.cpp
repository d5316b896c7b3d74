#include "core/Random.hpp"

#include <random>

namespace crocusslip::core {

std::uint64_t
DeviceSeed()
{
  constexpr unsigned kHalfBits = 32;
  std::random_device device;
  const std::uint64_t high = device();
  return (high << kHalfBits) | device();
}

} // namespace crocusslip::core
