#pragma once

#include <cstdint>
#include <mutex>
#include <set>
#include <string>

namespace crocusslip::transport {

/// Drops messages between the system's own processes, so that a partition can
/// be tested without tools of the operating system. Off unless the process
/// settings allow it.
class FaultSwitch
{
public:
  /// Drops all messages from and to this process.
  void Isolate(bool aIsolated);
  /// Drops messages to one address.
  void Block(const std::string& aAddress, bool aBlocked);
  bool Drops(const std::string& aAddress) const;
  bool Isolated() const;

private:
  /// Innermost lock; nothing else is taken under it.
  mutable std::mutex mutex_;
  bool isolated_ = false;
  std::set<std::string> blocked_;
};

/// The process's switch.
FaultSwitch&
SharedFaultSwitch();

} // namespace crocusslip::transport
