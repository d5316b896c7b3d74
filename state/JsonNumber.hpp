#pragma once

#include <nlohmann/json.hpp>

#include <limits>

namespace crocusslip::state {

/// A number that fits. The library converts a fraction or a larger number with
/// a cast, which drops digits or is undefined; here it is an exception of the
/// library like any other wrong type.
template<typename Unsigned>
Unsigned
UnsignedIn(const nlohmann::json& aValue)
{
  static_assert(std::numeric_limits<Unsigned>::is_integer &&
                !std::numeric_limits<Unsigned>::is_signed);
  constexpr int kNotANumber = 302;
  if (!aValue.is_number_unsigned() ||
      aValue.get<std::uint64_t>() > std::numeric_limits<Unsigned>::max()) {
    throw nlohmann::json::type_error::create(
      kNotANumber, "not an integer of the range", &aValue);
  }
  return static_cast<Unsigned>(aValue.get<std::uint64_t>());
}

} // namespace crocusslip::state
