#include "control/CapacityController.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::control {

namespace {

constexpr std::chrono::milliseconds kListTimeout{ 2000 };
constexpr std::size_t kListLimit = 16 * 1024 * 1024;

} // namespace

void
CapacityController::Feed(const coordination::OrderEvent& aEvent,
                         core::MonotonicTime aNow)
{
  const std::vector<coordination::OrderAction> actions =
    group_.WithState([&](const auto& aState) {
      return orders_.Handle(aEvent, aState.Orders(), aNow);
    });
  for (const coordination::OrderAction& action : actions) {
    CarryOut(action, aNow);
  }
}

void
CapacityController::CarryOut(const coordination::OrderAction& aAction,
                             core::MonotonicTime aNow)
{
  std::visit([&](const auto& aOne) { On(aOne, aNow); }, aAction);
}

void
CapacityController::On(const coordination::ProposeCommand& aAction,
                       core::MonotonicTime)
{
  group_.Propose(aAction.command_, [](const ProposalResult& aResult) {
    if (!aResult.Ok()) {
      return;
    }
    const auto* decision = std::get_if<state::DecisionAnswer>(&aResult.Value());
    if (decision != nullptr &&
        decision->result_ != state::DecisionResult::Decided) {
      core::Log(
        core::LogLevel::Info,
        "decision was not taken",
        { { "result", std::to_string(static_cast<int>(decision->result_)) } });
    }
  });
}

void
CapacityController::On(const coordination::SendOrder& aAction,
                       core::MonotonicTime aNow)
{
  const auto address = AddressOf(aAction.server_);
  // The lease is checked at the last moment before the order leaves.
  if (!address || !group_.MayDecide()) {
    Post(coordination::OrderAnswered{ aAction.order_,
                                      coordination::OrderReply::None });
    return;
  }
  protocol::EngineOrder order;
  order.order_ = aAction.order_;
  order.fencing_ = aAction.fencing_;
  order.deployment_ = aAction.deployment_;
  order.memory_ = aAction.memory_;
  if (const auto deployment = tree_.Deployment(aAction.deployment_)) {
    order.kind_ = deployment->kind_ == state::DeploymentKind::Adapter
                    ? protocol::ArtifactKind::Adapter
                    : protocol::ArtifactKind::Model;
    order.model_ = deployment->model_;
    order.base_ = deployment->base_;
    order.version_ = deployment->version_;
  }
  const bool load = aAction.kind_ == state::OrderKind::Load;
  const protocol::HttpRequest request = std::visit(
    [&](const auto& aDialect) {
      return load ? aDialect.Load(order) : aDialect.Unload(order);
    },
    dialect_);
  const auto timeout = std::max(
    std::chrono::milliseconds(1),
    std::chrono::ceil<std::chrono::milliseconds>(aAction.deadline_ - aNow));
  ordersSent_.Add();
  core::Log(core::LogLevel::Info,
            load ? "load ordered" : "unload ordered",
            { { "deployment", aAction.deployment_.Value() },
              { "server", aAction.server_.Value() },
              { "order", std::to_string(aAction.order_.Value()) },
              { "fencing", std::to_string(aAction.fencing_.Value()) } });
  // The library repeats a request on a closed pooled connection; an order has
  // a connection of its own, so that it is sent once.
  transport::HttpTarget target{ "http://" + *address, timeout, true };
  client_.Fetch(target,
                request,
                kListLimit,
                [this, id = aAction.order_, load](
                  const core::Result<protocol::HttpResponse>& aAnswer,
                  transport::Delivery aDelivery) {
                  coordination::OrderReply reply =
                    coordination::OrderReply::None;
                  if (aAnswer.Ok()) {
                    const auto read = std::visit(
                      [&](const auto& aDialect) {
                        return aDialect.ReadReply(aAnswer.Value());
                      },
                      dialect_);
                    reply = read == protocol::EngineReply::Done
                              ? coordination::OrderReply::Done
                            : read == protocol::EngineReply::Refused
                              ? coordination::OrderReply::Refused
                            : read == protocol::EngineReply::Fenced
                              ? coordination::OrderReply::Fenced
                              : coordination::OrderReply::None;
                  } else if (aDelivery == transport::Delivery::NotSent) {
                    reply = coordination::OrderReply::Refused;
                  }
                  if (reply == coordination::OrderReply::None) {
                    ordersUnclear_.Add();
                  } else if (reply == coordination::OrderReply::Done && !load) {
                    unloads_.Add();
                  }
                  Post(coordination::OrderAnswered{ id, reply });
                });
}

void
CapacityController::On(const coordination::RequestReplicaList& aAction,
                       core::MonotonicTime)
{
  const auto address = AddressOf(aAction.server_);
  if (!address) {
    return;
  }
  const protocol::HttpRequest request =
    std::visit([](const auto& aDialect) { return aDialect.List(); }, dialect_);
  client_.Fetch(
    { "http://" + *address, kListTimeout },
    request,
    kListLimit,
    [this, server = aAction.server_, listRequest = aAction.listRequest_](
      const core::Result<protocol::HttpResponse>& aAnswer,
      transport::Delivery) {
      if (!aAnswer.Ok()) {
        return;
      }
      const auto list = std::visit(
        [&](const auto& aDialect) {
          return aDialect.ReadList(aAnswer.Value());
        },
        dialect_);
      if (!list.Ok()) {
        return;
      }
      servers_.OnAnswered(server, list.Value().instance_);
      coordination::ServerListed listed;
      listed.server_ = server;
      listed.listRequest_ = listRequest;
      listed.instance_ = list.Value().instance_;
      for (const protocol::EngineArtifact& artifact : list.Value().artifacts_) {
        const auto phase =
          artifact.state_ == protocol::EngineArtifactState::Loading
            ? coordination::ListedPhase::Loading
          : artifact.state_ == protocol::EngineArtifactState::Ready
            ? coordination::ListedPhase::Loaded
            : coordination::ListedPhase::Unloading;
        listed.replicas_.push_back(
          { artifact.deployment_, artifact.memory_, phase });
      }
      Post(std::move(listed));
    });
}

void
CapacityController::On(const coordination::SendFencingNumber& aAction,
                       core::MonotonicTime)
{
  const auto address = AddressOf(aAction.server_);
  if (!address) {
    return;
  }
  const protocol::HttpRequest request = std::visit(
    [&](const auto& aDialect) { return aDialect.Touch(aAction.term_); },
    dialect_);
  client_.Fetch(
    { "http://" + *address, kListTimeout },
    request,
    kListLimit,
    [this, server = aAction.server_, fencingRequest = aAction.fencingRequest_](
      const core::Result<protocol::HttpResponse>& aAnswer,
      transport::Delivery) {
      if (!aAnswer.Ok()) {
        return;
      }
      const auto reply = std::visit(
        [&](const auto& aDialect) {
          return aDialect.ReadReply(aAnswer.Value());
        },
        dialect_);
      Post(coordination::FencingNumberAnswered{
        server, fencingRequest, reply == protocol::EngineReply::Done });
    });
}

void
CapacityController::On(const coordination::DecisionDropped& aAction,
                       core::MonotonicTime aNow)
{
  const state::ReplicaKey key{ aAction.deployment_, aAction.server_ };
  log_.Add(clock_.WallNow(),
           key.deployment_.Value(),
           "waits: " + key.server_.Value() + " is not reconciled yet");
  const auto planned = planned_.find(key);
  if (planned != planned_.end()) {
    planned_.erase(planned);
    view_.RemoveReplica(key.deployment_, key.server_);
    loading_.erase(key);
    scheduler_->OnFinish(key.deployment_, key.server_, false, aNow);
  }
}

std::optional<std::string>
CapacityController::AddressOf(const core::ServerId& aServer) const
{
  const auto server = tree_.Server(aServer);
  if (!server) {
    return std::nullopt;
  }
  return server->address_;
}

} // namespace crocusslip::control
