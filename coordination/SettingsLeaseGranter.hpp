#pragma once

#include "coordination/SettingsLease.hpp"

#include <map>
#include <vector>

namespace crocusslip::coordination {

/// Leader side of the settings leases: grants them in poll replies, and
/// determines whether a revision is in force on all hosts.
class SettingsLeaseGranter
{
public:
  /// aLength must be the same on all members of the control group, since a new
  /// leader waits for the leases of earlier ones.
  explicit SettingsLeaseGranter(core::Duration aLength = kSettingsLease);

  /// Starts the period in which leases of earlier leaders may still be valid.
  void OnLeadershipGained(core::MonotonicTime aNow);

  /// Grants a lease to a host that has the complete settings of aRevision with
  /// this reply. To be called only while the leader lease is valid, with the
  /// applied revision.
  LeaseGrant Grant(const core::HostId& aHost,
                   core::Revision aRevision,
                   core::MonotonicTime aNow);
  /// The host reported the revision that it serves. It never serves a lower
  /// one afterwards, so its leases on lower revisions are dropped.
  void OnServing(const core::HostId& aHost, core::Revision aRevision);

  /// Hosts that may still serve a revision below aRevision.
  std::vector<core::HostId> HostsBehind(core::Revision aRevision,
                                        core::MonotonicTime aNow) const;
  /// No host serves a revision below aRevision.
  bool InForce(core::Revision aRevision, core::MonotonicTime aNow) const;

private:
  /// Ends of a host's leases by revision.
  using Leases = std::map<core::Revision, core::MonotonicTime>;

  const core::Duration length_;
  /// Upper bound of a lease's duration by the leader's clock.
  const core::Duration maxDuration_;
  std::map<core::HostId, Leases> hosts_;
  /// Leases of earlier leaders may be valid until then.
  core::MonotonicTime inheritedEnd_;
};

} // namespace crocusslip::coordination
