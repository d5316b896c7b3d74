#pragma once

#include "core/Ids.hpp"
#include "transport/HttpLink.hpp"

#include <deque>
#include <map>
#include <memory>

namespace crocusslip::entry {

/// Idle connections to backend servers, by server.
class ServerPool
{
public:
  /// The connection used last that is still open and not about to be closed by
  /// its server; nothing when there is none.
  std::unique_ptr<transport::ServerLink> Take(const core::ServerId& aServer);
  /// Keeps at most aMost idle connections to the server.
  void Put(const core::ServerId& aServer,
           std::unique_ptr<transport::ServerLink> aLink,
           std::size_t aMost);
  void Drop(const core::ServerId& aServer);
  /// Closes connections that have been idle for long.
  void Trim();

private:
  std::map<core::ServerId, std::deque<std::unique_ptr<transport::ServerLink>>>
    idle_;
};

} // namespace crocusslip::entry
