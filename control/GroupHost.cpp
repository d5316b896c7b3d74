#include "control/GroupHost.hpp"

#include "Fleet.h"
#include "core/Log.hpp"
#include "core/Random.hpp"
#include "state/ListenAddress.hpp"
#include "transport/RpcClient.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::control {

namespace {

constexpr std::uint32_t kGroup = 1;
/// Interval at which a leader looks for repairs, and others for a leader.
constexpr std::chrono::milliseconds kLook{ 100 };
constexpr std::chrono::milliseconds kJoinPause{ 150 };
constexpr std::chrono::milliseconds kChangeWait{ 1500 };
constexpr std::chrono::milliseconds kCallTimeout{ 1000 };
constexpr std::chrono::milliseconds kConnectTimeout{ 300 };
constexpr std::chrono::milliseconds kTransferWait{ 500 };
constexpr std::chrono::milliseconds kTransferStep{ 20 };
/// Without a leader for this long, a member asks whether it still is one.
constexpr std::chrono::milliseconds kAskAfter{ 1500 };

state::GroupMembers
FirstMembers(std::vector<std::string> aSeeds)
{
  std::ranges::sort(aSeeds);
  aSeeds.erase(std::unique(aSeeds.begin(), aSeeds.end()), aSeeds.end());
  state::GroupMembers members;
  for (const std::string& seed : aSeeds) {
    const core::MemberId id = members.highestId_.Next();
    members.members_.push_back(
      { id, seed, core::FailureDomainId(), state::MemberRole::Voter, "" });
    members.highestId_ = id;
  }
  return members;
}

} // namespace

GroupHost::GroupHost(GroupHostSettings aSettings,
                     const core::Clock& aClock,
                     GroupHooks aHooks)
  : settings_(std::move(aSettings))
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , random_(core::DeviceSeed())
  , disk_(std::to_string(random_.Next()))
{
}

GroupHost::~GroupHost()
{
  Stop();
}

core::Status
GroupHost::Start()
{
  leaderSeen_ = clock_.Now();
  core::Status folder = files_.MakeFolder(settings_.dataFolder_);
  if (!folder.Ok()) {
    return folder;
  }
  const auto identity = state::LoadIdentity(files_, settings_.dataFolder_);
  core::Status opened = core::Success{};
  if (identity.Ok()) {
    opened = Open(identity.Value().member_, nullptr);
  } else if (identity.Failure().code_ != core::Errc::NotFound) {
    return identity.Failure();
  } else if (settings_.bootstrap_) {
    const state::GroupMembers first = FirstMembers(settings_.seeds_);
    const auto own = std::ranges::find(
      first.members_, settings_.address_, &state::GroupMember::address_);
    if (own != first.members_.end()) {
      opened = Open(own->id_, &first);
    }
  }
  if (opened.Ok()) {
    thread_ = std::thread([this] { Run(); });
  }
  return opened;
}

void
GroupHost::Stop()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
  Close();
}

void
GroupHost::GiveUpLeadership()
{
  const auto group = Current();
  if (!group || group->Status().role_ != coordination::RaftRole::Leader) {
    return;
  }
  const GroupStatus status = group->Status();
  for (const FollowerContact& follower : status.followers_) {
    const core::MonotonicTime now = clock_.Now();
    const bool heard =
      follower.answered_ && now - *follower.answered_ < kConnectTimeout;
    if (!heard || !status.members_.IsVoter(follower.member_)) {
      continue;
    }
    group->TransferLeadership(follower.member_);
    for (auto waited = kTransferStep; waited < kTransferWait;
         waited += kTransferStep) {
      std::this_thread::sleep_for(kTransferStep);
      if (group->Status().role_ != coordination::RaftRole::Leader) {
        return;
      }
    }
  }
}

void
GroupHost::SetSeeds(std::vector<std::string> aSeeds)
{
  const std::lock_guard lock(mutex_);
  settings_.seeds_ = std::move(aSeeds);
}

std::shared_ptr<Group>
GroupHost::Current() const
{
  const std::lock_guard lock(mutex_);
  return group_;
}

bool
GroupHost::MayDecide() const
{
  const auto group = Current();
  return group && group->MayDecide();
}

std::optional<core::Term>
GroupHost::DecidingTerm() const
{
  const auto group = Current();
  return group ? group->DecidingTerm() : std::nullopt;
}

core::Term
GroupHost::Term() const
{
  const auto group = Current();
  return group ? group->Status().term_ : core::Term();
}

std::string
GroupHost::LeaderAddress() const
{
  const auto group = Current();
  if (!group) {
    return "";
  }
  const GroupStatus status = group->Status();
  const state::GroupMember* leader = status.members_.Find(status.leader_);
  const bool other =
    leader != nullptr && status.role_ != coordination::RaftRole::Leader;
  return other ? leader->address_ : "";
}

std::vector<std::string>
GroupHost::MemberAddresses() const
{
  std::vector<std::string> addresses;
  if (const auto group = Current()) {
    for (const auto& member : group->Status().members_.members_) {
      addresses.push_back(member.address_);
    }
  }
  return addresses;
}

core::Status
GroupHost::Open(core::MemberId aMember,
                const state::GroupMembers* aFirstMembers)
{
  state::MemberIdentity identity;
  identity.cluster_ = settings_.cluster_;
  identity.group_ = kGroup;
  identity.member_ = aMember;
  const auto open = [&] {
    return state::MemberStorage::Open(
      files_, settings_.dataFolder_, identity, random_);
  };
  auto storage = open();
  if (storage.Ok() && aFirstMembers != nullptr) {
    const coordination::RaftStartState start =
      coordination::RaftBootstrapState(*aFirstMembers);
    core::Status written =
      storage.Value()->Write(start.hardState_, std::nullopt, start.entries_);
    if (written.Ok()) {
      written = storage.Value()->Sync();
    }
    if (!written.Ok()) {
      return written;
    }
    storage.Value().reset();
    storage = open();
  }
  if (!storage.Ok()) {
    return storage.Failure();
  }
  GroupSettings settings = settings_.group_;
  settings.raft_.cluster_ = settings_.cluster_;
  settings.raft_.group_ = kGroup;
  settings.raft_.self_ = aMember;
  auto peers = std::make_shared<Peers>(settings_.cluster_,
                                       kGroup,
                                       aMember,
                                       transport::TlsFiles{},
                                       kCallTimeout,
                                       clock_);
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, address] : addresses_) {
      peers->SetAddress(id, address);
    }
  }
  GroupHooks hooks = hooks_;
  auto slot = std::make_shared<std::weak_ptr<Group>>();
  hooks.send_ = [peers](const coordination::RaftMessage& aMessage) {
    peers->Send(aMessage);
  };
  hooks.sendSnapshot_ = [peers, slot](core::MemberId aTo, core::Term aTerm) {
    if (const auto group = slot->lock()) {
      peers->SendSnapshot(*group, aTo, aTerm);
    }
  };
  hooks.members_ = [peers](const state::GroupMembers& aMembers) {
    for (const state::GroupMember& member : aMembers.members_) {
      peers->SetAddress(member.id_, member.address_);
    }
  };
  auto group = std::make_shared<Group>(
    settings, std::move(storage.Value()), clock_, random_.Next(), hooks);
  *slot = group;
  core::Status started = group->Start();
  if (!started.Ok()) {
    return started;
  }
  core::Log(core::LogLevel::Info,
            "member started",
            { { "member", std::to_string(aMember.Value()) },
              { "bootstrap", aFirstMembers != nullptr ? "yes" : "no" } });
  const std::lock_guard lock(mutex_);
  group_ = group;
  peers_ = peers;
  self_ = aMember;
  return core::Success{};
}

void
GroupHost::Close()
{
  std::shared_ptr<Group> group;
  std::shared_ptr<Peers> peers;
  {
    const std::lock_guard lock(mutex_);
    group = std::exchange(group_, nullptr);
    peers = std::exchange(peers_, nullptr);
  }
  if (group) {
    group->Stop();
    peers->Stop();
  }
}

bool
GroupHost::Pause(std::chrono::milliseconds aTime)
{
  std::unique_lock lock(mutex_);
  return !wake_.wait_for(lock, aTime, [this] { return stopping_; });
}

void
GroupHost::Run()
{
  while (Pause(kLook)) {
    if (Current()) {
      LookAfter();
    } else {
      JoinGroup();
    }
  }
}

std::vector<std::string>
GroupHost::Addresses() const
{
  std::vector<std::string> all = MemberAddresses();
  const std::lock_guard lock(mutex_);
  for (const auto* list : { &known_, &settings_.seeds_ }) {
    for (const std::string& address : *list) {
      if (std::ranges::find(all, address) == all.end()) {
        all.push_back(address);
      }
    }
  }
  std::erase(all, settings_.address_);
  return all;
}

// A new member has no list of members yet, and must answer the leader.
void
GroupHost::LearnAddresses(const wire::JoinAnswer& aAnswer)
{
  const std::size_t count =
    std::min(aAnswer.members.size(), aAnswer.memberIds.size());
  for (std::size_t i = 0; i < count; ++i) {
    const core::MemberId id(static_cast<std::uint32_t>(aAnswer.memberIds[i]));
    addresses_[id] = aAnswer.members[i];
    if (peers_) {
      peers_->SetAddress(id, aAnswer.members[i]);
    }
  }
}

wire::JoinAnswer
GroupHost::Ask(std::int32_t aMember)
{
  wire::JoinRequest request;
  request.address = settings_.address_;
  request.failureDomain = settings_.failureDomain_.Value();
  request.disk = disk_;
  request.member = aMember;
  std::vector<std::string> addresses = Addresses();
  std::vector<std::string> asked;
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const std::string address = addresses[i];
    const auto parsed = state::ParseAddress(address);
    if (!parsed || std::ranges::find(asked, address) != asked.end()) {
      continue;
    }
    asked.push_back(address);
    transport::RpcTarget target;
    target.host_ = parsed->host_;
    target.port_ = parsed->port_;
    target.connectTimeout_ = kConnectTimeout;
    target.callTimeout_ = kCallTimeout * 3;
    transport::FleetRpc rpc(target);
    wire::JoinAnswer answer;
    const core::Status called = rpc.Call(
      [&](wire::FleetClient& aClient) { aClient.join(answer, request); });
    if (!called.Ok()) {
      continue;
    }
    if (answer.leader) {
      const std::lock_guard lock(mutex_);
      known_ = answer.members;
      LearnAddresses(answer);
      return answer;
    }
    if (!answer.leaderAddress.empty()) {
      addresses.push_back(answer.leaderAddress);
    }
  }
  return {};
}

void
GroupHost::JoinGroup()
{
  const wire::JoinAnswer answer = Ask(0);
  if (answer.member <= 0) {
    Pause(kJoinPause);
    return;
  }
  const core::MemberId member(static_cast<std::uint32_t>(answer.member));
  const core::Status opened = Open(member, nullptr);
  core::Log(opened.Ok() ? core::LogLevel::Info : core::LogLevel::Error,
            "joined the group",
            { { "member", std::to_string(answer.member) },
              { "error", opened.Ok() ? "" : opened.Failure().Message() } });
  leaderSeen_ = clock_.Now();
}

core::Status
GroupHost::EmptyFolder()
{
  // Folders below the data folder hold only files.
  for (const char* part : { "/log", "/snapshot", "" }) {
    const std::string folder = settings_.dataFolder_ + part;
    const auto names = files_.List(folder);
    if (!names.Ok()) {
      continue;
    }
    for (const std::string& name : names.Value()) {
      if (name == "log" || name == "snapshot") {
        continue;
      }
      std::string path = folder;
      path.append("/").append(name);
      core::Status removed = files_.Remove(path);
      if (!removed.Ok()) {
        return removed;
      }
    }
    core::Status synced = files_.SyncFolder(folder);
    if (!synced.Ok()) {
      return synced;
    }
  }
  return core::Success{};
}

void
GroupHost::AskWhetherMember(const GroupStatus& aStatus)
{
  const core::MonotonicTime now = clock_.Now();
  const bool led = aStatus.role_ == coordination::RaftRole::Leader ||
                   aStatus.leader_ != core::MemberId();
  if (led) {
    leaderSeen_ = now;
    return;
  }
  if (now - leaderSeen_ < kAskAfter) {
    return;
  }
  leaderSeen_ = now;
  const wire::JoinAnswer answer = Ask(static_cast<std::int32_t>(self_.Value()));
  if (!answer.leader || answer.member != 0) {
    return;
  }
  core::Log(core::LogLevel::Warning,
            "the group went on without this member; joining anew",
            { { "member", std::to_string(self_.Value()) } });
  Close();
  const core::Status emptied = EmptyFolder();
  if (!emptied.Ok()) {
    core::Log(core::LogLevel::Error,
              "data folder not emptied",
              { { "error", emptied.Failure().Message() } });
  }
}

void
GroupHost::LookAfter()
{
  const auto group = Current();
  const GroupStatus status = group->Status();
  if (group->MayDecide()) {
    leaderSeen_ = clock_.Now();
    Repair(group, status);
  } else {
    AskWhetherMember(status);
  }
}

void
GroupHost::Repair(const std::shared_ptr<Group>& aGroup,
                  const GroupStatus& aStatus)
{
  const core::MonotonicTime now = clock_.Now();
  if (aStatus.term_ != contactsTerm_) {
    contactsTerm_ = aStatus.term_;
    contacts_.clear();
  }
  for (const FollowerContact& follower : aStatus.followers_) {
    const auto [entry, isNew] = contacts_.try_emplace(
      follower.member_, coordination::MemberContact{ now, {} });
    if (follower.answered_) {
      entry->second.lastContact_ =
        std::max(entry->second.lastContact_, *follower.answered_);
    }
    entry->second.match_ = follower.match_;
  }
  if (!aStatus.membersCommitted_) {
    return;
  }
  const std::lock_guard join(joinMutex_);
  const auto change = coordination::NextMemberChange(aStatus.members_,
                                                     self_,
                                                     aStatus.commit_,
                                                     contacts_,
                                                     settings_.repair_,
                                                     now);
  if (!change) {
    return;
  }
  const core::Status done = aGroup->ProposeMembership(*change, kChangeWait);
  core::Log(core::LogLevel::Info,
            "list of members changed",
            { { "kind",
                change->kind_ == state::MemberChangeKind::Promote ? "promote"
                                                                  : "remove" },
              { "member", std::to_string(change->member_.id_.Value()) },
              { "error", done.Ok() ? "" : done.Failure().Message() } });
}

wire::JoinAnswer
GroupHost::Join(const wire::JoinRequest& aRequest)
{
  wire::JoinAnswer answer;
  const auto group = Current();
  if (!group || !group->MayDecide()) {
    answer.leaderAddress = LeaderAddress();
    return answer;
  }
  const std::lock_guard join(joinMutex_);
  const GroupStatus status = group->Status();
  if (!status.membersCommitted_) {
    return answer;
  }
  answer.leader = true;
  for (const state::GroupMember& member : status.members_.members_) {
    answer.members.push_back(member.address_);
    answer.memberIds.push_back(static_cast<std::int32_t>(member.id_.Value()));
  }
  if (aRequest.member > 0) {
    const core::MemberId id(static_cast<std::uint32_t>(aRequest.member));
    answer.member = status.members_.Find(id) != nullptr ? aRequest.member : 0;
    return answer;
  }
  for (const state::GroupMember& member : status.members_.members_) {
    if (member.address_ != aRequest.address) {
      continue;
    }
    if (member.diskIdentity_ == aRequest.disk) {
      answer.member = static_cast<std::int32_t>(member.id_.Value());
      return answer;
    }
    // The process at this address has lost its disk, and with it the member.
    state::MemberChange remove;
    remove.kind_ = state::MemberChangeKind::Remove;
    remove.member_.id_ = member.id_;
    const core::Status removed = group->ProposeMembership(remove, kChangeWait);
    core::Log(core::LogLevel::Warning,
              "member lost its disk",
              { { "member", std::to_string(member.id_.Value()) },
                { "address", member.address_ },
                { "error", removed.Ok() ? "" : removed.Failure().Message() } });
    return answer;
  }
  state::MemberChange add;
  add.kind_ = state::MemberChangeKind::AddLearner;
  add.member_.id_ = status.members_.highestId_.Next();
  add.member_.address_ = aRequest.address;
  add.member_.failureDomain_ = core::FailureDomainId(aRequest.failureDomain);
  add.member_.diskIdentity_ = aRequest.disk;
  const core::Status added = group->ProposeMembership(add, kChangeWait);
  if (added.Ok()) {
    answer.member = static_cast<std::int32_t>(add.member_.id_.Value());
  }
  core::Log(core::LogLevel::Info,
            "member joins",
            { { "member", std::to_string(add.member_.id_.Value()) },
              { "address", aRequest.address },
              { "error", added.Ok() ? "" : added.Failure().Message() } });
  return answer;
}

} // namespace crocusslip::control
