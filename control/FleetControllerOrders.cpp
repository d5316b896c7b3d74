// Orders to backend servers: sending one, waiting for its effect, and reading
// back what a server holds.
#include "control/FleetController.hpp"

#include "core/Durations.hpp"
#include "core/Log.hpp"

namespace crocusslip::control {

namespace {

using coordination::PlacementOrder;
using coordination::PlacementVerb;
using coordination::WeightTier;
using transport::Task;

constexpr std::chrono::milliseconds kOrderRetry{ 60 };
constexpr int kOrderTries = 40;
/// Conflicts after which the engine's sequence is read again.
constexpr int kConflictsToRead = 4;
/// Sends of one order without an answer.
constexpr int kUnknownTries = 4;
constexpr std::chrono::milliseconds kUnloadTime{ 60 };
constexpr std::chrono::milliseconds kLoadSlack{ 50 };
constexpr std::chrono::milliseconds kReportInterval{ 200 };
/// Age up to which a report may be from before an order.
constexpr std::chrono::milliseconds kMaxReportLag{ 2000 };
/// Longest time that an order's effect is waited for.
constexpr std::chrono::seconds kLongestEffect{ 60 };
constexpr std::chrono::milliseconds kRefreshInterval{ 1000 };

const char*
NameOf(WeightTier aTier)
{
  switch (aTier) {
    case WeightTier::Memory:
      return "memory";
    case WeightTier::Disk:
      return "disk";
    case WeightTier::Store:
      return "store";
  }
  return "";
}

const char*
NameOf(OrderReply aReply)
{
  switch (aReply) {
    case OrderReply::Accepted:
      return "accepted";
    case OrderReply::Holds:
      return "holds";
    case OrderReply::Conflict:
      return "conflict";
    case OrderReply::Fenced:
      return "fenced";
    case OrderReply::Elsewhere:
      return "elsewhere";
    case OrderReply::Invalid:
      return "invalid";
    case OrderReply::Unknown:
      return "unknown";
  }
  return "";
}

bool
IsLoaded(const coordination::EngineContent& aContent,
         const PlacementOrder& aOrder)
{
  const auto model = aContent.models_.find(aOrder.model_);
  return model != aContent.models_.end() &&
         (aOrder.adapter_.empty() || model->second.contains(aOrder.adapter_));
}

} // namespace

std::string
FleetController::AddressOf(const core::ServerId& aServer)
{
  const std::lock_guard lock(mutex_);
  const auto found = table_.Rows().find(aServer);
  return found == table_.Rows().end() ? "" : found->second.row_.address_;
}

std::optional<FleetController::EngineRun>
FleetController::RunOf(const core::ServerId& aServer) const
{
  const std::lock_guard lock(mutex_);
  return KnownRun(aServer);
}

std::optional<FleetController::EngineRun>
FleetController::KnownRun(const core::ServerId& aServer) const
{
  const auto found = engines_.find(aServer);
  if (found == engines_.end() || !found->second.sequence_) {
    return std::nullopt;
  }
  return EngineRun{ found->second.startedAt_, *found->second.sequence_ };
}

void
FleetController::ReserveForLateOrders(core::MonotonicTime aNow)
{
  unanswered_.Expire(aNow);
  std::map<core::ServerId, std::set<core::ModelName>> loads;
  std::map<core::ServerId, std::set<core::ModelName>> rivals;
  for (const core::ServerId& server : unanswered_.Servers()) {
    const auto engine = engines_.find(server);
    if (engine == engines_.end() || !engine->second.sequence_) {
      continue;
    }
    const std::int64_t sequence = *engine->second.sequence_;
    if (settings_.fencingEnforced_) {
      loads[server] = unanswered_.LoadsAfter(server, sequence);
      continue;
    }
    // Where a late order of an earlier run isn't barred by its fencing number,
    // it may come before an order that is planned now.
    loads[server] = unanswered_.Loads(server);
    rivals[server] = unanswered_.LoadsAt(server, sequence);
  }
  placement_.SetPossibleLoads(std::move(loads), std::move(rivals));
  std::set<core::ServerId> withheld = recorded_.Withheld(aNow);
  if (earlierOrders_ && aNow >= earlierOrders_->until_) {
    earlierOrders_.reset();
  }
  if (earlierOrders_) {
    for (const auto& [server, engine] : engines_) {
      const core::WallTime started(
        std::chrono::milliseconds(engine.startedAt_));
      if (engine.startedAt_ == 0 || started > earlierOrders_->since_) {
        withheld.insert(server);
      }
    }
  }
  placement_.SetWithheld(std::move(withheld));
}

Task<OrderReply>
FleetController::Send(std::string aAddress,
                      PlannedOrder aPlanned,
                      core::Term aTerm)
{
  const PlacementOrder& order = aPlanned.order_;
  const std::int64_t sequence = aPlanned.run_->sequence_;
  std::uint64_t number = 0;
  {
    const std::lock_guard lock(mutex_);
    const core::MonotonicTime now = clock_.Now();
    number = unanswered_.OnSent(order, sequence, now);
    if (term_ == aTerm) {
      recorded_.OnSent(aPlanned.number_, now);
    }
  }
  const OrderSender sender{ settings_.holder_, aTerm.Value() };
  const OrderReply reply =
    co_await port_.SendOrder(aAddress, order, sequence, sender);
  if (reply != OrderReply::Unknown) {
    const std::lock_guard lock(mutex_);
    unanswered_.OnAnswered(order.server_, number);
    if (term_ == aTerm) {
      recorded_.OnAnswered(aPlanned.number_);
    }
  }
  co_return reply;
}

void
FleetController::RecordAccepted(const core::ServerId& aServer,
                                std::int64_t aSequence,
                                core::Term aTerm)
{
  const std::lock_guard lock(mutex_);
  const auto found = engines_.find(aServer);
  if (term_ == aTerm && found != engines_.end() &&
      found->second.sequence_ == aSequence) {
    found->second.sequence_ = aSequence + 1;
  }
}

Task<std::optional<EngineReport>>
FleetController::Report(core::ServerId aServer)
{
  const std::string address = AddressOf(aServer);
  if (address.empty()) {
    co_return std::nullopt;
  }
  auto report = co_await port_.ReadReport(address, aServer);
  if (!report.Ok()) {
    core::Log(core::LogLevel::Info,
              "report not read",
              { { "server", aServer.Value() },
                { "error", report.Failure().Message() } });
    co_return std::nullopt;
  }
  const std::lock_guard lock(mutex_);
  placement_.SetCachedWeights(aServer, report.Value().copies_);
  co_return std::move(report.Value());
}

Task<void>
FleetController::RunOrder(PlannedOrder aPlanned, core::Term aTerm)
{
  const PlacementOrder& order = aPlanned.order_;
  const core::MonotonicTime begin = clock_.Now();
  const bool done = co_await CarryOut(aPlanned, aTerm);
  const core::MonotonicTime now = clock_.Now();
  (done ? ordersDone_ : ordersGivenUp_).Add();
  core::Log(
    core::LogLevel::Info,
    done ? "order carried out" : "order given up",
    { { "server", order.server_.Value() },
      { "verb", order.verb_ == PlacementVerb::Load ? "load" : "unload" },
      { "model", order.model_.Value() },
      { "adapter", order.adapter_ },
      { "from", NameOf(order.tier_) },
      { "took_ms", std::to_string(core::Milliseconds(now - begin)) } });
  {
    const std::lock_guard lock(mutex_);
    if (term_ != aTerm) {
      co_return;
    }
    recorded_.OnFinished(aPlanned.number_);
    placement_.OnOrderDone(order, done, now);
    ShowModels();
    NotifyHosts();
  }
  if (!done && Leads(aTerm)) {
    co_await Refresh(order.server_, aTerm);
  }
}

Task<bool>
FleetController::CarryOut(PlannedOrder aPlanned, core::Term aTerm)
{
  const PlacementOrder& order = aPlanned.order_;
  transport::asio::steady_timer timer(loop_);
  int unanswered = 0;
  int conflicts = 0;
  // All sends have the sequence of the content on which the order was planned.
  const std::optional<EngineRun> run = aPlanned.run_;
  if (!run) {
    co_return false;
  }
  const std::int64_t sequence = run->sequence_;
  for (int tries = 0; tries < kOrderTries; ++tries) {
    const std::string address = AddressOf(order.server_);
    // After a restart the same sequence stands for other content.
    if (address.empty() || !Leads(aTerm) || RunOf(order.server_) != run) {
      co_return false;
    }
    const OrderReply reply = co_await Send(address, aPlanned, aTerm);
    if (reply != OrderReply::Accepted && reply != OrderReply::Holds) {
      core::Log(core::LogLevel::Info,
                "order not accepted",
                { { "server", order.server_.Value() },
                  { "model", order.model_.Value() },
                  { "answer", NameOf(reply) },
                  { "sequence", std::to_string(sequence) } });
    }
    switch (reply) {
      case OrderReply::Accepted:
        RecordAccepted(order.server_, sequence, aTerm);
        co_return co_await AwaitEffect(order, sequence, aTerm);
      case OrderReply::Holds: {
        // An adapter that no request uses is unloaded with this answer, which
        // counts in the sequence.
        if (order.verb_ == PlacementVerb::Unload) {
          RecordAccepted(order.server_, sequence, aTerm);
        }
        co_return true;
      }
      case OrderReply::Fenced: {
        const std::lock_guard lock(mutex_);
        fenced_ = true;
        co_return false;
      }
      case OrderReply::Invalid:
      case OrderReply::Elsewhere:
        co_return false;
      case OrderReply::Unknown:
        // Sent again with the same sequence, only one of both can be accepted.
        if (++unanswered >= kUnknownTries) {
          co_return false;
        }
        break;
      case OrderReply::Conflict: {
        ordersConflicted_.Add();
        // Mostly the order before is still under way; else the sequence is not
        // the one that was assumed.
        if (++conflicts % kConflictsToRead != 0) {
          break;
        }
        const auto report = co_await Report(order.server_);
        if (!report || report->sequence_ != sequence ||
            report->startedAt_ != run->startedAt_) {
          // Somebody else's order: what the server holds is not what this one
          // was planned on.
          co_return false;
        }
        break;
      }
    }
    co_await transport::Sleep(timer, kOrderRetry);
  }
  co_return false;
}

Task<bool>
FleetController::AwaitEffect(PlacementOrder aOrder,
                             std::int64_t aSequence,
                             core::Term aTerm)
{
  transport::asio::steady_timer timer(loop_);
  const bool load = aOrder.verb_ == PlacementVerb::Load;
  if (load && !aOrder.adapter_.empty()) {
    co_await transport::Sleep(timer, aOrder.expected_);
    co_return true;
  }
  bool quick = load && aOrder.tier_ != WeightTier::Store;
  if (!load && aOrder.adapter_.empty()) {
    const std::lock_guard lock(mutex_);
    quick = !table_.ActiveModelsAt(aOrder.server_).contains(aOrder.model_);
  }
  co_await transport::Sleep(timer,
                            load ? aOrder.expected_ + kLoadSlack : kUnloadTime);
  if (quick) {
    co_return true;
  }
  const core::MonotonicTime begin = clock_.Now();
  while (clock_.Now() < begin + kLongestEffect && Leads(aTerm)) {
    const auto report = co_await Report(aOrder.server_);
    const bool countsOrder = report && report->sequence_ > aSequence;
    if (countsOrder && !report->busy_ &&
        IsLoaded(report->content_, aOrder) == load) {
      co_return true;
    }
    if (report && !countsOrder && clock_.Now() > begin + kMaxReportLag) {
      // The server has restarted and counts anew.
      co_return false;
    }
    co_await transport::Sleep(timer, kReportInterval);
  }
  co_return false;
}

Task<void>
FleetController::Refresh(core::ServerId aServer, core::Term aTerm)
{
  {
    const std::lock_guard lock(mutex_);
    Engine& engine = engines_[aServer];
    if (engine.refreshing_ ||
        clock_.Now() < engine.refreshedAt_ + kRefreshInterval) {
      co_return;
    }
    engine.refreshing_ = true;
  }
  const auto report = co_await Report(aServer);
  const std::lock_guard lock(mutex_);
  Engine& engine = engines_[aServer];
  engine.refreshing_ = false;
  engine.refreshedAt_ = clock_.Now();
  if (!report || report->busy_ || term_ != aTerm) {
    co_return;
  }
  // Reports lag: one from before an order that has been carried out would undo
  // what is known of its effect.
  const bool outdated = placement_.IsVerified(aServer) && engine.sequence_ &&
                        report->startedAt_ == engine.startedAt_ &&
                        report->sequence_ < *engine.sequence_;
  if (!outdated && placement_.SetVerifiedContent(aServer, report->content_)) {
    engine.sequence_ = report->sequence_;
    engine.startedAt_ = report->startedAt_;
    ShowModels();
  }
}

} // namespace crocusslip::control
