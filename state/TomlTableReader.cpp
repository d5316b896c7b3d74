#include "state/TomlTableReader.hpp"

#include <algorithm>

namespace crocusslip::state {

namespace {

constexpr double kShortestInterval = 0.001;
constexpr double kDay = 86400;
constexpr double kMaxSize = 1024.0 * core::kGibi;

std::uint32_t
LineOf(const toml::node& aNode)
{
  return static_cast<std::uint32_t>(aNode.source().begin.line);
}

} // namespace

TomlTableReader::TomlTableReader(const toml::table& aTable,
                                 std::string aPrefix,
                                 const std::string& aFile,
                                 core::Findings& aFindings)
  : table_(aTable)
  , prefix_(std::move(aPrefix))
  , file_(aFile)
  , findings_(aFindings)
{
}

bool
TomlTableReader::Text(std::string_view aName, std::string& aTarget)
{
  return Take<std::string>(Field(aName, ValueType::Text), aTarget);
}

void
TomlTableReader::Count(std::string_view aName,
                       std::uint32_t& aTarget,
                       double aGreatest)
{
  Take<std::int64_t>(Field(aName, ValueType::Integer, 1, aGreatest), aTarget);
}

void
TomlTableReader::Interval(std::string_view aName, core::Duration& aTarget)
{
  Take<core::Duration>(
    Field(aName, ValueType::Duration, kShortestInterval, kDay), aTarget);
}

void
TomlTableReader::Size(std::string_view aName, core::Bytes& aTarget)
{
  Take<core::Bytes>(Field(aName, ValueType::Size, 1, kMaxSize), aTarget);
}

void
TomlTableReader::Address(std::string_view aName, ListenAddress& aTarget)
{
  std::string text;
  if (!Text(aName, text)) {
    return;
  }
  if (auto address = ParseAddress(text)) {
    aTarget = std::move(*address);
    return;
  }
  Report(aName,
         "expected an IP address and a port such as \"127.0.0.1:8080\", "
         "found \"" +
           text + "\"");
}

const toml::table*
TomlTableReader::Table(std::string_view aName)
{
  known_.push_back(aName);
  const toml::node* const node = table_.get(aName);
  if (node == nullptr) {
    return nullptr;
  }
  if (!node->is_table()) {
    Report(aName, "expected a table [" + std::string(aName) + "]");
  }
  return node->as_table();
}

const toml::array*
TomlTableReader::Tables(std::string_view aName)
{
  known_.push_back(aName);
  const toml::node* const node = table_.get(aName);
  if (node == nullptr) {
    return nullptr;
  }
  const toml::array* const array = node->as_array();
  if (array == nullptr || !array->is_array_of_tables()) {
    Report(aName, "expected tables [[" + std::string(aName) + "]]");
    return nullptr;
  }
  return array;
}

void
TomlTableReader::ReportUnknown()
{
  for (const auto& [key, node] : table_) {
    const std::string_view name = key.str();
    if (std::find(known_.begin(), known_.end(), name) != known_.end()) {
      continue;
    }
    const std::string_view near = NearestWord(known_, name);
    Report(name,
           near.empty()
             ? "unknown key"
             : "unknown key; nearest known key: \"" + std::string(near) + "\"");
  }
}

void
TomlTableReader::Require(std::initializer_list<std::string_view> aNames)
{
  for (const std::string_view name : aNames) {
    if (!Has(name)) {
      Report(name, "is required");
    }
  }
}

void
TomlTableReader::Report(std::string_view aName, std::string aMessage)
{
  std::uint32_t line = LineOf(table_);
  for (const auto& [key, node] : table_) {
    if (key.str() == aName) {
      line = static_cast<std::uint32_t>(key.source().begin.line);
    }
  }
  findings_.push_back(
    { file_, line, prefix_ + std::string(aName), std::move(aMessage) });
}

} // namespace crocusslip::state
