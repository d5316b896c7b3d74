#pragma once

#include "core/Ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Which service answers which requests, as published by operators.
namespace crocusslip::coordination {

using ServiceName = core::StrongId<struct ServiceTag>;

/// What may be repeated of a request.
enum class RequestKind : std::uint8_t
{
  /// May run more than once.
  Idempotent,
  /// Runs at most once for each attempt of a caller.
  AtMostOnce,
  /// Answered by a series of events; AtMostOnce unless the route resumes.
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
  /// Longest time that a request may take.
  std::chrono::milliseconds timeout_{ 0 };
  /// Time to the answer, or to its first event, that callers want.
  std::chrono::milliseconds latencyTarget_{ 0 };
  /// Longest pause between two events of an answer in time.
  std::chrono::milliseconds longestPause_{ 0 };
  /// Silence, also before the first event, after which callers leave a stream.
  std::chrono::milliseconds callerIdleTimeout_{ 0 };
  /// Rank; 0 is the most urgent.
  std::uint32_t priority_ = 0;
  std::vector<WeightedService> services_;
  /// Backend servers to which one request may be sent.
  std::uint32_t maxAttempts_ = 1;
  /// A broken stream may go on at another server.
  bool resumable_ = false;

  /// Whether a request may run again after it may have run once.
  bool Repeatable() const;
  /// The service of one request; equal requests get the same one.
  const ServiceName& Pick(std::uint64_t aHash) const;
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

/// What the servers of a service that run models can hold.
struct EngineLimits
{
  std::uint32_t slots_ = 0;
  std::uint64_t memoryTokens_ = 0;
  std::uint32_t weightsMb_ = 0;
  std::uint32_t adapterSlots_ = 0;
  /// Copies of weights that a server keeps in its memory and on its disk.
  std::uint32_t hostMb_ = 0;
  std::uint32_t diskMb_ = 0;
  /// Loads from the weight store that may begin in a second.
  double loadsPerSecond_ = 0;
  std::map<core::ModelName, ModelSize> models_;
};

struct Service
{
  ServiceName name_;
  /// Connections that one server takes from all hosts together.
  std::uint32_t maxConnections_ = 0;
  std::optional<EngineLimits> engine_;
};

/// What a caller may send, and how long it may take.
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
             CallerLimits aLimits);

  /// The route of the host with the longest prefix of the path.
  const Route* Match(std::string_view aHost, std::string_view aTarget) const;
  const Service* FindService(const ServiceName& aName) const;

  std::uint64_t Version() const { return version_; }
  const std::vector<Route>& Routes() const { return routes_; }
  const std::map<ServiceName, Service>& Services() const { return services_; }
  const CallerLimits& Limits() const { return limits_; }

private:
  std::uint64_t version_ = 0;
  std::vector<Route> routes_;
  std::map<ServiceName, Service> services_;
  CallerLimits limits_;
  /// Index in routes_ by host and prefix.
  std::unordered_map<std::string, std::size_t> byPlace_;
};

} // namespace crocusslip::coordination
