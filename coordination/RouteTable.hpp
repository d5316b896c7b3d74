#pragma once

#include "admission/Tenants.hpp"
#include "core/Ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Routes from requests to services, as published by operators.
namespace crocusslip::coordination {

using ServiceName = core::StrongId<struct ServiceTag>;

/// Whether a request may be repeated.
enum class RequestKind : std::uint8_t
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each request that a caller sends.
  AtMostOnce,
  /// Answered by an event stream; at most once unless the route is resumable.
  Stream,
};

struct WeightedService
{
  ServiceName service_;
  std::uint32_t weight_ = 1;
};

struct Route
{
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string prefix_;
  RequestKind kind_ = RequestKind::AtMostOnce;
  /// Maximum duration of a request.
  std::chrono::milliseconds timeout_{ 0 };
  /// Target time to the answer, or to the first event of a stream.
  std::chrono::milliseconds latencyTarget_{ 0 };
  /// Longest pause between two events for a stream to count as in time.
  std::chrono::milliseconds longestPause_{ 0 };
  /// Time without an event, also before the first one, after which callers
  /// abandon a stream.
  std::chrono::milliseconds callerIdleTimeout_{ 0 };
  /// 0 is the most urgent.
  std::uint32_t priority_ = 0;
  std::vector<WeightedService> services_;
  /// Maximum number of backend servers to which one request is sent.
  std::uint32_t maxAttempts_ = 1;
  /// Whether a broken stream may be resumed at another server.
  bool resumable_ = false;
  /// Requests need no key although the table has tenants.
  bool anonymous_ = false;

  /// Whether a request may run again although it may already have run.
  bool Repeatable() const;
  /// Selects the service for a request by its hash and the weights; equal
  /// requests get the same service.
  const ServiceName& SelectService(std::uint64_t aHash) const;
};

struct ModelSize
{
  std::uint32_t weightsMb_ = 0;
  std::uint32_t adapterMb_ = 0;
  /// Load times from the weight store, the server's disk and its memory.
  std::chrono::milliseconds storeLoad_{ 0 };
  std::chrono::milliseconds diskLoad_{ 0 };
  std::chrono::milliseconds memoryLoad_{ 0 };
};

/// Capacity of the servers of a service that run models.
struct EngineLimits
{
  std::uint32_t slots_ = 0;
  std::uint64_t memoryTokens_ = 0;
  std::uint32_t weightsMb_ = 0;
  std::uint32_t adapterSlots_ = 0;
  /// Main memory and disk in which a server caches weights.
  std::uint32_t hostMb_ = 0;
  std::uint32_t diskMb_ = 0;
  /// Maximum loads started from the weight store per second.
  double loadsPerSecond_ = 0;
  std::map<core::ModelName, ModelSize> models_;
};

struct Service
{
  ServiceName name_;
  /// Maximum connections to one server from all hosts together.
  std::uint32_t maxConnections_ = 0;
  std::optional<EngineLimits> engine_;
};

/// Limits on the size and duration of what callers send.
struct CallerLimits
{
  std::uint32_t headerBytes_ = 16 * 1024;
  std::uint64_t bodyBytes_ = 4ULL * 1024 * 1024;
  std::chrono::milliseconds headerTime_{ 3000 };
  std::chrono::milliseconds idleTime_{ 15'000 };
};

class RouteTable
{
public:
  RouteTable() = default;
  RouteTable(std::uint64_t aVersion,
             std::vector<Route> aRoutes,
             std::map<ServiceName, Service> aServices,
             CallerLimits aLimits,
             admission::TenantDirectory aTenants = {});

  /// The route of the host with the longest matching path prefix, or null.
  const Route* Match(std::string_view aHost, std::string_view aTarget) const;
  const Service* FindService(const ServiceName& aName) const;
  /// Rank of a request among others, 0 first: by the tenant's priority, then by
  /// the route's. aTenant may be null.
  std::uint32_t RankOf(const Route& aRoute,
                       const admission::Tenant* aTenant) const;

  std::uint64_t Version() const { return version_; }
  const std::vector<Route>& Routes() const { return routes_; }
  const std::map<ServiceName, Service>& Services() const { return services_; }
  const CallerLimits& Limits() const { return limits_; }
  const admission::TenantDirectory& Tenants() const { return tenants_; }

private:
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<ServiceName, Service> services_;
  CallerLimits limits_;
  admission::TenantDirectory tenants_;
  /// Priority of the least urgent route.
  std::uint32_t lastPriority_ = 0;
  /// Index in routes_ by lower-case host and prefix.
  std::unordered_map<std::string, std::size_t> byHostAndPrefix_;
};

} // namespace crocusslip::coordination
