#pragma once

#include "admission/QuotaReport.hpp"

#include "fleet_types.h"

#include <string>
#include <vector>

namespace crocusslip::protocol {

/// The tenant's entry in a message; added if there is none.
template<typename Entry>
Entry&
EntryOf(std::vector<Entry>& aEntries, const std::string& aTenant)
{
  for (Entry& entry : aEntries) {
    if (entry.tenant == aTenant) {
      return entry;
    }
  }
  Entry& entry = aEntries.emplace_back();
  entry.tenant = aTenant;
  return entry;
}

/// Fields of other parts of the entry stay as they are.
void
ToWire(const admission::QuotaUse& aUse, wire::TenantUse& aOut);
admission::QuotaUse
FromWire(const wire::TenantUse& aUse);
void
ToWire(const admission::QuotaGrant& aGrant, wire::TenantGrant& aOut);
admission::QuotaGrant
FromWire(const wire::TenantGrant& aGrant);

} // namespace crocusslip::protocol
