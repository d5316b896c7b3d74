#pragma once

#include "state/Answer.hpp"
#include "state/Command.hpp"

#include <map>
#include <string>
#include <utility>

namespace crocusslip::state {

class SnapshotReader;
class SnapshotWriter;

struct Drain
{
  AgreedTime since_;
  core::OperatorId operator_;
};

/// Hosts and backend servers that operators take out of use.
class DrainTable
{
public:
  using Key = std::pair<DrainTarget, std::string>;

  DrainAnswer Set(const SetDrain& aCommand, AgreedTime aNow);
  const Drain* Find(DrainTarget aTarget, const std::string& aId) const;
  bool Draining(const core::ServerId& aServer) const;
  bool Draining(const core::HostId& aHost) const;
  const std::map<Key, Drain>& All() const { return drains_; }

  void Write(SnapshotWriter& aWriter) const;
  void Read(SnapshotReader& aReader);

private:
  std::map<Key, Drain> drains_;
};

} // namespace crocusslip::state
