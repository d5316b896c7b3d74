#include "tests/support/ExplorerRun.hpp"

#include <algorithm>
#include <iostream>
#include <utility>

namespace crocusslip::tests {

namespace raft = coordination::raft;

namespace {

constexpr core::Duration kTick = std::chrono::milliseconds(20);
constexpr core::Duration kRetryDelay = std::chrono::milliseconds(50);
constexpr int kClients = 3;

} // namespace

ExplorerRun::ExplorerRun(const ExplorerOptions& aOptions)
  : options_(aOptions)
  , random_(aOptions.seed_)
  , network_(random_)
  , model_(aOptions.makeModel_())
{
  config_.cluster_ = "explorer";
  config_.rules_ = aOptions.rules_;
  // Small limits in many runs, so that flow control takes effect.
  config_.limits_.maxAppendEntries_ =
    random_.Chance(0.5) ? 1 : 1 + random_.Below(16);
  config_.limits_.maxInFlight_ = core::Bytes(50 + random_.Below(1000));
  config_.timings_.snapshotRetry_ = std::chrono::seconds(2);
  state::GroupMembers members;
  for (std::uint32_t id = 1; id <= aOptions.members_; ++id) {
    members.members_.push_back({ core::MemberId(id),
                                 {},
                                 {},
                                 state::MemberRole::Voter,
                                 "disk " + std::to_string(id) });
    members.highestId_ = core::MemberId(id);
    firstMembers_.insert(core::MemberId(id));
  }
  bootstrap_ = coordination::RaftBootstrapState(members);
  for (const core::MemberId id : firstMembers_) {
    members_.emplace(id, std::make_unique<ExplorerMember>(id));
    Start(id);
  }
  for (int i = 0; i < kClients; ++i) {
    RunClient();
  }
}

void
ExplorerRun::RunUntil(core::Duration aUntil)
{
  while (!checks_.Violation() && !events_.empty() &&
         events_.top().time_ <= aUntil) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time_;
    ++counts_.steps_;
    event.work_();
    checks_.AfterStep(members_, now_);
  }
  if (!checks_.Violation()) {
    now_ = aUntil;
  }
}

void
ExplorerRun::After(core::Duration aDelay, std::function<void()> aWork)
{
  events_.push({ now_ + aDelay, ++lastSequence_, std::move(aWork) });
}

ExplorerReport
ExplorerRun::Report() const
{
  ExplorerReport report = counts_;
  report.violation_ = checks_.Violation();
  report.time_ = now_;
  report.elections_ = checks_.Elections();
  report.committed_ = checks_.Committed();
  report.answered_ = clients_.Answered();
  return report;
}

std::vector<core::MemberId>
ExplorerRun::MemberIds() const
{
  std::vector<core::MemberId> result;
  for (const auto& [id, member] : members_) {
    result.push_back(id);
  }
  return result;
}

ExplorerMember*
ExplorerRun::Leader()
{
  ExplorerMember* newest = nullptr;
  for (const auto& [id, member] : members_) {
    if (member->Up() &&
        member->Node().Role() == coordination::RaftRole::Leader &&
        (newest == nullptr || member->Node().Term() > newest->Node().Term())) {
      newest = member.get();
    }
  }
  return newest;
}

core::MemberId
ExplorerRun::AddMachine()
{
  const core::MemberId id = members_.rbegin()->first.Next();
  members_.emplace(id, std::make_unique<ExplorerMember>(id));
  Start(id);
  return id;
}

void
ExplorerRun::Start(core::MemberId aId)
{
  ExplorerMember& member = Member(aId);
  if (member.Up() || IsDestroyed(aId)) {
    return;
  }
  const auto first =
    firstMembers_.contains(aId) ? bootstrap_ : coordination::RaftStartState();
  const auto started =
    member.Start(config_, first, model_->MakeMachine(), now_, random_);
  if (!started && (started.Failure().code_ == core::Errc::DiskFull ||
                   started.Failure().code_ == core::Errc::SyncFailed)) {
    member.Crash(random_);
    After(kRetryDelay, [this, aId] { Start(aId); });
    return;
  }
  if (!started) {
    checks_.Fail("member " + std::to_string(aId.Value()) +
                 " failed to start: " + started.Failure().Message());
    return;
  }
  Trace(aId, "starts");
  Tick(member);
}

void
ExplorerRun::Crash(core::MemberId aId)
{
  ExplorerMember& member = Member(aId);
  if (member.Up()) {
    ++counts_.crashes_;
    Trace(aId, "crashes");
    clients_.OnCrash(aId);
    member.Crash(random_);
  }
}

void
ExplorerRun::Destroy(core::MemberId aId)
{
  Crash(aId);
  destroyed_.insert(aId);
}

bool
ExplorerRun::IsDestroyed(core::MemberId aId) const
{
  return destroyed_.contains(aId);
}

void
ExplorerRun::Trace(core::MemberId aMember, const std::string& aText) const
{
  if (options_.trace_) {
    std::cerr << std::chrono::duration<double>(now_).count() << " member "
              << aMember.Value() << " " << aText << "\n";
  }
}

void
ExplorerRun::Handle(ExplorerMember& aMember,
                    const coordination::RaftEvent& aEvent)
{
  const std::uint64_t epoch = aMember.Epoch();
  auto actions = aMember.Node().Handle(aEvent, aMember.LocalTime(now_));
  for (coordination::RaftAction& action : actions) {
    if (aMember.Epoch() != epoch) {
      return;
    }
    std::visit([&](auto& aItem) { Perform(aMember, aItem); }, action);
  }
}

void
ExplorerRun::AfterIfRunning(ExplorerMember& aMember,
                            core::Duration aDelay,
                            std::function<void(ExplorerMember&)> aWork)
{
  After(aDelay, [&aMember, epoch = aMember.Epoch(), work = std::move(aWork)] {
    if (aMember.Epoch() == epoch) {
      work(aMember);
    }
  });
}

void
ExplorerRun::Tick(ExplorerMember& aMember)
{
  Handle(aMember, raft::Tick());
  if (aMember.Up() && aMember.Node().HasLease(aMember.LocalTime(now_))) {
    ActAsLeader(aMember);
  }
  model_->OnTick(now_, random_);
  if (auto violation = model_->Violation()) {
    checks_.Fail(*violation);
  }
  if (aMember.Up()) {
    AfterIfRunning(
      aMember, kTick, [this](ExplorerMember& aItem) { Tick(aItem); });
  }
}

void
ExplorerRun::ActAsLeader(ExplorerMember& aMember)
{
  ExplorerLeader leader{ aMember.Id(),
                         aMember.Node().Term(),
                         aMember.Applied(),
                         now_,
                         aMember.StateMachine(),
                         [this, &aMember](std::string aCommand) {
                           Handle(aMember,
                                  raft::Propose{ coordination::RaftRequestId(),
                                                 { std::move(aCommand) } });
                         } };
  model_->OnLeader(leader, random_);
}

void
ExplorerRun::RunClient()
{
  After(DrawBelow(longestThinkTime_), [this] {
    ExplorerMember* target = Leader();
    if (random_.Chance(0.3)) {
      const auto ids = MemberIds();
      target = &Member(ids[random_.Below(ids.size())]);
    }
    if (clientsRun_ && target != nullptr && target->Up()) {
      Submit(*target);
    }
    RunClient();
  });
}

void
ExplorerRun::Submit(ExplorerMember& aMember)
{
  std::vector<ExplorerRequest> requests{ model_->NextRequest(random_) };
  while (!requests.front().read_ && random_.Chance(0.3)) {
    ExplorerRequest next = model_->NextRequest(random_);
    if (next.read_) {
      break;
    }
    requests.push_back(std::move(next));
  }
  Handle(aMember, clients_.Begin(aMember.Id(), std::move(requests), now_));
}

void
ExplorerRun::Perform(ExplorerMember&, raft::Send& aAction)
{
  const core::MemberId from = aAction.message_.from_;
  const core::MemberId to = aAction.message_.to_;
  if (!members_.contains(to)) {
    return;
  }
  for (const core::Duration delay : network_.Deliveries(from, to)) {
    After(delay, [this, message = aAction.message_] {
      ExplorerMember& receiver = Member(message.to_);
      if (receiver.Up()) {
        Receive(receiver, message);
      }
    });
  }
}

void
ExplorerRun::Perform(ExplorerMember& aMember, raft::Persist& aAction)
{
  aMember.pendingWrites_.push_back(std::move(aAction));
  StartDisk(aMember);
}

void
ExplorerRun::Perform(ExplorerMember& aMember, raft::Apply& aAction)
{
  for (const state::LogEntry& entry : aAction.entries_) {
    checks_.OnApplied(aMember, entry);
    std::string result;
    if (entry.kind_ == state::EntryKind::Membership) {
      Trace(aMember.Id(), "applies the member list " + entry.payload_);
    }
    if (entry.kind_ == state::EntryKind::Command) {
      result =
        aMember.StateMachine().Apply(entry.index_, entry.term_, entry.payload_);
    }
    aMember.SetApplied(entry.index_);
    clients_.OnApplied(aMember, entry, result, now_);
  }
  if (applyHook_) {
    applyHook_(aMember.Id());
  }
}

void
ExplorerRun::Perform(ExplorerMember& aMember, raft::SendSnapshot& aAction)
{
  const core::MemberId from = aMember.Id();
  const core::MemberId to = aAction.to_;
  const core::Term term = aAction.term_;
  const auto delays = network_.Deliveries(from, to);
  if (delays.empty() || !members_.contains(to)) {
    AfterIfRunning(aMember, kRetryDelay, [this, to](ExplorerMember& aItem) {
      Handle(aItem, raft::SnapshotSent{ to, false });
    });
    return;
  }
  const auto pieces = aMember.ReadSnapshot();
  After(delays.front(), [this, from, to, term, pieces] {
    if (Member(to).Up()) {
      ReceiveSnapshot(Member(to), from, term, pieces);
    }
  });
  AfterIfRunning(
    aMember, delays.front() + kRetryDelay, [this, to](ExplorerMember& aItem) {
      Handle(aItem, raft::SnapshotSent{ to, random_.Chance(0.8) });
    });
}

void
ExplorerRun::Perform(ExplorerMember& aMember, raft::RestoreSnapshot& aAction)
{
  ++counts_.snapshotsInstalled_;
  Trace(aMember.Id(),
        "restores the snapshot at index " +
          std::to_string(aAction.meta_.index_.Value()));
  const auto restored = aMember.Restore(aAction.meta_);
  if (!restored && restored.Failure().code_ != core::Errc::DiskFull) {
    checks_.Fail("restoring a snapshot failed: " +
                 restored.Failure().Message());
  }
  if (!restored || !aMember.Storage().Sync()) {
    Crash(aMember.Id());
    return;
  }
  checks_.OnState(aMember.Applied(), aMember.StateMachine().Save());
  AfterIfRunning(aMember,
                 core::Duration::zero(),
                 [this,
                  index = aAction.meta_.index_,
                  written = aMember.written_](ExplorerMember& aItem) {
                   Handle(aItem, raft::Persisted{ written });
                   if (!aItem.Up()) {
                     return;
                   }
                   Handle(aItem, raft::SnapshotRestored{ index });
                 });
}

void
ExplorerRun::Perform(ExplorerMember& aMember, raft::RoleChanged& aAction)
{
  Trace(aMember.Id(),
        "role " + std::to_string(static_cast<int>(aAction.role_)) + " term " +
          std::to_string(aAction.term_.Value()) + " leader " +
          std::to_string(aAction.leader_.Value()));
  if (aAction.role_ == coordination::RaftRole::Leader) {
    checks_.OnLeader(aMember, now_);
    if (leaderHook_) {
      leaderHook_(aMember.Id());
    }
  }
}

void
ExplorerRun::Perform(ExplorerMember& aMember, raft::ProposalAccepted& aAction)
{
  clients_.OnAccepted(aMember.Id(), aAction);
}

void
ExplorerRun::Perform(ExplorerMember&, raft::ProposalRefused& aAction)
{
  clients_.OnRefused(aAction.requestId_);
}

void
ExplorerRun::Perform(ExplorerMember& aMember, raft::ReadReady& aAction)
{
  clients_.OnReadReady(aMember, aAction, now_);
}

void
ExplorerRun::Perform(ExplorerMember&, raft::ReadRefused& aAction)
{
  clients_.OnRefused(aAction.requestId_);
}

void
ExplorerRun::Perform(ExplorerMember& aMember, raft::Halt& aAction)
{
  checks_.OnHalt(aMember, aAction.reason_);
}

void
ExplorerRun::Receive(ExplorerMember& aMember,
                     const coordination::RaftMessage& aMessage)
{
  aMember.lastReceived_[aMessage.from_] = now_;
  Handle(aMember, raft::Receive{ aMessage });
}

void
ExplorerRun::ReceiveSnapshot(ExplorerMember& aMember,
                             core::MemberId aFrom,
                             core::Term aTerm,
                             const std::vector<state::SnapshotPiece>& aPieces)
{
  for (const state::SnapshotPiece& piece : aPieces) {
    const auto added = aMember.Storage().Snapshots().AddPiece(piece);
    if (!added) {
      return;
    }
    if (added.Value()) {
      Handle(aMember, raft::SnapshotReceived{ aFrom, aTerm, *added.Value() });
    }
  }
}

void
ExplorerRun::StartDisk(ExplorerMember& aMember)
{
  if (aMember.diskBusy_) {
    return;
  }
  aMember.diskBusy_ = true;
  AfterIfRunning(aMember,
                 DrawBelow(diskLatency_),
                 [this](ExplorerMember& aItem) { WriteDisk(aItem); });
}

void
ExplorerRun::WriteDisk(ExplorerMember& aMember)
{
  const auto written = aMember.WritePending();
  if (!written && written.Failure().code_ == core::Errc::DiskFull) {
    Handle(aMember, raft::StorageStateChanged{ true });
    AfterIfRunning(aMember, kRetryDelay, [this](ExplorerMember& aItem) {
      WriteDisk(aItem);
    });
    return;
  }
  if (!written) {
    Crash(aMember.Id());
    return;
  }
  Handle(aMember, raft::StorageStateChanged{ false });
  AfterIfRunning(aMember,
                 DrawBelow(diskLatency_),
                 [this](ExplorerMember& aItem) { SyncDisk(aItem); });
}

void
ExplorerRun::SyncDisk(ExplorerMember& aMember)
{
  const coordination::PersistId through = aMember.written_;
  if (!aMember.Storage().Sync()) {
    Crash(aMember.Id());
    return;
  }
  aMember.diskBusy_ = false;
  Handle(aMember, raft::Persisted{ through });
  if (aMember.Up() && !aMember.pendingWrites_.empty()) {
    StartDisk(aMember);
  }
}

core::Duration
ExplorerRun::DrawBelow(core::Duration aBound)
{
  return core::Duration(static_cast<core::Duration::rep>(
    random_.Below(static_cast<std::uint64_t>(aBound.count()))));
}

} // namespace crocusslip::tests
