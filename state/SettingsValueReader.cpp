#include "state/SettingsValueReader.hpp"

#include "state/ProcessSettings.hpp"
#include "state/Quantity.hpp"
#include "state/RoutePattern.hpp"
#include "state/WarmWindow.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <vector>

namespace crocusslip::state {

namespace {

constexpr double kNanosecondsPerSecond = 1e9;
constexpr std::size_t kMaxText = 1024;
constexpr std::size_t kSha256Digits = 64;

std::string_view
TomlTypeName(const toml::node& aNode)
{
  switch (aNode.type()) {
    case toml::node_type::table:
      return "a table";
    case toml::node_type::array:
      return "a list";
    case toml::node_type::string:
      return "a text";
    case toml::node_type::integer:
      return "an integer";
    case toml::node_type::floating_point:
      return "a number";
    case toml::node_type::boolean:
      return "a boolean";
    default:
      return "a date or time";
  }
}

ReadValue
Problem(std::string aText)
{
  return { {}, std::move(aText) };
}

ReadValue
WrongType(std::string_view aExpected, const toml::node& aNode)
{
  return Problem("expected " + std::string(aExpected) + ", found " +
                 std::string(TomlTypeName(aNode)));
}

/// Empty when the value lies within the bounds.
std::string
RangeProblem(const SettingsKey& aKey, double aValue)
{
  if (aKey.greatest_ == 0 ||
      (aValue >= aKey.least_ && aValue <= aKey.greatest_)) {
    return {};
  }
  return "must be between " + BoundText(aKey, aKey.least_) + " and " +
         BoundText(aKey, aKey.greatest_);
}

ReadValue
ReadInteger(const SettingsKey& aKey, const toml::node& aNode)
{
  const auto value = aNode.value_exact<std::int64_t>();
  if (!value) {
    return WrongType("an integer", aNode);
  }
  return { *value, RangeProblem(aKey, static_cast<double>(*value)) };
}

ReadValue
ReadNumber(const SettingsKey& aKey, const toml::node& aNode)
{
  if (!aNode.is_number()) {
    return WrongType("a number", aNode);
  }
  const double value = aNode.value<double>().value_or(std::nan(""));
  if (!std::isfinite(value)) {
    return Problem("must be finite");
  }
  return { value, RangeProblem(aKey, value) };
}

ReadValue
ReadBoolean(const toml::node& aNode)
{
  const auto value = aNode.value_exact<bool>();
  if (!value) {
    return WrongType("true or false", aNode);
  }
  return { *value, {} };
}

ReadValue
ReadDuration(const SettingsKey& aKey, const toml::node& aNode)
{
  constexpr std::string_view kExpected =
    "a duration with a unit, e.g. \"250ms\" or \"10m\"";
  const auto text = aNode.value_exact<std::string>();
  if (!text) {
    return WrongType(kExpected, aNode);
  }
  const auto value = ParseDuration(*text);
  if (!value) {
    return Problem("expected " + std::string(kExpected) + ", found \"" + *text +
                   "\"");
  }
  return { *value,
           RangeProblem(aKey,
                        static_cast<double>(value->count()) /
                          kNanosecondsPerSecond) };
}

ReadValue
ReadSize(const SettingsKey& aKey, const toml::node& aNode)
{
  constexpr std::string_view kExpected =
    "a size with a unit, e.g. \"64KiB\" or \"6GiB\"";
  const auto text = aNode.value_exact<std::string>();
  if (!text) {
    return WrongType(kExpected, aNode);
  }
  const auto value = ParseSize(*text);
  if (!value) {
    return Problem("expected " + std::string(kExpected) + ", found \"" + *text +
                   "\"");
  }
  return { *value, RangeProblem(aKey, static_cast<double>(value->Count())) };
}

std::vector<std::string_view>
Choices(std::string_view aWords)
{
  std::vector<std::string_view> words;
  while (!aWords.empty()) {
    const std::size_t bar = aWords.find('|');
    words.push_back(aWords.substr(0, bar));
    aWords.remove_prefix(bar == std::string_view::npos ? aWords.size()
                                                       : bar + 1);
  }
  return words;
}

ReadValue
ReadChoice(const SettingsKey& aKey, const toml::node& aNode)
{
  const std::vector<std::string_view> words = Choices(aKey.choices_);
  std::string list;
  for (const std::string_view word : words) {
    list += (list.empty() ? "\"" : ", \"") + std::string(word) + "\"";
  }
  const auto text = aNode.value_exact<std::string>();
  if (!text) {
    return WrongType("one of " + list, aNode);
  }
  if (std::find(words.begin(), words.end(), *text) == words.end()) {
    const std::string_view near = NearestWord(words, *text);
    return Problem("unknown value \"" + *text + "\"; expected one of " + list +
                   (near.empty() ? std::string()
                                 : "; nearest: \"" + std::string(near) + "\""));
  }
  return { *text, {} };
}

/// The hash of an empty key; every caller could send that key.
constexpr std::string_view kSha256OfNothing =
  "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

bool
IsSha256(const std::string& aText)
{
  return aText.size() == kSha256Digits &&
         aText.find_first_not_of("0123456789abcdef") == std::string::npos &&
         aText != kSha256OfNothing;
}

/// A further rule on the form of a text, by key.
struct TextForm
{
  std::string_view key_;
  bool (*accepts_)(const std::string&);
  std::string_view expected_;
  /// The text may be a secret by mistake, so that no finding repeats it.
  bool secret_ = false;
};

constexpr std::array kTextForms = {
  TextForm{ "path_prefix",
            [](const std::string& aText) {
              return aText.size() > 1 && aText.front() == '/' &&
                     aText.back() != '/' &&
                     aText.find_first_of("*? #") == std::string::npos;
            },
            "a path such as \"/deposits\", without a slash at its end" },
  TextForm{
    "warm_windows",
    [](const std::string& aText) { return ParseWarmWindow(aText).has_value(); },
    "a window such as \"Sun 09:00-12:00\" or \"day 28-31 "
    "08:00-18:00\"" },
  TextForm{
    "utc_offset",
    [](const std::string& aText) { return ParseUtcOffset(aText).has_value(); },
    "an offset such as \"+03:00\"" },
  TextForm{ "non_idempotent",
            [](const std::string& aText) {
              return ParseRoutePattern(aText).has_value();
            },
            "a method and a path such as \"POST /deposits\"" },
  TextForm{ "address",
            [](const std::string& aText) {
              const auto address = ParseAddress(aText);
              return address && address->port_ != 0;
            },
            "an IP address and a port such as \"10.0.3.7:8000\"" },
  TextForm{ "key_sha256",
            IsSha256,
            "64 hexadecimal digits in lower case, not those of an empty key",
            true },
  TextForm{ "host_list_url",
            [](const std::string& aText) {
              return aText.starts_with("http://") ||
                     aText.starts_with("https://");
            },
            "an http:// or https:// address" },
};

std::string
TextProblem(const SettingsKey& aKey, const std::string& aText)
{
  if (aText.empty()) {
    return "must not be empty";
  }
  if (aText.size() > kMaxText) {
    return "is longer than " + std::to_string(kMaxText) + " characters";
  }
  for (const TextForm& form : kTextForms) {
    if (form.key_ == aKey.name_ && !form.accepts_(aText)) {
      return "expected " + std::string(form.expected_) +
             (form.secret_ ? std::string() : ", found \"" + aText + "\"");
    }
  }
  return {};
}

ReadValue
ReadText(const SettingsKey& aKey, const toml::node& aNode)
{
  const auto text = aNode.value_exact<std::string>();
  if (!text) {
    return WrongType("a text", aNode);
  }
  return { *text, TextProblem(aKey, *text) };
}

ReadValue
ReadTextList(const SettingsKey& aKey, const toml::node& aNode)
{
  const toml::array* const array = aNode.as_array();
  if (array == nullptr) {
    return WrongType("a list of texts", aNode);
  }
  TextList list;
  for (const toml::node& item : *array) {
    ReadValue text = ReadText(aKey, item);
    if (!text.Ok()) {
      return text;
    }
    list.push_back(std::get<std::string>(std::move(text.value_)));
  }
  return { std::move(list), {} };
}

ReadValue
Read(const SettingsKey& aKey, const toml::node& aNode)
{
  switch (aKey.type_) {
    case ValueType::Text:
      return ReadText(aKey, aNode);
    case ValueType::Choice:
      return ReadChoice(aKey, aNode);
    case ValueType::Integer:
      return ReadInteger(aKey, aNode);
    case ValueType::Number:
      return ReadNumber(aKey, aNode);
    case ValueType::Boolean:
      return ReadBoolean(aNode);
    case ValueType::Duration:
      return ReadDuration(aKey, aNode);
    case ValueType::Size:
      return ReadSize(aKey, aNode);
    case ValueType::TextList:
      return ReadTextList(aKey, aNode);
  }
  return Problem("unknown type");
}

} // namespace

ReadValue
ReadSettingsValue(const SettingsKey& aKey, const toml::node& aNode)
{
  ReadValue read = Read(aKey, aNode);
  if (!read.Ok()) {
    read.value_ = {};
  }
  return read;
}

std::string
BoundText(const SettingsKey& aKey, double aBound)
{
  if (aKey.type_ == ValueType::Duration) {
    return FormatDuration(core::Duration(
      static_cast<core::Duration::rep>(aBound * kNanosecondsPerSecond)));
  }
  if (aKey.type_ == ValueType::Size) {
    return FormatSize(core::Bytes(static_cast<std::uint64_t>(aBound)));
  }
  if (aKey.type_ == ValueType::Integer) {
    return std::to_string(static_cast<std::int64_t>(aBound));
  }
  return TomlText(aBound);
}

} // namespace crocusslip::state
