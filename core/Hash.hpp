#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocusslip::core {

/// 128-bit digest of a key or a body (XXH3); not for security.
struct Digest
{
  std::uint64_t high_ = 0;
  std::uint64_t low_ = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Digest&, const Digest&) = default;
  std::string Hex() const;
};

std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed = 0);

Digest
Hash128(std::string_view aBytes);

} // namespace crocusslip::core

template<>
struct std::hash<crocusslip::core::Digest>
{
  std::size_t operator()(const crocusslip::core::Digest& aDigest) const
  {
    return aDigest.low_;
  }
};
