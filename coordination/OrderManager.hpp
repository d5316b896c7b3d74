#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Units.hpp"
#include "state/Command.hpp"
#include "state/OrderTable.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace crocusslip::coordination {

/// Safety rules, each of which a test can disable.
struct OrderRules
{
  /// Don't infer the outcome of an earlier leader's order until that order can
  /// no longer arrive.
  bool leaseWait_ = true;
  /// Keep the memory and the replica slot of an order reserved while its
  /// outcome is unknown.
  bool memoryHeldOnUnknown_ = true;
  /// Send an order only after its decision has been applied.
  bool decisionBeforeOrder_ = true;
};

struct OrderSettings
{
  core::Duration leaderLease_ = std::chrono::milliseconds(400);
  /// Maximum relative difference between the rates of two clocks.
  double clockDrift_ = 0.01;
  /// Interval between reads of a server's replica list.
  core::Duration listInterval_ = std::chrono::milliseconds(500);
  /// The same interval while no order is outstanding on the server.
  core::Duration idleListInterval_ = std::chrono::seconds(5);
  /// Time after which an unanswered request for a list or with a fencing number
  /// is repeated.
  core::Duration contactTimeout_ = std::chrono::seconds(2);
  /// Time after which a proposal without visible effect is repeated.
  core::Duration proposalTimeout_ = std::chrono::seconds(1);
  std::chrono::milliseconds unloadTimeout_ = std::chrono::seconds(10);
  /// Whether engines that check fencing numbers persist the highest one across
  /// restarts. If not, a restarted engine may still accept an order of an
  /// earlier leader, so the same wait applies as for engines that ignore
  /// fencing numbers.
  bool fencingSurvivesRestart_ = false;
};

/// This member leads in a term and has applied an entry of that term, so its
/// order table contains every decision of earlier leaders.
struct LeadershipGained
{
  core::Term term_;
};

/// This member no longer leads, or its leader lease has expired.
struct LeadershipLost
{};

/// Adds a backend server that can receive orders. Idempotent.
struct ServerAdded
{
  core::ServerId server_;
  state::EngineKind engine_ = state::EngineKind::Ignores;
};

/// The platform's host list reports that the server's host was reclaimed.
struct ServerReclaimed
{
  core::ServerId server_;
};

/// Placement requests a decision.
struct DecisionRequested
{
  std::variant<state::DecideLoad, state::DecideUnload> decision_;
};

/// A decision was applied to the order table with the result Decided.
struct DecisionApplied
{
  core::OrderId order_;
};

enum class OrderReply : std::uint8_t
{
  Done,
  /// The engine refused the order or failed without effect.
  Refused,
  /// The engine has already accepted a newer fencing number.
  Fenced,
  /// No answer because of a timeout or a lost connection.
  None,
};

struct OrderAnswered
{
  core::OrderId order_;
  OrderReply reply_ = OrderReply::None;
};

/// Answer to SendFencingNumber.
struct FencingNumberAnswered
{
  core::ServerId server_;
  std::uint64_t fencingRequest_ = 0;
  bool accepted_ = false;
};

enum class ListedPhase : std::uint8_t
{
  Loading,
  Loaded,
  Unloading,
};

struct ListedReplica
{
  core::DeploymentId deployment_;
  core::Bytes memory_;
  ListedPhase phase_ = ListedPhase::Loaded;
};

/// Replica list of the server itself, in answer to RequestReplicaList.
struct ServerListed
{
  core::ServerId server_;
  std::uint64_t listRequest_ = 0;
  /// Identifies one run of the engine; changes at a restart. Empty if the
  /// engine doesn't report one.
  std::string instance_;
  std::vector<ListedReplica> replicas_;
};

struct OrderTick
{};

using OrderEvent = std::variant<LeadershipGained,
                                LeadershipLost,
                                ServerAdded,
                                ServerReclaimed,
                                DecisionRequested,
                                DecisionApplied,
                                OrderAnswered,
                                FencingNumberAnswered,
                                ServerListed,
                                OrderTick>;

struct ProposeCommand
{
  state::Command command_;
};

/// Send an order, only while the leader lease is valid. At the deadline, close
/// the connection and report OrderReply::None.
struct SendOrder
{
  core::OrderId order_;
  core::Term fencing_;
  state::OrderKind kind_ = state::OrderKind::Load;
  core::DeploymentId deployment_;
  core::ServerId server_;
  core::Bytes memory_;
  core::MonotonicTime deadline_;
};

/// Request the server's replica list.
struct RequestReplicaList
{
  core::ServerId server_;
  std::uint64_t listRequest_ = 0;
};

/// Send the fencing number to the server so that it rejects older ones.
struct SendFencingNumber
{
  core::ServerId server_;
  core::Term term_;
  std::uint64_t fencingRequest_ = 0;
};

/// A requested decision was dropped because its server is not reconciled yet;
/// placement has to request it again.
struct DecisionDropped
{
  core::DeploymentId deployment_;
  core::ServerId server_;
};

using OrderAction = std::variant<ProposeCommand,
                                 SendOrder,
                                 RequestReplicaList,
                                 SendFencingNumber,
                                 DecisionDropped>;

/// Sends orders (loads and unloads of replicas) to backend servers and
/// determines their outcomes. Reads the applied order table and changes it only
/// by proposing commands.
class OrderManager
{
public:
  explicit OrderManager(OrderSettings aLimits = {}, OrderRules aRules = {});

  std::vector<OrderAction> Handle(const OrderEvent& aEvent,
                                  const state::OrderTable& aTable,
                                  core::MonotonicTime aNow);

  /// True if the server's list was compared with the order table in this term;
  /// only then are new decisions for the server accepted.
  bool Reconciled(const core::ServerId& aServer) const;
  bool Leading() const { return term_.has_value(); }

private:
  struct AbsenceCount
  {
    core::OrderId order_;
    std::uint32_t count_ = 0;
  };
  /// State of one server as known to the current leader.
  struct TrackedServer
  {
    explicit TrackedServer(
      state::EngineKind aEngine = state::EngineKind::Ignores)
      : engine_(aEngine)
    {
    }

    state::EngineKind engine_;
    bool reconciled_ = false;
    /// Engine instance reported by the last list of this term.
    std::optional<std::string> instance_;
    /// Id of the outstanding SendFencingNumber, 0 if none.
    std::uint64_t fencingRequest_ = 0;
    core::MonotonicTime fencingSentAt_;
    /// When an engine instance accepted this leader's fencing number.
    std::optional<core::MonotonicTime> fencedAt_;
    /// Instance known when the fencing number was last sent.
    std::string fencingInstance_;
    /// Id of the outstanding RequestReplicaList, 0 if none.
    std::uint64_t listRequest_ = 0;
    core::MonotonicTime listRequestedAt_;
    core::MonotonicTime nextListRequestAt_;
    /// Number of consecutive lists that don't show the effect of the replica's
    /// last order.
    std::map<core::DeploymentId, AbsenceCount> missingEffects_;
    /// When the replica may last have changed: an order was sent or answered,
    /// or an outcome was proposed. Lists requested earlier are ignored for that
    /// replica.
    std::map<core::DeploymentId, core::MonotonicTime> changedAt_;
  };
  struct Handler;
  friend struct Handler;

  OrderSettings limits_;
  OrderRules rules_;
  std::optional<core::Term> term_;
  core::MonotonicTime gainedAt_;
  /// Highest order from before this term; it and all lower ones may have been
  /// sent by earlier leaders.
  core::OrderId lastInherited_;
  std::uint64_t lastRequestId_ = 0;
  std::map<core::ServerId, TrackedServer> trackedServers_;
  /// Deadlines of the outstanding orders that this leader sent.
  std::map<core::OrderId, core::MonotonicTime> sent_;
  /// When a command about the order was last proposed.
  std::map<core::OrderId, core::MonotonicTime> proposedAt_;
};

} // namespace crocusslip::coordination
