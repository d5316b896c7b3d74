#include "state/DrainTable.hpp"

#include "state/SnapshotCodec.hpp"

#include <utility>

namespace crocusslip::state {

DrainAnswer
DrainTable::Set(const SetDrain& aCommand, AgreedTime aNow)
{
  const Key key{ aCommand.target_, aCommand.id_ };
  if (!aCommand.draining_) {
    return { drains_.erase(key) > 0 };
  }
  return { drains_.emplace(key, Drain{ aNow, aCommand.operator_ }).second };
}

const Drain*
DrainTable::Find(DrainTarget aTarget, const std::string& aId) const
{
  const auto found = drains_.find({ aTarget, aId });
  return found == drains_.end() ? nullptr : &found->second;
}

bool
DrainTable::Draining(const core::ServerId& aServer) const
{
  return Find(DrainTarget::Server, aServer.Value()) != nullptr;
}

bool
DrainTable::Draining(const core::HostId& aHost) const
{
  return Find(DrainTarget::Host, aHost.Value()) != nullptr;
}

void
DrainTable::Write(SnapshotWriter& aWriter) const
{
  aWriter.Number(drains_.size());
  for (const auto& [key, drain] : drains_) {
    aWriter.Number(static_cast<std::uint64_t>(key.first));
    aWriter.Text(key.second);
    aWriter.Time(drain.since_);
    aWriter.Id(drain.operator_);
  }
}

void
DrainTable::Read(SnapshotReader& aReader)
{
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    Key key;
    key.first = aReader.Enum(DrainTarget::Server);
    key.second = aReader.Text();
    Drain drain;
    drain.since_ = aReader.Time<AgreedTime>();
    drain.operator_ = aReader.Id<core::OperatorId>();
    drains_.emplace(std::move(key), std::move(drain));
  }
}

} // namespace crocusslip::state
