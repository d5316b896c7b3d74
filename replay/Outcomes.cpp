#include "replay/Outcomes.hpp"

#include "protocol/JsonFields.hpp"

#include <algorithm>
#include <istream>
#include <sstream>

namespace crocusslip::replay {

namespace {

constexpr std::uint64_t kOutcomesVersion = 1;

std::string
Text(double aValue)
{
  std::ostringstream text;
  text << aValue;
  return text.str();
}

std::string
Place(std::size_t aIndex)
{
  return "bounds[" + std::to_string(aIndex) + "]";
}

OutcomeBound
ReadBound(protocol::JsonFields& aFields)
{
  OutcomeBound bound;
  bound.measure_ = aFields.Text("measure");
  const bool hasMinimum = aFields.Has("min");
  const bool hasMaximum = aFields.Has("max");
  if (hasMinimum) {
    bound.minimum_ = aFields.Number("min");
  }
  if (hasMaximum) {
    bound.maximum_ = aFields.Number("max");
  }
  if (!hasMinimum && !hasMaximum) {
    aFields.Report("max", "min or max is needed");
  }
  const std::vector<NamedMeasure> known = AllMeasures({});
  const bool found =
    std::any_of(known.begin(), known.end(), [&](const NamedMeasure& aOne) {
      return aOne.name_ == bound.measure_;
    });
  if (!found && !bound.measure_.empty()) {
    aFields.Report("measure", "unknown measure '" + bound.measure_ + "'");
  }
  aFields.ReportUnknown();
  return bound;
}

} // namespace

Outcomes
ReadOutcomes(std::istream& aInput,
             const std::string& aName,
             core::Findings& aFindings)
{
  Outcomes outcomes;
  outcomes.name_ = aName;
  const nlohmann::json json = nlohmann::json::parse(aInput, nullptr, false);
  if (!json.is_object()) {
    aFindings.push_back({ aName, 1, "", "not a JSON object" });
    return outcomes;
  }
  protocol::JsonFields fields(json, aName, 0, "", aFindings);
  if (fields.Integer("version", 0) != kOutcomesVersion) {
    fields.Report("version", "only version 1 is known");
  }
  const nlohmann::json bounds = fields.Array("bounds");
  for (std::size_t i = 0; i < bounds.size(); ++i) {
    if (!bounds[i].is_object()) {
      fields.Report(Place(i), "must be an object");
      continue;
    }
    protocol::JsonFields one(bounds[i], aName, 0, Place(i) + ".", aFindings);
    outcomes.bounds_.push_back(ReadBound(one));
  }
  fields.ReportUnknown();
  return outcomes;
}

core::Findings
CheckOutcomes(const Outcomes& aOutcomes, const Measures& aMeasures)
{
  core::Findings misses;
  const std::vector<NamedMeasure> measured = AllMeasures(aMeasures);
  for (std::size_t i = 0; i < aOutcomes.bounds_.size(); ++i) {
    const OutcomeBound& bound = aOutcomes.bounds_[i];
    const auto found = std::find_if(
      measured.begin(), measured.end(), [&](const NamedMeasure& aOne) {
        return aOne.name_ == bound.measure_;
      });
    if (found == measured.end()) {
      continue;
    }
    const std::string key = Place(i) + " " + bound.measure_;
    if (found->value_ < bound.minimum_) {
      misses.push_back({ aOutcomes.name_,
                         0,
                         key,
                         Text(found->value_) + " is below the minimum of " +
                           Text(bound.minimum_) });
    }
    if (found->value_ > bound.maximum_) {
      misses.push_back({ aOutcomes.name_,
                         0,
                         key,
                         Text(found->value_) + " is above the maximum of " +
                           Text(bound.maximum_) });
    }
  }
  for (const InvariantViolation& violation : aMeasures.violations_) {
    misses.push_back(
      { aOutcomes.name_,
        0,
        "invariant " + violation.invariant_,
        "broken at " + Text(violation.time_) + " s: " + violation.detail_ });
  }
  return misses;
}

} // namespace crocusslip::replay
