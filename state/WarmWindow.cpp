#include "state/WarmWindow.hpp"

#include <array>
#include <charconv>
#include <optional>

namespace crocusslip::state {

namespace {

using std::chrono::days;
using std::chrono::minutes;

constexpr std::array<std::string_view, 7> kWeekdays = { "Sun", "Mon", "Tue",
                                                        "Wed", "Thu", "Fri",
                                                        "Sat" };
constexpr std::uint8_t kEveryWeekday = 0x7F;
constexpr unsigned kDaysInLongestMonth = 31;
constexpr minutes kDayLength{ 24 * 60 };
/// Two of the shortest months in a row are bridged for day 31.
constexpr int kSearchDays = 62;

std::optional<unsigned>
Weekday(std::string_view aName)
{
  for (unsigned i = 0; i < kWeekdays.size(); ++i) {
    if (kWeekdays[i] == aName) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<unsigned>
Number(std::string_view aText)
{
  unsigned value = 0;
  const char* const end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc() || last != end) {
    return std::nullopt;
  }
  return value;
}

/// "HH:MM", up to and including 24:00.
std::optional<minutes>
TimeOfDay(std::string_view aText)
{
  if (aText.size() != 5 || aText[2] != ':') {
    return std::nullopt;
  }
  const auto hour = Number(aText.substr(0, 2));
  const auto minute = Number(aText.substr(3, 2));
  if (!hour || !minute || *minute > 59) {
    return std::nullopt;
  }
  const minutes time(*hour * 60 + *minute);
  if (time > kDayLength) {
    return std::nullopt;
  }
  return time;
}

struct Range
{
  std::string_view first_;
  std::string_view last_;
};

/// "a-b", or "a" as a range of one.
Range
SplitRange(std::string_view aText)
{
  const std::size_t dash = aText.find('-');
  if (dash == std::string_view::npos) {
    return { aText, aText };
  }
  return { aText.substr(0, dash), aText.substr(dash + 1) };
}

bool
SetTimes(std::string_view aText, WarmWindow& aWindow)
{
  const Range range = SplitRange(aText);
  const auto begin = TimeOfDay(range.first_);
  const auto end = TimeOfDay(range.last_);
  if (!begin || !end || *begin >= *end) {
    return false;
  }
  aWindow.begin_ = *begin;
  aWindow.end_ = *end;
  return true;
}

bool
SetWeekdays(std::string_view aText, WarmWindow& aWindow)
{
  if (aText == "daily") {
    aWindow.weekdays_ = kEveryWeekday;
    return true;
  }
  const Range range = SplitRange(aText);
  const auto first = Weekday(range.first_);
  const auto last = Weekday(range.last_);
  if (!first || !last) {
    return false;
  }
  for (unsigned day = *first;; day = (day + 1) % kWeekdays.size()) {
    aWindow.weekdays_ |= static_cast<std::uint8_t>(1U << day);
    if (day == *last) {
      return true;
    }
  }
}

bool
SetMonthDays(std::string_view aText, WarmWindow& aWindow)
{
  const Range range = SplitRange(aText);
  const auto first = Number(range.first_);
  const auto last = Number(range.last_);
  if (!first || !last || *first < 1 || *first > *last ||
      *last > kDaysInLongestMonth) {
    return false;
  }
  aWindow.firstDay_ = static_cast<std::uint8_t>(*first);
  aWindow.lastDay_ = static_cast<std::uint8_t>(*last);
  return true;
}

using LocalDays = std::chrono::sys_days;

bool
IsOn(const WarmWindow& aWindow, LocalDays aDay)
{
  if (aWindow.weekdays_ != 0) {
    const unsigned weekday = std::chrono::weekday(aDay).c_encoding();
    return (aWindow.weekdays_ & (1U << weekday)) != 0;
  }
  const auto day =
    static_cast<unsigned>(std::chrono::year_month_day(aDay).day());
  return day >= aWindow.firstDay_ && day <= aWindow.lastDay_;
}

} // namespace

bool
WarmWindow::Contains(core::WallTime aTime, minutes aUtcOffset) const
{
  const core::WallTime local = aTime + aUtcOffset;
  const auto day = std::chrono::floor<days>(local);
  const auto sinceMidnight = local - day;
  return sinceMidnight >= begin_ && sinceMidnight < end_ && IsOn(*this, day);
}

std::optional<core::WallTime>
WarmWindow::NextStart(core::WallTime aTime, minutes aUtcOffset) const
{
  const core::WallTime local = aTime + aUtcOffset;
  LocalDays day = std::chrono::floor<days>(local);
  for (int i = 0; i <= kSearchDays; ++i, day += days(1)) {
    if (IsOn(*this, day) && local < day + end_) {
      return core::WallTime(day + begin_) - aUtcOffset;
    }
  }
  return std::nullopt;
}

std::optional<WarmWindow>
ParseWarmWindow(std::string_view aText)
{
  constexpr std::string_view kDayPrefix = "day ";
  const std::size_t space = aText.rfind(' ');
  if (space == std::string_view::npos) {
    return std::nullopt;
  }
  WarmWindow window;
  if (!SetTimes(aText.substr(space + 1), window)) {
    return std::nullopt;
  }
  const std::string_view when = aText.substr(0, space);
  const bool ok = when.starts_with(kDayPrefix)
                    ? SetMonthDays(when.substr(kDayPrefix.size()), window)
                    : SetWeekdays(when, window);
  if (!ok) {
    return std::nullopt;
  }
  return window;
}

std::optional<minutes>
ParseUtcOffset(std::string_view aText)
{
  if (aText == "Z") {
    return minutes(0);
  }
  if (aText.empty() || (aText[0] != '+' && aText[0] != '-')) {
    return std::nullopt;
  }
  const auto offset = TimeOfDay(aText.substr(1));
  if (!offset || *offset > std::chrono::hours(14)) {
    return std::nullopt;
  }
  return aText[0] == '-' ? -*offset : *offset;
}

} // namespace crocusslip::state
