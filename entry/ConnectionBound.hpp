#pragma once

#include "transport/HttpLink.hpp"

#include <cstddef>
#include <memory>
#include <set>

namespace crocusslip::entry {

/// Bounds the connections of the callers of one address.
class ConnectionBound
{
public:
  using LinkPtr = std::shared_ptr<transport::CallerLink>;

  struct Outcome
  {
    bool admitted_ = true;
    /// Connections that were closed for the new one.
    std::size_t closedIdle_ = 0;
    std::size_t closedStalled_ = 0;
  };

  /// aMost of 0: no bound.
  explicit ConnectionBound(std::size_t aMost)
    : most_(aMost)
  {
  }
  /// Whether there is a place for one more; closes idle connections for it, the
  /// longest idle first, then such as have stalled within a request.
  Outcome Admit(const std::set<LinkPtr>& aLinks) const;

private:
  const std::size_t most_;
};

} // namespace crocusslip::entry
