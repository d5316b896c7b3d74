#include "entry/TenantCounters.hpp"

#include <string>

namespace crocusslip::entry {

namespace {

constexpr std::size_t kMaxTenants = 64;
constexpr const char* kMetric = "crocusslip_tenant_requests_total";
constexpr const char* kHelp = "Requests of tenants with a quota.";

/// Quotes and backslashes would end the label.
std::string
LabelText(const std::string& aName)
{
  std::string text;
  for (const char c : aName) {
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c == '\n' ? ' ' : c;
  }
  return text;
}

} // namespace

TenantCounters::TenantCounters(core::MetricsRegistry& aMetrics)
  : metrics_(aMetrics)
{
}

const TenantCounters::Entry&
TenantCounters::Of(const admission::TenantName& aTenant)
{
  const auto found = entries_.find(aTenant);
  if (found != entries_.end()) {
    return found->second;
  }
  if (entries_.size() < kMaxTenants) {
    return entries_.emplace(aTenant, Add(aTenant.Value())).first->second;
  }
  if (others_.admitted_ == nullptr) {
    others_ = Add("");
  }
  return others_;
}

TenantCounters::Entry
TenantCounters::Add(const std::string& aName)
{
  const std::string tenant = "tenant=\"" + LabelText(aName) + "\",outcome=";
  return { &metrics_.AddCounter(kMetric, tenant + "\"admitted\"", kHelp),
           &metrics_.AddCounter(kMetric, tenant + "\"waited\"", kHelp),
           &metrics_.AddCounter(kMetric, tenant + "\"refused\"", kHelp) };
}

} // namespace crocusslip::entry
