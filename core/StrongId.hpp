#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace crocusslip::core {

/// A text identifier that does not mix with identifiers of another kind.
template<typename Tag>
class StrongId
{
public:
  StrongId() = default;
  explicit StrongId(std::string aValue)
    : value_(std::move(aValue))
  {
  }

  const std::string& Value() const { return value_; }
  bool Empty() const { return value_.empty(); }

  // clang-tidy takes the 0 in rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const StrongId&, const StrongId&) = default;

private:
  std::string value_;
};

/// A number that does not mix with numbers of another kind.
template<typename Tag, typename Rep>
class StrongNumber
{
public:
  using RepType = Rep;

  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep aValue)
    : value_(aValue)
  {
  }

  constexpr Rep Value() const { return value_; }
  constexpr StrongNumber Next() const { return StrongNumber(value_ + 1); }

  // NOLINTBEGIN(modernize-use-nullptr)
  friend constexpr auto operator<=>(const StrongNumber&,
                                    const StrongNumber&) = default;
  // NOLINTEND(modernize-use-nullptr)

private:
  Rep value_{};
};

} // namespace crocusslip::core

template<typename Tag>
struct std::hash<crocusslip::core::StrongId<Tag>>
{
  std::size_t operator()(const crocusslip::core::StrongId<Tag>& aId) const
  {
    return std::hash<std::string>{}(aId.Value());
  }
};

template<typename Tag, typename Rep>
struct std::hash<crocusslip::core::StrongNumber<Tag, Rep>>
{
  std::size_t operator()(
    const crocusslip::core::StrongNumber<Tag, Rep>& aNumber) const
  {
    return std::hash<Rep>{}(aNumber.Value());
  }
};
