#include "control/FleetController.hpp"

#include "core/Log.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace crocusslip::control {

namespace {

using coordination::PlacementOrder;
using transport::Task;

constexpr const char* kOrdersMetric = "crocusslip_orders_total";
constexpr const char* kOrdersHelp = "Orders to backend servers by outcome.";
constexpr std::chrono::milliseconds kDecideInterval{ 40 };
constexpr std::chrono::milliseconds kIdleInterval{ 100 };
/// Largest difference between the time of day here and at a server.
constexpr std::chrono::seconds kClockTolerance{ 5 };
/// Interval of the log line about the busiest models.
constexpr std::chrono::seconds kSummaryInterval{ 2 };
constexpr std::size_t kSummaryModels = 12;
/// Reports of servers that are begun with each reading of the list: a new
/// leader of thousands has to answer hosts and operators meanwhile.
constexpr std::size_t kMaxReportsPerList = 400;

} // namespace

FleetController::FleetController(transport::asio::io_context& aLoop,
                                 GroupHost& aGroup,
                                 BackendPort& aPort,
                                 const core::Clock& aClock,
                                 ReadServices aReadServices,
                                 FleetControllerSettings aSettings,
                                 core::MetricsRegistry& aMetrics)
  : loop_(aLoop)
  , group_(aGroup)
  , port_(aPort)
  , clock_(aClock)
  , readServices_(std::move(aReadServices))
  , settings_(std::move(aSettings))
  , reports_(aMetrics.AddCounter("crocusslip_host_reports_total",
                                 "",
                                 "Reports of entry processes."))
  , tablesEncoded_(
      aMetrics.AddCounter("crocusslip_server_tables_encoded_total",
                          "",
                          "Whole tables of servers encoded for hosts."))
  , ordersDone_(aMetrics.AddCounter(kOrdersMetric,
                                    "outcome=\"carried_out\"",
                                    kOrdersHelp))
  , ordersGivenUp_(
      aMetrics.AddCounter(kOrdersMetric, "outcome=\"given_up\"", kOrdersHelp))
  , ordersConflicted_(aMetrics.AddCounter("crocusslip_order_conflicts_total",
                                          "",
                                          "Orders that a server answered with "
                                          "a conflict."))
{
  aMetrics.AddGauge("crocusslip_leads",
                    "",
                    "1 while this process decides for the fleet.",
                    [this] { return group_.MayDecide() ? 1.0 : 0.0; });
  aMetrics.AddGauge("crocusslip_rate_limited_servers",
                    "",
                    "Servers that have named a limit of requests a second.",
                    [this] {
                      const std::lock_guard lock(mutex_);
                      return static_cast<double>(rateGrants_.Size());
                    });
}

void
FleetController::Start()
{
  transport::Spawn(loop_, [this] { return ListLoop(); });
  transport::Spawn(loop_, [this] { return DecideLoop(); });
}

void
FleetController::Changed()
{
  // Called under the group's state lock, which is taken after mutex_.
  transport::asio::post(loop_, [this] {
    if (!group_.MayDecide()) {
      return;
    }
    const std::lock_guard lock(mutex_);
    TakeRoutes();
    NotifyHosts();
  });
}

bool
FleetController::Leads(core::Term aTerm) const
{
  return group_.MayDecide() && group_.Term() == aTerm;
}

void
FleetController::BeginTerm(core::Term aTerm)
{
  term_ = aTerm;
  ordersFrom_ = clock_.Now() + settings_.holderLease_ + kLeaseMargin;
  const auto group = group_.Current();
  const bool first = group && group->WithState([](const auto& aState) {
    return aState.Routes().Version() == 0;
  });
  quotas_ = admission::QuotaLedger(settings_.quotaBound_);
  quotaUsedUp_.clear();
  earlierOrders_.reset();
  if (first) {
    // Nobody can have given orders before there were services.
    ordersFrom_ = clock_.Now();
    quotas_.StartEmpty();
  } else if (!settings_.fencingEnforced_) {
    earlierOrders_ = { clock_.Now() + coordination::kLateOrderTime,
                       clock_.WallNow() - coordination::kLateOrderTime -
                         kClockTolerance };
  }
  fenced_ = false;
  listed_ = false;
  routesVersion_ = 0;
  table_ = {};
  lines_ = {};
  rateGrants_ = {};
  fairShares_ = {};
  placement_ = {};
  guard_ = coordination::CrashGuard(coordination::CrashGuardSettings{});
  promptGuard_ = coordination::PromptGuard(coordination::PromptGuardSettings{});
  limits_.clear();
  engines_.clear();
  urgentSent_.clear();
  RestoreOrders(clock_.Now());
  core::Log(core::LogLevel::Info,
            "leads the fleet",
            { { "term", std::to_string(aTerm.Value()) } });
}

void
FleetController::TakeRoutes()
{
  const auto group = group_.Current();
  if (!group) {
    return;
  }
  std::string text;
  const std::uint64_t version =
    group->WithState([&](const state::StateMachine& aState) {
      if (aState.Routes().Version() > routesVersion_) {
        text = aState.Routes().Text();
      }
      return aState.Routes().Version();
    });
  if (text.empty()) {
    return;
  }
  routesVersion_ = version;
  routesReadAt_ = clock_.Now();
  routesTaken_.clear();
  routesTakenByAll_ = false;
  auto services = readServices_(text);
  if (!services.Ok()) {
    core::Log(core::LogLevel::Error,
              "services not read",
              { { "error", services.Failure().Message() } });
    return;
  }
  limits_ = std::move(services.Value());
  placement_.SetLimits(limits_);
  TakeQuotas(text);
}

bool
FleetController::AwaitsFirstList() const
{
  const std::lock_guard lock(mutex_);
  return !listed_ || routesVersion_ == 0;
}

Task<void>
FleetController::ListLoop()
{
  transport::asio::steady_timer timer(loop_);
  while (true) {
    const core::MonotonicTime begin = clock_.Now();
    if (group_.MayDecide()) {
      const core::Term term = group_.Term();
      auto list = co_await port_.ReadList();
      const std::lock_guard lock(mutex_);
      if (term_ == term && list.Ok()) {
        const core::MonotonicTime now = clock_.Now();
        table_.OnList(list.Value(), now);
        std::set<core::ServerId> usable;
        for (const coordination::ListedServer& server : list.Value()) {
          const bool engine = limits_.contains(server.service_);
          if (server.state_ == coordination::BackendState::Ready && engine) {
            usable.insert(server.server_);
            placement_.AddServer(server.server_, server.service_);
            placement_.OnListedContent(server.server_, server.content_, now);
          } else {
            placement_.RemoveServer(server.server_);
            engines_.erase(server.server_);
          }
        }
        for (const auto& [id, row] : table_.Rows()) {
          if (row.row_.state_ == coordination::BackendState::Gone) {
            placement_.RemoveServer(id);
            engines_.erase(id);
            rateGrants_.Remove(id);
          }
          const auto limits = limits_.find(row.row_.service_);
          if (limits != limits_.end()) {
            table_.SetTokenCapacity(id, limits->second.memoryTokens_);
          }
        }
        std::size_t reports = 0;
        for (const core::ServerId& id : placement_.UnverifiedServers()) {
          if (++reports > kMaxReportsPerList) {
            break;
          }
          transport::Spawn(loop_,
                           [this, id, term] { return Refresh(id, term); });
        }
        // The term began with reading the routes, so that engines without
        // limits are no engines.
        listed_ = true;
        ShowModels();
        NotifyHosts();
      } else if (!list.Ok()) {
        core::Log(core::LogLevel::Warning,
                  "list of servers not read",
                  { { "error", list.Failure().Message() } });
      }
    }
    const core::Duration spent = clock_.Now() - begin;
    const core::Duration interval = AwaitsFirstList()
                                      ? core::Duration(kIdleInterval * 2)
                                      : core::Duration(settings_.listInterval_);
    co_await transport::Sleep(
      timer,
      std::max<core::Duration>(interval - spent,
                               std::chrono::milliseconds(50)));
  }
}

void
FleetController::ShowModels()
{
  for (const auto& [id, row] : table_.Rows()) {
    if (limits_.contains(row.row_.service_)) {
      table_.SetModels(id, placement_.RoutableModels(id));
    }
  }
}

std::vector<FleetController::PlannedOrder>
FleetController::Decide()
{
  const core::MonotonicTime now = clock_.Now();
  TakeRoutes();
  table_.Expire(now);
  lines_.Expire(now);
  guard_.Expire(now);
  placement_.OnDemand(table_.TakeDemand(), now);
  auto active = table_.ActiveModels();
  for (const auto& [id, row] : table_.Rows()) {
    if (limits_.contains(row.row_.service_)) {
      placement_.OnActive(
        id, std::move(active[id]), row.inFlight_, row.row_.slowness_);
    }
  }
  if (now >= summaryAt_) {
    summaryAt_ = now + kSummaryInterval;
    core::Log(core::LogLevel::Info,
              "busiest models",
              { { "models", placement_.Summary(kSummaryModels) },
                { "hosts", std::to_string(table_.HostCount()) } });
    std::string held;
    for (const auto& [tenant, percent] : fairShares_.Percents(now)) {
      held += held.empty() ? "" : " ";
      held += tenant.Value() + ":" + std::to_string(percent);
    }
    if (!held.empty()) {
      core::Log(core::LogLevel::Info,
                "tenants at their share",
                { { "percent", held } });
    }
  }
  ReserveForLateOrders(now);
  std::vector<PlannedOrder> orders;
  if (listed_ && !fenced_ && now >= ordersFrom_) {
    for (PlacementOrder& order : placement_.Decide(now)) {
      auto run = KnownRun(order.server_);
      orders.push_back({ std::move(order), run });
    }
  }
  const std::uint64_t before = table_.UrgentVersion();
  ShowModels();
  if (table_.UrgentVersion() != before) {
    NotifyHosts();
  }
  return orders;
}

Task<void>
FleetController::DecideLoop()
{
  transport::asio::steady_timer timer(loop_);
  while (true) {
    const std::optional<core::Term> term = group_.DecidingTerm();
    if (term) {
      std::vector<PlannedOrder> orders;
      {
        const std::lock_guard lock(mutex_);
        if (*term != term_) {
          BeginTerm(*term);
        }
        orders = Decide();
      }
      Dispatch(std::move(orders), *term);
      TellEnded(*term);
    }
    co_await transport::Sleep(timer, term ? kDecideInterval : kIdleInterval);
  }
}

} // namespace crocusslip::control
