#include "coordination/RouteTable.hpp"

#include <algorithm>
#include <cctype>
#include <limits>
#include <utility>

namespace crocusslip::coordination {

namespace {

std::string
LowerHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::ranges::transform(host, host.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return host;
}

} // namespace

bool
Route::Repeatable() const
{
  return kind_ == RequestKind::Idempotent ||
         (kind_ == RequestKind::Stream && resumable_);
}

const ServiceName&
Route::SelectService(std::uint64_t aHash) const
{
  std::uint64_t total = 0;
  for (const WeightedService& weighted : services_) {
    total += weighted.weight_;
  }
  std::uint64_t point = total == 0 ? 0 : aHash % total;
  for (const WeightedService& weighted : services_) {
    if (point < weighted.weight_) {
      return weighted.service_;
    }
    point -= weighted.weight_;
  }
  return services_.front().service_;
}

RouteTable::RouteTable(std::uint64_t aVersion,
                       std::vector<Route> aRoutes,
                       std::map<ServiceName, Service> aServices,
                       CallerLimits aLimits,
                       admission::TenantDirectory aTenants)
  : version_(aVersion)
  , routes_(std::move(aRoutes))
  , services_(std::move(aServices))
  , limits_(aLimits)
  , tenants_(std::move(aTenants))
{
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    byHostAndPrefix_[LowerHost(routes_[i].host_) + routes_[i].prefix_] = i;
    lastPriority_ = std::max(lastPriority_, routes_[i].priority_);
  }
}

const Route*
RouteTable::Match(std::string_view aHost, std::string_view aTarget) const
{
  const std::string_view path = aTarget.substr(0, aTarget.find_first_of("?#"));
  const std::string host = LowerHost(aHost);
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = slash == 0 ? std::string_view::npos
                          : path.rfind('/', slash - 1)) {
    const auto found =
      byHostAndPrefix_.find(host + std::string(path.substr(0, slash + 1)));
    if (found != byHostAndPrefix_.end()) {
      return &routes_[found->second];
    }
  }
  return nullptr;
}

const Service*
RouteTable::FindService(const ServiceName& aName) const
{
  const auto found = services_.find(aName);
  return found == services_.end() ? nullptr : &found->second;
}

std::uint32_t
RouteTable::RankOf(const Route& aRoute, const admission::Tenant* aTenant) const
{
  if (aTenant == nullptr) {
    return aRoute.priority_;
  }
  const std::uint64_t rank =
    std::uint64_t{ aTenant->priority_.value_or(0) } * (lastPriority_ + 1ULL) +
    aRoute.priority_;
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(rank, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace crocusslip::coordination
