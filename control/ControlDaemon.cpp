#include "control/ControlDaemon.hpp"

#include "control/WithMemberCalls.hpp"
#include "core/Log.hpp"
#include "core/Random.hpp"
#include "protocol/Problem.hpp"
#include "transport/Daemon.hpp"

#include <thread>
#include <utility>

namespace crocusslip::control {

namespace {

constexpr std::uint32_t kGroup = 1;
constexpr std::chrono::milliseconds kTransferWait{ 1000 };
constexpr std::chrono::milliseconds kTransferStep{ 20 };

using BothServices = WithMemberCalls<wire::ControlProcessor, wire::ControlIf>;

state::GroupMembers
FirstMembers(const state::ProcessSettings& aSettings)
{
  state::GroupMembers members;
  for (const state::MemberSettings& member : aSettings.members_) {
    members.members_.push_back(
      { member.id_,
        member.address_.Text(),
        member.failureDomain_,
        member.voter_ ? state::MemberRole::Voter : state::MemberRole::Learner,
        "" });
    members.highestId_ = std::max(members.highestId_, member.id_);
  }
  return members;
}

} // namespace

ControlDaemon::ControlDaemon(state::ProcessSettings aSettings,
                             OperatorRoles aRoles)
  : settings_(std::move(aSettings))
  , roles_(std::move(aRoles))
  , random_(core::DeviceSeed())
{
}

ControlDaemon::~ControlDaemon()
{
  Stop();
}

core::Status
ControlDaemon::Bootstrap(state::MemberStorage& aStorage)
{
  const coordination::RaftStartState start =
    coordination::RaftBootstrapState(FirstMembers(settings_));
  core::Status written =
    aStorage.Write(start.hardState_, std::nullopt, start.entries_);
  return written.Ok() ? aStorage.Sync() : written;
}

core::Result<std::unique_ptr<state::MemberStorage>>
ControlDaemon::OpenStorage(bool aBootstrap)
{
  const bool isNew = !state::LoadIdentity(files_, settings_.dataFolder_).Ok();
  state::MemberIdentity identity;
  identity.cluster_ = settings_.cluster_;
  identity.group_ = kGroup;
  identity.member_ = settings_.member_;
  const auto open = [&] {
    return state::MemberStorage::Open(
      files_, settings_.dataFolder_, identity, random_);
  };
  auto storage = open();
  if (!storage.Ok() || !isNew || !aBootstrap) {
    return storage;
  }
  const core::Status started = Bootstrap(*storage.Value());
  if (!started.Ok()) {
    return started.Failure();
  }
  storage.Value().reset();
  return open();
}

core::Status
ControlDaemon::StartGroup(bool aBootstrap)
{
  auto storage = OpenStorage(aBootstrap);
  if (!storage.Ok()) {
    return storage.Failure();
  }
  const state::TimerSettings& timers = settings_.timers_;
  GroupSettings group;
  group.raft_.cluster_ = settings_.cluster_;
  group.raft_.group_ = kGroup;
  group.raft_.self_ = settings_.member_;
  group.raft_.timings_.heartbeat_ = timers.heartbeat_;
  group.raft_.timings_.electionMin_ = timers.electionMin_;
  group.raft_.timings_.electionMax_ = timers.electionMax_;
  group.raft_.timings_.lease_ = timers.leaderLease_;
  group.limits_.claims_.tombstones_ = settings_.limits_.claims_;
  group.limits_.claims_.claims_ = settings_.limits_.claims_;
  group.snapshotEvery_ = settings_.limits_.snapshotEvery_;

  peers_ = std::make_unique<Peers>(
    settings_.cluster_,
    kGroup,
    settings_.member_,
    transport::ToTlsFiles(settings_.tls_),
    std::chrono::duration_cast<std::chrono::milliseconds>(timers.rpcTimeout_),
    clock_);
  for (const state::MemberSettings& member : settings_.members_) {
    peers_->SetAddress(member.id_, member.address_.Text());
  }

  GroupHooks hooks;
  hooks.send_ = [this](const coordination::RaftMessage& aMessage) {
    peers_->Send(aMessage);
  };
  hooks.sendSnapshot_ = [this](core::MemberId aTo, core::Term aTerm) {
    peers_->SendSnapshot(*group_, aTo, aTerm);
  };
  hooks.members_ = [this](const state::GroupMembers& aMembers) {
    for (const state::GroupMember& member : aMembers.members_) {
      peers_->SetAddress(member.id_, member.address_);
    }
  };
  hooks.applied_ = [this](core::LogIndex aIndex,
                          core::Term,
                          const state::Command& aCommand,
                          const state::Answer& aAnswer) {
    if (capacity_) {
      capacity_->OnApplied(aIndex, aCommand, aAnswer);
    }
    if (service_) {
      service_->Changed();
    }
  };
  core::Counter& refused =
    metrics_.AddCounter("crocusslip_refusals_total",
                        "reason=\"control_disk_full\"",
                        "Proposals refused because the disk is full.");
  hooks.refusedDiskFull_ = [&refused](std::size_t aCount) {
    refused.Add(aCount);
  };
  metrics_.AddGauge(
    "crocusslip_storage_full",
    "",
    "1 while the disk of this member is full.",
    [this] { return group_ && group_->Status().storageFull_ ? 1.0 : 0.0; });
  hooks.halted_ = [this](const std::string&) { halted_.store(true); };
  group_ = std::make_unique<Group>(
    group, std::move(storage.Value()), clock_, random_.Next(), hooks);
  return core::Success{};
}

core::Status
ControlDaemon::StartFaces()
{
  transport::RpcServerSettings rpc;
  rpc.address_ = settings_.rpc_.host_;
  rpc.port_ = settings_.rpc_.port_;
  rpc.tls_ = transport::ToTlsFiles(settings_.tls_);
  memberService_ =
    std::make_shared<MemberService>(*group_, settings_.cluster_, kGroup);
  rpc_ = std::make_unique<transport::RpcServer>(
    rpc, std::make_shared<BothServices>(service_, memberService_));
  core::Status listening = rpc_->Start();
  if (!listening.Ok()) {
    return listening;
  }
  transport::HttpServerSettings http;
  http.address_ = settings_.admin_.host_;
  http.port_ = settings_.admin_.port_;
  http.tls_ = transport::ToTlsFiles(settings_.tls_);
  http_ = std::make_unique<transport::HttpServer>(
    http,
    [this](const std::shared_ptr<transport::HttpExchange>& aExchange) {
      admin_->Handle(aExchange);
    },
    [](core::RefusalReason aReason, std::string aDetail) {
      return protocol::ToResponse(
        { aReason, core::Ran::NotRun, std::move(aDetail), std::nullopt });
    });
  return http_->Start();
}

core::Status
ControlDaemon::Start(bool aBootstrap)
{
  core::Status started = StartGroup(aBootstrap);
  if (!started.Ok()) {
    return started;
  }
  servers_ = std::make_unique<ServerTracker>(clock_, client_);
  CapacitySettings capacity;
  capacity.scrapeInterval_ = settings_.timers_.metricsScrape_;
  capacity.orders_.leaderLease_ = settings_.timers_.leaderLease_;
  capacity_ = std::make_unique<CapacityController>(
    *group_, *servers_, client_, clock_, log_, metrics_, capacity);
  ControlServiceSettings service;
  service.cluster_ = settings_.cluster_;
  service.settingsLease_ = settings_.timers_.settingsLease_;
  service_ = std::make_shared<ControlService>(
    *group_, *capacity_, *servers_, clock_, metrics_, service);
  admin_ = std::make_unique<AdminApi>(
    *group_, *service_, *servers_, log_, metrics_, settings_, roles_);
  started = group_->Start();
  if (!started.Ok()) {
    return started;
  }
  capacity_->Start();
  started = StartFaces();
  if (started.Ok()) {
    core::Log(core::LogLevel::Info,
              "control process started",
              { { "member", std::to_string(settings_.member_.Value()) },
                { "rpc", settings_.rpc_.Text() },
                { "admin", settings_.admin_.Text() } });
  }
  return started;
}

void
ControlDaemon::GiveUpLeadership()
{
  const GroupStatus status = group_->Status();
  if (status.role_ != coordination::RaftRole::Leader || halted_.load()) {
    return;
  }
  for (const state::GroupMember& member : status.members_.members_) {
    if (member.role_ == state::MemberRole::Voter &&
        member.id_ != settings_.member_) {
      group_->TransferLeadership(member.id_);
      for (auto waited = kTransferStep; waited < kTransferWait;
           waited += kTransferStep) {
        std::this_thread::sleep_for(kTransferStep);
        if (group_->Status().role_ != coordination::RaftRole::Leader) {
          return;
        }
      }
    }
  }
}

void
ControlDaemon::Stop()
{
  if (!group_ || std::exchange(stopped_, true)) {
    return;
  }
  GiveUpLeadership();
  if (http_) {
    http_->Stop();
  }
  if (rpc_) {
    rpc_->Stop();
  }
  if (capacity_) {
    capacity_->Stop();
  }
  group_->Stop();
  peers_->Stop();
  core::Log(core::LogLevel::Info, "control process stopped");
}

} // namespace crocusslip::control
