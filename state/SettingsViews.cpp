#include "state/SettingsViews.hpp"

#include <algorithm>

namespace crocusslip::state {

bool
DeploymentSettings::MayCall(const core::CallerId& aCaller) const
{
  return anyCaller_ ||
         std::find(callers_.begin(), callers_.end(), aCaller) != callers_.end();
}

bool
DeploymentSettings::IsNonIdempotent(std::string_view aMethod,
                                    std::string_view aPath) const
{
  return std::any_of(nonIdempotent_.begin(),
                     nonIdempotent_.end(),
                     [&](const RoutePattern& aPattern) {
                       return aPattern.Matches(aMethod, aPath);
                     });
}

} // namespace crocusslip::state
