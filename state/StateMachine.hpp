#pragma once

#include "core/Error.hpp"
#include "core/Hash.hpp"
#include "state/Answer.hpp"
#include "state/AuditTrail.hpp"
#include "state/ChangeFeed.hpp"
#include "state/ClaimTable.hpp"
#include "state/Command.hpp"
#include "state/DrainTable.hpp"
#include "state/OrderTable.hpp"
#include "state/QuarantineTable.hpp"
#include "state/RouteDocument.hpp"
#include "state/ServerOrders.hpp"
#include "state/SettingsTable.hpp"

#include <string>
#include <string_view>

namespace crocusslip::state {

/// Bounds of the tables; equal on all members of a group.
struct StateLimits
{
  SettingsLimits settings_;
  ClaimLimits claims_;
};

/// The replicated state. Equal commands in equal order give equal state on
/// every member.
class StateMachine
{
public:
  explicit StateMachine(StateLimits aLimits = {});

  Answer Apply(core::LogIndex aIndex,
               core::Term aTerm,
               const Command& aCommand);

  /// The whole state, framed with version and checksum.
  std::string Snapshot() const;
  /// Replaces the state; on failure the state is as it was.
  core::Status Restore(std::string_view aSnapshot);
  /// Equal states have equal digests.
  core::Digest StateDigest() const;

  core::LogIndex LastApplied() const { return lastApplied_; }
  AgreedTime Now() const { return now_; }
  const SettingsTable& Settings() const { return settings_; }
  const OrderTable& Orders() const { return orders_; }
  const ClaimTable& Claims() const { return claims_; }
  const DrainTable& Drains() const { return drains_; }
  const QuarantineTable& Quarantine() const { return quarantine_; }
  const AuditTrail& Audit() const { return audit_; }
  const RouteDocument& Routes() const { return routes_; }
  const ServerOrders& OrdersToServers() const { return serverOrders_; }
  /// Replicas changed by commands after the given one.
  const ChangeFeed<ReplicaKey>& OrderChanges() const { return orderChanges_; }
  /// The last command that may have changed orders, drains or quarantine.
  core::LogIndex ViewChangedAt() const { return viewChangedAt_; }

private:
  struct Applier;

  void Write(SnapshotWriter& aWriter) const;
  void Read(SnapshotReader& aReader);
  void NoteChanges(const Command& aCommand, std::size_t aQuarantineBefore);

  StateLimits limits_;
  core::LogIndex lastApplied_;
  AgreedTime now_;
  SettingsTable settings_;
  OrderTable orders_;
  ClaimTable claims_;
  DrainTable drains_;
  QuarantineTable quarantine_;
  AuditTrail audit_;
  RouteDocument routes_;
  ServerOrders serverOrders_;
  ChangeFeed<ReplicaKey> orderChanges_;
  core::LogIndex viewChangedAt_;
};

} // namespace crocusslip::state
