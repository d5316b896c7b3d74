#pragma once

#include "core/Finding.hpp"
#include "replay/Measures.hpp"

#include <iosfwd>
#include <limits>
#include <string>
#include <vector>

namespace crocusslip::replay {

/// Bounds on one measure.
struct OutcomeBound
{
  std::string measure_;
  double minimum_ = -std::numeric_limits<double>::infinity();
  double maximum_ = std::numeric_limits<double>::infinity();
};

/// Stated outcomes of a replay; every invariant must hold in addition.
struct Outcomes
{
  std::string name_;
  std::vector<OutcomeBound> bounds_;
};

Outcomes
ReadOutcomes(std::istream& aInput,
             const std::string& aName,
             core::Findings& aFindings);

/// Each bound that is missed and each broken invariant, with its place.
core::Findings
CheckOutcomes(const Outcomes& aOutcomes, const Measures& aMeasures);

} // namespace crocusslip::replay
