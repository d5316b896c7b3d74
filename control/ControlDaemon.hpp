#pragma once

#include "control/AdminApi.hpp"
#include "control/CapacityController.hpp"
#include "control/ControlService.hpp"
#include "control/Group.hpp"
#include "control/MemberService.hpp"
#include "control/Peers.hpp"
#include "state/PosixFileSystem.hpp"
#include "transport/HttpClient.hpp"
#include "transport/HttpServer.hpp"
#include "transport/RpcServer.hpp"

#include <atomic>
#include <memory>

namespace crocusslip::control {

/// All parts of one control process, in the order of their start.
class ControlDaemon
{
public:
  ControlDaemon(state::ProcessSettings aSettings, OperatorRoles aRoles);
  ~ControlDaemon();
  ControlDaemon(const ControlDaemon&) = delete;
  ControlDaemon& operator=(const ControlDaemon&) = delete;

  core::Status Start(bool aBootstrap);
  /// Hands leadership to another voter, then stops all parts.
  void Stop();
  /// Set when the process must end because its disk can't be trusted.
  const std::atomic<bool>& Halted() const { return halted_; }

private:
  core::Result<std::unique_ptr<state::MemberStorage>> OpenStorage(
    bool aBootstrap);
  core::Status Bootstrap(state::MemberStorage& aStorage);
  core::Status StartGroup(bool aBootstrap);
  core::Status StartFaces();
  void GiveUpLeadership();

  const state::ProcessSettings settings_;
  const OperatorRoles roles_;
  const core::SystemClock clock_;
  std::atomic<bool> halted_{ false };
  bool stopped_ = false;
  core::MetricsRegistry metrics_;
  DecisionLog log_;
  state::PosixFileSystem files_;
  core::Random random_;
  transport::HttpClient client_;
  std::unique_ptr<Peers> peers_;
  std::unique_ptr<Group> group_;
  std::unique_ptr<ServerTracker> servers_;
  std::unique_ptr<CapacityController> capacity_;
  std::shared_ptr<ControlService> service_;
  std::shared_ptr<MemberService> memberService_;
  std::unique_ptr<AdminApi> admin_;
  std::unique_ptr<transport::RpcServer> rpc_;
  std::unique_ptr<transport::HttpServer> http_;
};

} // namespace crocusslip::control
