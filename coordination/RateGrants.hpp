#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <map>
#include <optional>

namespace crocusslip::coordination {

/// What a backend server's answer said about the rate of requests that it takes
/// from all hosts together.
struct RateSighting
{
  /// nullopt: the answer named no limit.
  std::optional<double> perSecond_;
  core::MonotonicTime at_;
};

/// Keeps the requests of all hosts to a server within the rate that the server
/// has named: a host sends a request there only with a grant, and as many
/// grants are given as the rate allows.
class RateGrants
{
public:
  /// Takes a sighting over unless a newer one is known.
  void OnSighting(const core::ServerId& aServer, const RateSighting& aSighting);
  /// The rate that the server is limited to; nullopt when it named none.
  std::optional<double> LimitOf(const core::ServerId& aServer) const;
  /// Returns how many of aWanted requests a host may send to the server.
  std::uint32_t Grant(const core::ServerId& aServer,
                      std::uint32_t aWanted,
                      core::MonotonicTime aNow);
  void Remove(const core::ServerId& aServer);
  /// Number of servers that are limited.
  std::size_t Size() const;

private:
  struct Server
  {
    RateSighting sighting_;
    /// Requests that may be granted now.
    double available_ = 1;
    core::MonotonicTime refilledAt_;
  };

  std::map<core::ServerId, Server> servers_;
};

} // namespace crocusslip::coordination
