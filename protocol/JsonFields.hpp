#pragma once

#include "core/Clock.hpp"
#include "core/Finding.hpp"

#include <nlohmann/json.hpp>

#include <limits>
#include <string>
#include <vector>

namespace crocusslip::protocol {

/// Reads fields of one JSON object and collects what is missing, of the wrong
/// type, out of bounds or unknown.
class JsonFields
{
public:
  JsonFields(const nlohmann::json& aObject,
             std::string aFile,
             std::uint32_t aLine,
             std::string aPath,
             core::Findings& aFindings);

  bool Has(const std::string& aKey) const;
  std::string Text(const std::string& aKey, bool aRequired = true);
  double Number(const std::string& aKey,
                double aMinimum = 0,
                double aMaximum = std::numeric_limits<double>::max());
  std::uint64_t Integer(const std::string& aKey, std::uint64_t aDefault);
  bool Flag(const std::string& aKey, bool aDefault);
  core::Duration Seconds(const std::string& aKey);
  /// The array, or an empty one.
  nlohmann::json Array(const std::string& aKey);
  void Report(const std::string& aKey, const std::string& aMessage);
  /// Reports each key that was not asked for.
  void ReportUnknown();

private:
  const nlohmann::json* Look(const std::string& aKey);

  const nlohmann::json& object_;
  std::string file_;
  std::uint32_t line_;
  std::string path_;
  core::Findings& findings_;
  std::vector<std::string> known_;
};

} // namespace crocusslip::protocol
