#include "protocol/JsonFields.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace crocusslip::protocol {

namespace {

/// Longest time in a trace; keeps nanoseconds within 64 bits.
constexpr double kMaxSeconds = 1e9;

} // namespace

JsonFields::JsonFields(const nlohmann::json& aObject,
                       std::string aFile,
                       std::uint32_t aLine,
                       std::string aPath,
                       core::Findings& aFindings)
  : object_(aObject)
  , file_(std::move(aFile))
  , line_(aLine)
  , path_(std::move(aPath))
  , findings_(aFindings)
{
}

const nlohmann::json*
JsonFields::Look(const std::string& aKey)
{
  known_.push_back(aKey);
  const auto found = object_.find(aKey);
  return found == object_.end() ? nullptr : &*found;
}

bool
JsonFields::Has(const std::string& aKey) const
{
  return object_.contains(aKey);
}

void
JsonFields::Report(const std::string& aKey, const std::string& aMessage)
{
  findings_.push_back({ file_, line_, path_ + aKey, aMessage });
}

std::string
JsonFields::Text(const std::string& aKey, bool aRequired)
{
  const nlohmann::json* value = Look(aKey);
  if (value == nullptr) {
    if (aRequired) {
      Report(aKey, "missing");
    }
    return {};
  }
  if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
    Report(aKey, "must be a non-empty string");
    return {};
  }
  return value->get<std::string>();
}

double
JsonFields::Number(const std::string& aKey, double aMinimum, double aMaximum)
{
  const nlohmann::json* value = Look(aKey);
  if (value == nullptr) {
    Report(aKey, "missing");
    return aMinimum;
  }
  if (!value->is_number()) {
    Report(aKey, "must be a number");
    return aMinimum;
  }
  const auto number = value->get<double>();
  if (!std::isfinite(number) || number < aMinimum || number > aMaximum) {
    Report(aKey, "out of range");
    return aMinimum;
  }
  return number;
}

std::uint64_t
JsonFields::Integer(const std::string& aKey, std::uint64_t aDefault)
{
  const nlohmann::json* value = Look(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_number_unsigned()) {
    Report(aKey, "must be a non-negative integer");
    return aDefault;
  }
  return value->get<std::uint64_t>();
}

bool
JsonFields::Flag(const std::string& aKey, bool aDefault)
{
  const nlohmann::json* value = Look(aKey);
  if (value == nullptr) {
    return aDefault;
  }
  if (!value->is_boolean()) {
    Report(aKey, "must be true or false");
    return aDefault;
  }
  return value->get<bool>();
}

core::Duration
JsonFields::Seconds(const std::string& aKey)
{
  const double seconds = Number(aKey, 0, kMaxSeconds);
  constexpr double kNanos = 1e9;
  return core::Duration(
    static_cast<std::int64_t>(std::llround(seconds * kNanos)));
}

nlohmann::json
JsonFields::Array(const std::string& aKey)
{
  const nlohmann::json* value = Look(aKey);
  if (value == nullptr) {
    return nlohmann::json::array();
  }
  if (!value->is_array()) {
    Report(aKey, "must be an array");
    return nlohmann::json::array();
  }
  return *value;
}

void
JsonFields::ReportUnknown()
{
  for (const auto& [key, value] : object_.items()) {
    if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
      Report(key, "unknown key");
    }
  }
}

} // namespace crocusslip::protocol
