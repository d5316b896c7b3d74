#pragma once

#include "core/Finding.hpp"
#include "core/Units.hpp"
#include "state/ListenAddress.hpp"
#include "state/SettingsValueReader.hpp"
#include "state/Toml.hpp"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocusslip::state {

/// The description of a key that stands outside the table of settings keys.
constexpr SettingsKey
Field(std::string_view aName,
      ValueType aType,
      double aLeast = 0,
      double aGreatest = 0,
      std::string_view aChoices = {})
{
  SettingsKey key;
  key.name_ = aName;
  key.type_ = aType;
  key.least_ = aLeast;
  key.greatest_ = aGreatest;
  key.choices_ = aChoices;
  return key;
}

/// Takes the known keys of one table into variables and reports the rest.
class TomlTableReader
{
public:
  TomlTableReader(const toml::table& aTable,
                  std::string aPrefix,
                  const std::string& aFile,
                  core::Findings& aFindings);

  /// False when the key is missing or its value is reported.
  template<typename Held, typename Target>
  bool Take(const SettingsKey& aKey, Target& aTarget)
  {
    known_.push_back(aKey.name_);
    const toml::node* const node = table_.get(aKey.name_);
    if (node == nullptr) {
      return false;
    }
    ReadValue read = ReadSettingsValue(aKey, *node);
    if (!read.Ok()) {
      Report(aKey.name_, read.problem_);
      return false;
    }
    aTarget = Target(std::get<Held>(std::move(read.value_)));
    return true;
  }

  bool Text(std::string_view aName, std::string& aTarget);
  /// At least 1.
  void Count(std::string_view aName, std::uint32_t& aTarget, double aGreatest);
  /// Between 1 ms and a day.
  void Interval(std::string_view aName, core::Duration& aTarget);
  void Size(std::string_view aName, core::Bytes& aTarget);
  void Address(std::string_view aName, ListenAddress& aTarget);
  const toml::table* Table(std::string_view aName);
  const toml::array* Tables(std::string_view aName);

  bool Has(std::string_view aName) const { return table_.contains(aName); }
  void Require(std::initializer_list<std::string_view> aNames);
  /// Reports each key that was not asked for.
  void ReportUnknown();
  void Report(std::string_view aName, std::string aMessage);

private:
  const toml::table& table_;
  std::string prefix_;
  const std::string& file_;
  core::Findings& findings_;
  std::vector<std::string_view> known_;
};

} // namespace crocusslip::state
