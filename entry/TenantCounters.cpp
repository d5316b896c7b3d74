#include "entry/TenantCounters.hpp"

namespace crocusslip::entry {

namespace {

/// Stands for all tenants that are not counted by name.
const admission::TenantName kOthers("other");

/// As a label of the Prometheus text format.
std::string
LabelOf(const admission::TenantName& aTenant)
{
  std::string label = "tenant=\"";
  for (const char letter : aTenant.Value()) {
    if (letter == '\\' || letter == '"') {
      label += '\\';
    }
    label += letter;
  }
  return label + "\"";
}

} // namespace

TenantCounters::TenantCounters(core::MetricsRegistry& aMetrics)
  : metrics_(aMetrics)
{
}

void
TenantCounters::OnRequest(const admission::TenantName& aTenant)
{
  Find(aTenant).requests_->Add();
}

void
TenantCounters::OnRefusal(const admission::TenantName& aTenant)
{
  Find(aTenant).refusals_->Add();
}

void
TenantCounters::OnQuota(const admission::TenantName& aTenant,
                        QuotaOutcome aOutcome)
{
  constexpr std::array<const char*, 3> kNames{ "admitted",
                                               "refused",
                                               "waited" };
  const auto index = static_cast<std::size_t>(aOutcome);
  Counters& counters = Find(aTenant);
  core::Counter*& counter = counters.quota_.at(index);
  if (counter == nullptr) {
    counter = &metrics_.AddCounter(
      "crocusslip_tenant_quota_total",
      counters.label_ + ",outcome=\"" + kNames.at(index) + "\"",
      "Requests of tenants with a quota by outcome.");
  }
  counter->Add();
}

TenantCounters::Counters&
TenantCounters::Find(const admission::TenantName& aTenant)
{
  const auto found = tenants_.find(aTenant);
  if (found != tenants_.end()) {
    return found->second;
  }
  const bool named =
    tenants_.size() - tenants_.count(kOthers) < kMaxNamedTenants;
  if (!named && aTenant != kOthers) {
    return Find(kOthers);
  }
  Counters& added = tenants_[aTenant];
  added.label_ = LabelOf(aTenant);
  added.requests_ = &metrics_.AddCounter("crocusslip_tenant_requests_total",
                                         added.label_,
                                         "Requests with a key of the tenant.");
  added.refusals_ = &metrics_.AddCounter("crocusslip_tenant_refusals_total",
                                         added.label_,
                                         "Of these, refused by the gateway.");
  return added;
}

} // namespace crocusslip::entry
