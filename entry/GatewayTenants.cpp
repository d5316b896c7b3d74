#include "entry/GatewayCall.hpp"

#include <algorithm>
#include <cctype>

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

} // namespace

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
