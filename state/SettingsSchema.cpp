#include "state/SettingsSchema.hpp"

#include "state/Quantity.hpp"
#include "state/SettingsKeys.hpp"
#include "state/SettingsValueReader.hpp"
#include "state/Toml.hpp"
#include "state/TomlPrinter.hpp"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace crocusslip::state {

namespace {

constexpr std::array<std::string_view, kNodeKinds> kKindNames = {
  "root",   "group", "deployment", "server",
  "caller", "model", "store",      "platform"
};

constexpr std::array<std::string_view, 8> kTypeNames = {
  "text",    "choice",   "integer", "number",
  "boolean", "duration", "size",    "list of texts"
};

std::size_t
EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{ 0 });
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t replaced = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
    }
  }
  return row.back();
}

SettingsValue
ReadDefault(const SettingsKey& aKey)
{
  if (aKey.default_.empty()) {
    return {};
  }
  const std::string text = "value = " + std::string(aKey.default_);
  const toml::table table = toml::parse(text);
  return ReadSettingsValue(aKey, *table.get("value")).value_;
}

std::vector<SettingsValue>
ReadDefaults()
{
  std::vector<SettingsValue> values;
  values.reserve(kSettingsKeys.size());
  for (const SettingsKey& key : kSettingsKeys) {
    values.push_back(ReadDefault(key));
  }
  return values;
}

std::string
Quoted(const std::string& aText)
{
  return PrintToml(toml::value<std::string>(aText));
}

std::string
ListText(const TextList& aList)
{
  std::string text = "[";
  for (const std::string& item : aList) {
    text += (text.size() > 1 ? ", " : "") + Quoted(item);
  }
  return text + "]";
}

/// Always with a decimal point or an exponent, so that it stays a number.
std::string
NumberText(double aValue)
{
  std::array<char, 32> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aValue).ptr;
  std::string text(digits.data(), end);
  if (text.find_first_of(".en") == std::string::npos) {
    text += ".0";
  }
  return text;
}

struct TomlWriter
{
  std::string operator()(std::monostate) const { return ""; }
  std::string operator()(bool aValue) const
  {
    return aValue ? "true" : "false";
  }
  std::string operator()(std::int64_t aValue) const
  {
    return std::to_string(aValue);
  }
  std::string operator()(double aValue) const { return NumberText(aValue); }
  std::string operator()(core::Duration aValue) const
  {
    return '"' + FormatDuration(aValue) + '"';
  }
  std::string operator()(core::Bytes aValue) const
  {
    return '"' + FormatSize(aValue) + '"';
  }
  std::string operator()(const std::string& aValue) const
  {
    return Quoted(aValue);
  }
  std::string operator()(const TextList& aValue) const
  {
    return ListText(aValue);
  }
};

std::string
RangeText(const SettingsKey& aKey)
{
  if (aKey.type_ == ValueType::Choice) {
    std::string words(aKey.choices_);
    std::replace(words.begin(), words.end(), '|', ' ');
    return words;
  }
  if (aKey.greatest_ == 0) {
    return "";
  }
  return BoundText(aKey, aKey.least_) + " to " +
         BoundText(aKey, aKey.greatest_);
}

void
AppendRow(std::string& aPage, const SettingsKey& aKey)
{
  std::string unit(aKey.unit_);
  aPage +=
    "| `" + std::string(aKey.name_) + "` | " + std::string(Name(aKey.type_)) +
    " | " + unit + " | " + RangeText(aKey) + " | " +
    (aKey.default_.empty() ? "" : "`" + std::string(aKey.default_) + "`") +
    " | " + (aKey.inherited_ ? "yes" : "no") + " | " +
    std::string(aKey.description_) + " |\n";
}

struct PageSection
{
  std::string_view title_;
  std::string_view text_;
  NodeKind kind_;
};

constexpr std::array kSections = {
  PageSection{ "Deployments: `[deployment.NAME]`, `[group.NAME]`, `[root]`",
               "A deployment inherits from its parent group, the group from "
               "its own parent, and all from the root. Keys that are not "
               "inherited stand only in a deployment (`parent` also in a "
               "group).",
               NodeKind::Deployment },
  PageSection{ "Backend servers: `[server.NAME]`", "", NodeKind::Server },
  PageSection{ "Callers: `[caller.NAME]`", "", NodeKind::Caller },
  PageSection{ "Models: `[model.NAME]`", "", NodeKind::Model },
  PageSection{ "Weight store: `[store]`", "", NodeKind::Store },
  PageSection{ "Platform: `[platform]`", "", NodeKind::Platform },
};

constexpr std::string_view kPlatformLimits =
  "\n## Limits of the programs for the users' platform\n\n"
  "They follow from the settings file of the platform and have no key here.\n\n"
  "| what | default | beyond it | metric |\n| --- | --- | --- | --- |\n"
  "| requests that are read or served, and answers | 0.4 of `Limits.MemoryMb` "
  "in all; none without it | reading stops; a request that yields: 503 with "
  "`Retry-After`, not run | `crocusslip_held_bytes`, `crocusslip_yields_total` "
  "|\n"
  "| part of it for holders of up to 64 KiB | an eighth | - |  |\n"
  "| part of it for answers | a quarter | an answer waits until its deadline, "
  "then 502 or 504 |  |\n"
  "| answers of servers that are not streams, in all | 32 MiB | as above |  |\n"
  "| body without progress while others wait for room | 1 s | 503 with "
  "`Retry-After`, not run | `crocusslip_yields_total{reason=\"stalled\"}` |\n"
  "| wait of a body for room | 3 s | 503 with `Retry-After`, not run | "
  "`crocusslip_yields_total{reason=\"waited\"}` |\n"
  "| whole body | 600 s, without waits for room | 408, not run | "
  "`crocusslip_refusals_total{reason=\"malformed\"}` |\n"
  "| rate of a body | 1 KiB/s, after its first 20 s | 408, not run | "
  "`crocusslip_refusals_total{reason=\"malformed\"}` |\n"
  "| connections of callers | 0.75 of `Limits.MaxFds` less 200, and 0.2 of "
  "`Limits.MemoryMb` at 10 KiB each; none without them | idle ones close, then "
  "those without a byte of their request for 1 s, then the new one | "
  "`crocusslip_connections_closed_total` |\n"
  "| connections for readiness and metrics | 64, bodies up to 4 KiB | as above "
  "|  |\n"
  "| calls of operators to a control process | 32 MiB of bodies in all, 64 "
  "connections | 503; as above | `crocusslip_held_bytes` |\n";

} // namespace

std::span<const SettingsKey>
SettingsKeys()
{
  return kSettingsKeys;
}

std::optional<KeyIndex>
FindKey(NodeKind aKind, std::string_view aName)
{
  for (std::size_t i = 0; i < kSettingsKeys.size(); ++i) {
    if ((kSettingsKeys[i].places_ & Bit(aKind)) != 0 &&
        kSettingsKeys[i].name_ == aName) {
      return static_cast<KeyIndex>(i);
    }
  }
  return std::nullopt;
}

std::string_view
NearestWord(std::span<const std::string_view> aWords, std::string_view aWord)
{
  std::string_view nearest;
  // A name that differs in more than a third of its letters is another name.
  std::size_t limit = aWord.size() / 3 + 1;
  for (const std::string_view word : aWords) {
    const std::size_t distance = EditDistance(word, aWord);
    if (distance <= limit && (nearest.empty() || distance < limit)) {
      nearest = word;
      limit = distance;
    }
  }
  return nearest;
}

std::string_view
NearestKey(NodeKind aKind, std::string_view aName)
{
  std::vector<std::string_view> names;
  for (const SettingsKey& key : kSettingsKeys) {
    if ((key.places_ & Bit(aKind)) != 0) {
      names.push_back(key.name_);
    }
  }
  return NearestWord(names, aName);
}

const SettingsValue&
DefaultValue(KeyIndex aKey)
{
  static const std::vector<SettingsValue> sValues = ReadDefaults();
  return sValues[aKey];
}

std::string_view
Name(NodeKind aKind)
{
  return kKindNames[static_cast<std::size_t>(aKind)];
}

std::string_view
Name(ValueType aType)
{
  return kTypeNames[static_cast<std::size_t>(aType)];
}

std::string
TomlText(const SettingsValue& aValue)
{
  return std::visit(TomlWriter{}, aValue);
}

std::string
SettingsPage()
{
  std::string page =
    "# Settings\n\n"
    "Generated by `crocusslip config reference`. Durations carry a unit "
    "(`ns`, `us`, `ms`, `s`, `m`, `h`, `d`), sizes too (`B`, `KiB`, `MiB`, "
    "`GiB`, `TiB`): `\"250ms\"`, `\"6GiB\"`.\n";
  for (const PageSection& section : kSections) {
    page += "\n## " + std::string(section.title_) + "\n\n";
    if (!section.text_.empty()) {
      page += std::string(section.text_) + "\n\n";
    }
    page += "| key | type | unit | accepted | default | inherited | meaning "
            "|\n| --- | --- | --- | --- | --- | --- | --- |\n";
    for (const SettingsKey& key : kSettingsKeys) {
      if ((key.places_ & Bit(section.kind_)) != 0) {
        AppendRow(page, key);
      }
    }
  }
  return page + std::string(kPlatformLimits);
}

} // namespace crocusslip::state
