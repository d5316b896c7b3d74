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

/// Switches that disable single safety rules in tests.
struct OrderRules
{
  /// Wait until orders of earlier leaders can no longer arrive.
  bool leaseWait_ = true;
  /// Keep memory and replica slot of an order whose outcome is unknown.
  bool memoryHeldOnUnknown_ = true;
  /// Send an order only after its decision is applied.
  bool decisionBeforeOrder_ = true;
};

struct OrderLimits
{
  core::Duration leaderLease_ = std::chrono::milliseconds(400);
  /// Largest relative difference between the rates of two clocks.
  double clockDrift_ = 0.01;
  /// Interval between observations of a server's list.
  core::Duration observeInterval_ = std::chrono::milliseconds(500);
  /// Interval while no order is outstanding on the server.
  core::Duration idleObserveInterval_ = std::chrono::seconds(5);
  /// A list or touch without an answer is asked for anew after this time.
  core::Duration contactTimeout_ = std::chrono::seconds(2);
  /// A proposal without visible effect is repeated after this time.
  core::Duration proposalTimeout_ = std::chrono::seconds(1);
  std::chrono::milliseconds unloadTimeout_ = std::chrono::seconds(10);
  /// Engines that check fencing numbers keep the highest one across restarts.
  /// Otherwise an order of an earlier leader may still reach a restarted
  /// engine, so the wait is the same as for engines that ignore the number.
  bool fencingSurvivesRestart_ = false;
};

/// This member leads in a term and has applied an entry of that term, so its
/// table holds every decision of earlier leaders.
struct LeadershipGained
{
  core::Term term_;
};

/// This member no longer leads, or its leader lease has lapsed.
struct LeadershipLost
{};

/// A backend server to which orders may be sent; repeated ones are harmless.
struct ServerKnown
{
  core::ServerId server_;
  state::EngineKind engine_ = state::EngineKind::Ignores;
};

/// The platform's host list says that the server's host was reclaimed.
struct ServerReclaimed
{
  core::ServerId server_;
};

/// A decision wanted by placement.
struct DecisionRequested
{
  std::variant<state::DecideLoad, state::DecideUnload> decision_;
};

/// A decision was applied to the table with the result Decided.
struct DecisionApplied
{
  core::OrderId order_;
};

enum class OrderReply : std::uint8_t
{
  Done,
  /// The engine refused the order or failed without effect.
  Refused,
  /// The engine has seen a newer fencing number.
  Fenced,
  /// No answer: timeout, or the connection was lost.
  None,
};

struct OrderAnswered
{
  core::OrderId order_;
  OrderReply reply_ = OrderReply::None;
};

/// Answer to SendFencingNumber: whether the engine accepted the fencing number.
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

/// The server's own list, in answer to ObserveServer.
struct ServerListed
{
  core::ServerId server_;
  std::uint64_t observation_ = 0;
  /// Changes when the engine restarts; empty when the engine gives none.
  std::string instance_;
  std::vector<ListedReplica> replicas_;
};

struct OrderTick
{};

using OrderEvent = std::variant<LeadershipGained,
                                LeadershipLost,
                                ServerKnown,
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

/// Send an order while the leader lease holds; close its connection at the
/// deadline and report OrderReply::None then.
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

/// Ask the server for its list of replicas.
struct ObserveServer
{
  core::ServerId server_;
  std::uint64_t observation_ = 0;
};

/// Contact the server with the fencing number, so that it refuses older ones.
struct SendFencingNumber
{
  core::ServerId server_;
  core::Term term_;
  std::uint64_t fencingRequest_ = 0;
};

/// A wanted decision was dropped because its server is not reconciled yet.
struct DecisionDeferred
{
  core::DeploymentId deployment_;
  core::ServerId server_;
};

using OrderAction = std::variant<ProposeCommand,
                                 SendOrder,
                                 ObserveServer,
                                 SendFencingNumber,
                                 DecisionDeferred>;

/// Sends orders to backend servers and finds out what became of them. Reads
/// the applied order table; changes it only through proposed commands.
class OrderManager
{
public:
  explicit OrderManager(OrderLimits aLimits = {}, OrderRules aRules = {});

  std::vector<OrderAction> Handle(const OrderEvent& aEvent,
                                  const state::OrderTable& aTable,
                                  core::MonotonicTime aNow);

  /// The server's list was compared with the table in this term, so new
  /// decisions for it are accepted.
  bool Reconciled(const core::ServerId& aServer) const;
  bool Leading() const { return term_.has_value(); }

private:
  struct Misses
  {
    core::OrderId order_;
    std::uint32_t count_ = 0;
  };
  /// What this leader knows of one server.
  struct Watch
  {
    explicit Watch(state::EngineKind aEngine = state::EngineKind::Ignores)
      : engine_(aEngine)
    {
    }

    state::EngineKind engine_;
    bool reconciled_ = false;
    /// Instance in the last list of this term.
    std::optional<std::string> instance_;
    /// Outstanding touch, 0 if none.
    std::uint64_t fencingRequest_ = 0;
    core::MonotonicTime touchSentAt_;
    /// When an instance accepted this leader's fencing number, and which.
    std::optional<core::MonotonicTime> touchedAt_;
    std::string touchInstance_;
    /// Outstanding observation, 0 if none.
    std::uint64_t observation_ = 0;
    core::MonotonicTime observeSentAt_;
    core::MonotonicTime observeNext_;
    /// Consecutive lists that show no effect of a replica's last order.
    std::map<core::DeploymentId, Misses> misses_;
    /// When this leader last saw the replica change; older lists don't count.
    std::map<core::DeploymentId, core::MonotonicTime> changedAt_;
  };
  struct Handler;
  friend struct Handler;

  OrderLimits limits_;
  OrderRules rules_;
  std::optional<core::Term> term_;
  core::MonotonicTime gainedAt_;
  /// Orders up to this one may have been sent before leadership was gained.
  core::OrderId inherited_;
  std::uint64_t lastContact_ = 0;
  std::map<core::ServerId, Watch> watches_;
  /// Deadlines of the orders that this leader sent.
  std::map<core::OrderId, core::MonotonicTime> sent_;
  /// When the settlement of an order was last proposed.
  std::map<core::OrderId, core::MonotonicTime> proposedAt_;
};

} // namespace crocusslip::coordination
