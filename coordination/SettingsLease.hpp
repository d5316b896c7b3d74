#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <map>
#include <variant>

namespace crocusslip::coordination {

/// Duration of the lease on settings that a leader grants to an entry host.
inline constexpr core::Duration kSettingsLease = std::chrono::seconds(3);
/// Maximum relative drift between the clocks of two hosts.
inline constexpr double kClockDrift = 0.01;

/// Lease that the leader grants in its reply to a poll.
struct LeaseGrant
{
  /// 0: no lease.
  core::Duration length_{ 0 };
  /// Revision of which the entry host has the complete settings with this
  /// reply.
  core::Revision revision_;
};

/// The reply grants nothing, is a duplicate, or belongs to no open poll.
struct LeaseIgnored
{};
/// The reply's revision is below one that this host has already received.
struct LeaseRefused
{
  core::Revision highest_;
};
struct LeaseExtended
{};
/// The entry host must write the revision to disk, sync it, and then call
/// OnPersisted.
struct PersistRevision
{
  core::Revision revision_;
};
using LeaseAction =
  std::variant<LeaseIgnored, LeaseRefused, LeaseExtended, PersistRevision>;

/// An entry host's lease on its settings. The lease starts when the poll was
/// sent, so that a host that is partitioned from the leader stops serving in
/// time. The host never serves a lower revision than before, also not after a
/// restart.
class SettingsLease
{
public:
  /// aHighest is the revision read from disk, 0 if none.
  explicit SettingsLease(core::Revision aHighest = {});

  /// Returns the number of the poll, to be passed to OnPollReply.
  std::uint64_t OnPollSent(core::MonotonicTime aNow);
  LeaseAction OnPollReply(std::uint64_t aPoll, const LeaseGrant& aGrant);
  void OnPersisted(core::Revision aRevision);

  bool MayServe(core::MonotonicTime aNow) const;
  /// The revision to serve while MayServe is true.
  core::Revision Serving() const { return serving_; }
  core::Revision Highest() const { return highest_; }

private:
  std::uint64_t lastPoll_ = 0;
  /// Send times of the polls without a reply, by number.
  std::map<std::uint64_t, core::MonotonicTime> polls_;
  /// Lease ends of the revisions that are being persisted.
  std::map<core::Revision, core::MonotonicTime> pending_;
  core::Revision highest_;
  core::Revision serving_;
  core::MonotonicTime leaseEnd_;
  bool granted_ = false;
};

} // namespace crocusslip::coordination
