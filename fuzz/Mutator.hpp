#pragma once

#include "core/Random.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace crocusslip::fuzz {

/// The longest input that is made.
inline constexpr std::size_t kMaxInput = 4096;

/// A few random changes of one input: flipped bits, cut, repeated and inserted
/// parts, extreme numbers, and parts of other inputs. Equal seeds give equal
/// results.
std::string
Mutate(std::string_view aInput,
       std::span<const std::string> aOthers,
       core::Random& aRandom);

} // namespace crocusslip::fuzz
