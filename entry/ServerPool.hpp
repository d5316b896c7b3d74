#pragma once

#include "core/Ids.hpp"
#include "transport/HttpLink.hpp"

#include <deque>
#include <map>
#include <memory>

namespace crocusslip::entry {

/// Pool of idle connections to backend servers.
class ServerPool
{
public:
  /// Returns the most recently used connection that is still open and that the
  /// server is not about to close; null when there is none.
  std::unique_ptr<transport::ServerLink> Take(const core::ServerId& aServer);
  /// Adds a connection; closes the oldest ones beyond aMaxIdle.
  void Put(const core::ServerId& aServer,
           std::unique_ptr<transport::ServerLink> aLink,
           std::size_t aMaxIdle);
  void Drop(const core::ServerId& aServer);
  /// Closes connections whose idle time limit has passed.
  void CloseExpired();

private:
  std::map<core::ServerId, std::deque<std::unique_ptr<transport::ServerLink>>>
    idle_;
};

} // namespace crocusslip::entry
