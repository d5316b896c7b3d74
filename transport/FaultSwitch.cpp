#include "transport/FaultSwitch.hpp"

namespace crocusslip::transport {

void
FaultSwitch::Isolate(bool aIsolated)
{
  const std::lock_guard lock(mutex_);
  isolated_ = aIsolated;
}

void
FaultSwitch::Block(const std::string& aAddress, bool aBlocked)
{
  const std::lock_guard lock(mutex_);
  if (aBlocked) {
    blocked_.insert(aAddress);
  } else {
    blocked_.erase(aAddress);
  }
}

bool
FaultSwitch::Drops(const std::string& aAddress) const
{
  const std::lock_guard lock(mutex_);
  return isolated_ || blocked_.contains(aAddress);
}

bool
FaultSwitch::Isolated() const
{
  const std::lock_guard lock(mutex_);
  return isolated_;
}

FaultSwitch&
SharedFaultSwitch()
{
  static FaultSwitch sSwitch;
  return sSwitch;
}

} // namespace crocusslip::transport
