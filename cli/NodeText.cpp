#include "cli/NodeText.hpp"

#include "state/Toml.hpp"
#include "state/TomlParser.hpp"
#include "state/TomlPrinter.hpp"

namespace crocusslip::cli {

namespace {

using state::ValueType;

core::Result<toml::table>
Parse(std::string_view aToml)
{
  core::Findings findings;
  auto table = state::ParseToml(aToml, "", findings);
  if (!table) {
    return core::Error{ core::Errc::InvalidInput, findings.front().message_ };
  }
  return std::move(*table);
}

std::string
Print(const toml::table& aTable)
{
  return state::PrintToml(aTable) + '\n';
}

toml::array
ListOf(std::string_view aText)
{
  toml::array list;
  while (!aText.empty()) {
    const std::size_t comma = aText.find(',');
    list.push_back(std::string(aText.substr(0, comma)));
    aText.remove_prefix(comma == std::string_view::npos ? aText.size()
                                                        : comma + 1);
  }
  return list;
}

bool
IsPlainText(ValueType aType, std::string_view aValue)
{
  const bool quoted = aValue.starts_with('"') || aValue.starts_with('\'');
  return !quoted && (aType == ValueType::Text || aType == ValueType::Choice ||
                     aType == ValueType::Duration || aType == ValueType::Size);
}

} // namespace

core::Result<std::string>
WithAssignment(state::NodeKind aKind,
               const std::string& aToml,
               std::string_view aAssignment)
{
  const std::size_t equals = aAssignment.find('=');
  if (equals == std::string_view::npos || equals == 0) {
    return core::Error{ core::Errc::InvalidInput,
                        "expected KEY=VALUE, found \"" +
                          std::string(aAssignment) + "\"" };
  }
  const std::string key(aAssignment.substr(0, equals));
  const std::string_view value = aAssignment.substr(equals + 1);
  core::Result<toml::table> node = Parse(aToml);
  if (!node) {
    return node.Failure();
  }
  toml::table& table = node.Value();
  if (value.empty()) {
    table.erase(key);
    return Print(table);
  }
  const auto index = state::FindKey(aKind, key);
  const ValueType type =
    index ? state::SettingsKeys()[*index].type_ : ValueType::Integer;
  if (IsPlainText(type, value)) {
    table.insert_or_assign(key, std::string(value));
    return Print(table);
  }
  if (type == ValueType::TextList && !value.starts_with('[')) {
    table.insert_or_assign(key, ListOf(value));
    return Print(table);
  }
  core::Result<toml::table> parsed = Parse("value = " + std::string(value));
  if (!parsed) {
    return core::Error{ core::Errc::InvalidInput,
                        key + ": " + parsed.Failure().detail_ };
  }
  table.insert_or_assign(key, std::move(*parsed.Value().get("value")));
  return Print(table);
}

core::Result<std::string>
NormalizedNode(std::string_view aToml)
{
  core::Result<toml::table> node = Parse(aToml);
  if (!node) {
    return node.Failure();
  }
  return Print(node.Value());
}

} // namespace crocusslip::cli
