#include "entry/GatewayCall.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

/// The tenants of requests.
namespace crocusslip::entry {

namespace {

/// Whether servers may take two header names for the same one: some interfaces
/// between servers and their programs, such as CGI, turn dashes into
/// underscores.
bool
IsSameHeader(std::string_view aLeft, std::string_view aRight)
{
  const auto fold = [](unsigned char aLetter) {
    return aLetter == '_' ? '-' : std::tolower(aLetter);
  };
  return !aRight.empty() && std::ranges::equal(aLeft, aRight, {}, fold, fold);
}

/// The entry of a tenant in a message, which several parts of it fill.
template<typename Entry>
Entry&
EntryOf(std::vector<Entry>& aEntries, const std::string& aTenant)
{
  const auto found = std::ranges::find(aEntries, aTenant, &Entry::tenant);
  if (found != aEntries.end()) {
    return *found;
  }
  Entry& added = aEntries.emplace_back();
  added.tenant = aTenant;
  return added;
}

} // namespace

void
Gateway::FillTenantUses(wire::SyncRequest& aRequest)
{
  const core::MonotonicTime now = clock_.Now();
  std::map<admission::TenantName, admission::ScarceUse> uses;
  for (const auto& [tenant, runs] : tenantRuns_) {
    for (const auto& [demand, count] : runs) {
      coordination::BackendRequirements need;
      need.service_ = demand.first;
      need.model_ = demand.second;
      // Tenants without requests for scarce servers are named, too, since the
      // leader answers for the tenants in the report.
      uses[tenant].running_ += queue_.IsScarce(need, view_, now) ? count : 0;
    }
  }
  for (const auto& [id, waiting] : queue_.All()) {
    if (waiting.foundFull_ && !waiting.tenant_.Empty()) {
      ++uses[waiting.tenant_].waiting_;
    }
  }
  for (const auto& [tenant, use] : uses) {
    wire::TenantUse& out = EntryOf(aRequest.tenants, tenant.Value());
    out.running = static_cast<std::int32_t>(use.running_);
    out.waiting = static_cast<std::int32_t>(use.waiting_);
  }
}

void
Gateway::ApplyTenantShares(const wire::SyncReply& aReply)
{
  admission::SharePercents percents;
  for (const wire::TenantGrant& grant : aReply.tenants) {
    if (grant.sharePercent > 0) {
      percents[admission::TenantName(grant.tenant)] =
        static_cast<std::uint32_t>(grant.sharePercent);
    }
  }
  queue_.OnShares(std::move(percents), clock_.Now());
}

void
GatewayCall::CountTenantRun(bool aBegins)
{
  if (tenant_ == nullptr) {
    return;
  }
  auto& runs = gateway_.tenantRuns_[tenant_->name_];
  const auto run =
    runs.try_emplace(coordination::DispatchQueue::DemandOf(requirements_))
      .first;
  if (aBegins) {
    ++run->second;
    return;
  }
  if (--run->second == 0) {
    runs.erase(run);
  }
  if (runs.empty()) {
    gateway_.tenantRuns_.erase(tenant_->name_);
  }
}

std::string_view
GatewayCall::Key() const
{
  // With several headers it is open which one a proxy before this host checked.
  const std::string& name = gateway_.settings_.headers_.key_;
  if (name.empty() || request_.count(name) != 1) {
    return {};
  }
  const auto header = request_[name];
  return admission::BearerKey({ header.data(), header.size() });
}

bool
GatewayCall::Authenticate()
{
  const admission::TenantDirectory& tenants = routes_->Tenants();
  if (!tenants.Empty() && !route_->anonymous_) {
    tenant_ = tenants.FindByKey(Key());
    if (tenant_ == nullptr) {
      return false;
    }
    gateway_.tenantCounters_.OnRequest(tenant_->name_);
  }
  rank_ = routes_->RankOf(*route_, tenant_);
  return true;
}

bool
GatewayCall::KeyWithdrawn() const
{
  const auto& newest = gateway_.routes_;
  return tenant_ != nullptr && !streaming_ && newest != routes_ &&
         !newest->Tenants().Empty() &&
         newest->Tenants().FindByKey(Key()) == nullptr;
}

void
GatewayCall::UpdateTenant()
{
  const auto& newest = gateway_.routes_;
  if (tenant_ == nullptr || streaming_ || newest == routes_) {
    return;
  }
  const admission::Tenant* owner = newest->Tenants().FindByKey(Key());
  if (owner != nullptr && owner->name_ != tenant_->name_) {
    tenant_ = owner;
    tenantRoutes_ = newest;
  }
}

bool
GatewayCall::IdentifiesCaller(std::string_view aHeader) const
{
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  return IsSameHeader(aHeader, names.key_) ||
         IsSameHeader(aHeader, names.tenant_);
}

} // namespace crocusslip::entry
