#pragma once

#include <compare>
#include <cstdint>

namespace crocusslip::core {

/// An amount of memory or data.
class Bytes
{
public:
  constexpr Bytes() = default;
  constexpr explicit Bytes(std::uint64_t aCount)
    : count_(aCount)
  {
  }

  constexpr std::uint64_t Count() const { return count_; }

  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend constexpr auto operator<=>(const Bytes&, const Bytes&) = default;
  friend constexpr Bytes operator+(Bytes aLeft, Bytes aRight)
  {
    return Bytes(aLeft.count_ + aRight.count_);
  }
  /// Subtracts, stopping at zero.
  friend constexpr Bytes operator-(Bytes aLeft, Bytes aRight)
  {
    return aLeft.count_ < aRight.count_ ? Bytes()
                                        : Bytes(aLeft.count_ - aRight.count_);
  }
  constexpr Bytes& operator+=(Bytes aOther)
  {
    count_ += aOther.count_;
    return *this;
  }

private:
  std::uint64_t count_ = 0;
};

inline constexpr std::uint64_t kKibi = 1024;
inline constexpr std::uint64_t kMebi = kKibi * 1024;
inline constexpr std::uint64_t kGibi = kMebi * 1024;

} // namespace crocusslip::core
