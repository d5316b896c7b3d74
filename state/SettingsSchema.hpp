#pragma once

#include "core/Clock.hpp"
#include "core/Units.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The one table of settings keys: it drives checking and documentation.
namespace crocusslip::state {

enum class NodeKind : std::uint8_t
{
  Root,
  Group,
  Deployment,
  Server,
  Caller,
  Model,
  Store,
  Platform,
};
inline constexpr std::size_t kNodeKinds = 8;

enum class ValueType : std::uint8_t
{
  Text,
  Choice,
  Integer,
  Number,
  Boolean,
  Duration,
  Size,
  TextList,
};

using TextList = std::vector<std::string>;
/// A checked value; monostate stands for "not set".
using SettingsValue = std::variant<std::monostate,
                                   bool,
                                   std::int64_t,
                                   double,
                                   core::Duration,
                                   core::Bytes,
                                   std::string,
                                   TextList>;

/// Bit set of the node kinds that accept a key.
using NodeKinds = std::uint16_t;

constexpr NodeKinds
Bit(NodeKind aKind)
{
  return static_cast<NodeKinds>(1U << static_cast<unsigned>(aKind));
}

/// One key: how it is checked, where it may stand, and what it means.
struct SettingsKey
{
  std::string_view name_;
  NodeKinds places_ = 0;
  ValueType type_ = ValueType::Text;
  /// Unit of a plain number, e.g. "requests/s"; empty where the text has it.
  std::string_view unit_;
  /// TOML text of the default; empty when there is none.
  std::string_view default_;
  bool inherited_ = false;
  /// Least and greatest value: seconds for durations, bytes for sizes.
  double least_ = 0;
  double greatest_ = 0;
  /// For a choice: the accepted words, separated by '|'.
  std::string_view choices_;
  std::string_view description_;
};

/// Position of a key in the table.
using KeyIndex = std::uint8_t;

std::span<const SettingsKey>
SettingsKeys();

/// The key's position when a node of this kind accepts it.
std::optional<KeyIndex>
FindKey(NodeKind aKind, std::string_view aName);

/// The known key of this kind of node whose name is nearest to a wrong one;
/// empty when none is near.
std::string_view
NearestKey(NodeKind aKind, std::string_view aName);

/// The nearest of several words; empty when none is near.
std::string_view
NearestWord(std::span<const std::string_view> aWords, std::string_view aWord);

/// The default as a checked value.
const SettingsValue&
DefaultValue(KeyIndex aKey);

/// "group", "deployment", ...
std::string_view
Name(NodeKind aKind);
std::string_view
Name(ValueType aType);

/// A value as TOML text.
std::string
TomlText(const SettingsValue& aValue);

/// The operators' page of all keys, generated from the table.
std::string
SettingsPage();

} // namespace crocusslip::state
