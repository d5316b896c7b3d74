#include "core/Hash.hpp"

#include <array>
#include <cinttypes>
#include <cstdio>

#include <xxhash.h>

namespace crocusslip::core {

std::string
Digest::Hex() const
{
  std::array<char, 33> text{};
  std::snprintf(
    text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, high_, low_);
  return text.data();
}

std::uint64_t
Hash64(std::string_view aBytes, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aBytes.data(), aBytes.size(), aSeed);
}

Digest
Hash128(std::string_view aBytes)
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  return { hash.high64, hash.low64 };
}

} // namespace crocusslip::core
