#pragma once

#include "core/Hash.hpp"
#include "core/Ids.hpp"
#include "core/Units.hpp"
#include "state/AgreedTime.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Commands of the replicated state machine. Only committed commands change
/// its tables, so each is deterministic: it carries all that its effect needs.
namespace crocusslip::state {

/// One node of the settings tree set to a text, or removed.
struct NodeEdit
{
  std::string path_;
  std::string toml_;
  bool removed_ = false;
};

/// An atomic batch of edits by an operator, based on one revision.
struct ChangeSettings
{
  core::ChangeId change_;
  core::OperatorId operator_;
  core::Revision expected_;
  std::vector<NodeEdit> edits_;
};

/// Whether an engine refuses orders with an older fencing number.
enum class EngineKind : std::uint8_t
{
  Checks,
  Ignores,
};

/// Decides one more replica of a deployment on a server.
struct DecideLoad
{
  core::DeploymentId deployment_;
  core::ServerId server_;
  core::Bytes memory_;
  /// Memory of the server that replicas may use in total.
  core::Bytes capacity_;
  std::uint32_t maximumReplicas_ = 1;
  /// Time from sending the order until its sender closes the connection.
  std::chrono::milliseconds timeout_{ 0 };
  EngineKind engine_ = EngineKind::Ignores;
};

/// Decides that a replica is unloaded.
struct DecideUnload
{
  core::DeploymentId deployment_;
  core::ServerId server_;
  std::chrono::milliseconds timeout_{ 0 };
};

/// What became of an order.
enum class OrderOutcome : std::uint8_t
{
  /// The order took effect: loaded, or unloaded.
  Done,
  /// The order certainly took no effect and can't take any later.
  NotDone,
  /// The order may or may not have taken effect, or may do so later.
  Unknown,
};

struct ObserveOrder
{
  core::OrderId order_;
  OrderOutcome outcome_ = OrderOutcome::Unknown;
};

/// A replica that the server lists although no order loaded it.
struct AdoptReplica
{
  core::DeploymentId deployment_;
  core::ServerId server_;
  core::Bytes memory_;
  EngineKind engine_ = EngineKind::Ignores;
};

/// A loaded replica that its server certainly no longer has.
struct LoseReplica
{
  core::DeploymentId deployment_;
  core::ServerId server_;
  /// Order by which the replica was last known; a newer one is not touched.
  core::OrderId order_;
};

/// The server is certainly gone, with all that it had loaded.
struct ForgetServer
{
  core::ServerId server_;
};

/// Identity of a non-idempotent request: the hash of deployment, caller and
/// key, and the time embedded in the key if it is a UUIDv7.
struct ClaimKey
{
  core::Digest hash_;
  std::optional<AgreedTime> issued_;
};

/// Claims the right to run a non-idempotent request once.
struct Claim
{
  ClaimKey key_;
  core::Digest body_;
  /// Entry host and its own id of this request; both make up the owner.
  core::HostId host_;
  core::RequestId request_;
  /// Time until the claim's outcome is unknown unless it is recorded.
  std::chrono::milliseconds lifetime_{ 0 };
};

enum class ClaimOutcome : std::uint8_t
{
  /// No byte was sent to a backend server; releases the claim.
  NotSent,
  Answered,
  Unknown,
};

/// Answer of a backend server, kept for repeated requests.
struct StoredAnswer
{
  std::int32_t status_ = 0;
  std::string contentType_;
  std::string body_;
  /// False when the body was too large to keep.
  bool complete_ = true;

  friend bool operator==(const StoredAnswer&, const StoredAnswer&) = default;
};

/// Records what became of a claimed request; only its owner may.
struct RecordOutcome
{
  core::Digest key_;
  core::HostId host_;
  core::RequestId request_;
  ClaimOutcome outcome_ = ClaimOutcome::Unknown;
  StoredAnswer answer_;
};

enum class DrainTarget : std::uint8_t
{
  Host,
  Server,
};

struct SetDrain
{
  DrainTarget target_ = DrainTarget::Host;
  /// Host or server id.
  std::string id_;
  bool draining_ = true;
  core::OperatorId operator_;
};

/// A backend server failed while it ran the request.
struct ReportCrash
{
  /// Fingerprint of the request body and deployment.
  std::string fingerprint_;
  core::DeploymentId deployment_;
  core::ServerId server_;
  core::HostId reporter_;
  /// The request ran alone on the server.
  bool certain_ = false;
  /// Distinct servers after which the request is held back; at most
  /// kMaxServersLost.
  std::uint32_t limit_ = 2;
  std::chrono::milliseconds hold_{ 0 };
};

struct ReleaseQuarantine
{
  std::string fingerprint_;
  core::OperatorId operator_;
};

/// Moves the agreed time forward; an earlier time has no effect.
struct AdvanceTime
{
  AgreedTime now_;
};

/// A complete table of routes from an operator. The highest version is in
/// force; the state machine keeps the text as it came.
struct PublishRoutes
{
  std::uint64_t version_ = 0;
  std::string document_;
};

/// An order to a backend server that is about to be sent.
struct ServerOrder
{
  core::ServerId server_;
  /// The start of the server that its sequence counts from.
  std::int64_t startedAt_ = 0;
  /// Sequence that the order is sent with.
  std::int64_t sequence_ = 0;
  /// Otherwise an order to unload.
  bool load_ = true;
  /// "MODEL", or "MODEL/ADAPTER".
  std::string target_;

  friend bool operator==(const ServerOrder&, const ServerOrder&) = default;
};

/// Tells that orders have ended: each was answered, or can't be carried out any
/// more. Unknown numbers have no effect.
struct EndOrders
{
  /// Time on the leader's monotonic clock.
  std::chrono::milliseconds now_{ 0 };
  /// Time for which a server remembers the holder of its last order.
  std::chrono::milliseconds lease_{ 0 };
  /// Each order that may still be carried out is in the table.
  bool complete_ = false;
  std::vector<std::uint64_t> ended_;
};

/// Records orders before they are sent; ends others, too.
struct RecordOrders
{
  EndOrders end_;
  std::vector<ServerOrder> orders_;
};

using Command = std::variant<ChangeSettings,
                             DecideLoad,
                             DecideUnload,
                             ObserveOrder,
                             AdoptReplica,
                             LoseReplica,
                             ForgetServer,
                             Claim,
                             RecordOutcome,
                             SetDrain,
                             ReportCrash,
                             ReleaseQuarantine,
                             AdvanceTime,
                             PublishRoutes,
                             RecordOrders,
                             EndOrders>;

} // namespace crocusslip::state
