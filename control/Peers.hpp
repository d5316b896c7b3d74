#pragma once

#include "control/Group.hpp"
#include "core/Clock.hpp"
#include "transport/TlsFiles.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace crocusslip::control {

/// Sends group messages and snapshots to the other members; a thread and a
/// bounded queue for each. A connection that goes silent is replaced.
class Peers
{
public:
  Peers(std::string aCluster,
        std::uint32_t aGroup,
        core::MemberId aSelf,
        transport::TlsFiles aTls,
        std::chrono::milliseconds aCallTimeout,
        const core::Clock& aClock);
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  /// Addresses of members that are not in the group's list yet.
  void SetAddress(core::MemberId aMember, const std::string& aAddress);
  void Send(const coordination::RaftMessage& aMessage);
  /// Sends aGroup's newest snapshot on a thread of its own.
  void SendSnapshot(Group& aGroup, core::MemberId aTo, core::Term aTerm);
  void Stop();

private:
  class Peer;

  std::shared_ptr<Peer> Find(core::MemberId aMember);

  const std::string cluster_;
  const std::uint32_t group_;
  const core::MemberId self_;
  const transport::TlsFiles tls_;
  const std::chrono::milliseconds callTimeout_;
  const core::Clock& clock_;
  /// Innermost lock.
  std::mutex mutex_;
  std::map<core::MemberId, std::string> addresses_;
  std::map<core::MemberId, std::shared_ptr<Peer>> peers_;
};

} // namespace crocusslip::control
