#include "control/Group.hpp"

#include "core/Log.hpp"
#include "state/CommandCodec.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::control {

namespace raft = coordination::raft;

namespace {

/// Upper bound between two ticks of the RaftNode.
constexpr std::chrono::milliseconds kTick{ 10 };
constexpr std::size_t kBatchEntries = 1024;

core::Error
MakeError(core::Errc aCode, std::string aDetail = {})
{
  return { make_error_code(aCode), std::move(aDetail) };
}

} // namespace

Group::Group(GroupSettings aSettings,
             std::unique_ptr<state::MemberStorage> aStorage,
             const core::Clock& aClock,
             std::uint64_t aSeed,
             GroupHooks aHooks)
  : settings_(std::move(aSettings))
  , clock_(aClock)
  , hooks_(std::move(aHooks))
  , random_(aSeed)
  , storage_(std::move(aStorage))
  , machine_(settings_.limits_)
{
}

Group::~Group()
{
  Stop();
}

core::Status
Group::Start()
{
  state::StoredState stored = storage_->TakeStored();
  coordination::RaftStartState start;
  start.hardState_ = stored.hardState_;
  start.entries_ = std::move(stored.entries_);
  if (stored.snapshot_) {
    start.snapshot_ = stored.snapshot_->meta_;
    snapshotIndex_ = stored.snapshot_->meta_.index_;
    core::Status restored = machine_.Restore(stored.snapshot_->content_);
    if (!restored.Ok()) {
      return restored;
    }
  }
  node_ = std::make_unique<coordination::RaftNode>(
    settings_.raft_, std::move(start), clock_.Now(), random_);
  UpdateStatus();
  thread_ = std::thread([this] { Run(); });
  return core::Success{};
}

void
Group::Stop()
{
  {
    const std::lock_guard lock(inboxMutex_);
    stopping_ = true;
  }
  inboxReady_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
  snapshotWorker_.Stop();
}

void
Group::Run()
{
  while (true) {
    Inbox inbox;
    bool stopping = false;
    {
      std::unique_lock lock(inboxMutex_);
      inboxReady_.wait_for(lock, kTick, [this] {
        return stopping_ || !inbox_.proposals_.empty() ||
               !inbox_.tasks_.empty();
      });
      std::swap(inbox, inbox_);
      stopping = stopping_;
    }
    RunInbox(std::move(inbox));
    if (stopping) {
      FailPending(core::Errc::Stopped);
      return;
    }
  }
}

void
Group::RunInbox(Inbox aInbox)
{
  for (const auto& task : aInbox.tasks_) {
    task();
  }
  ProposeBatch(std::move(aInbox.proposals_));
  Feed(raft::Tick{});
  CheckStorage();
  SyncPending();
  UpdateStatus();
  MaybeSnapshot();
}

void
Group::Post(std::function<void()> aTask)
{
  {
    const std::lock_guard lock(inboxMutex_);
    if (stopping_) {
      return;
    }
    inbox_.tasks_.push_back(std::move(aTask));
  }
  inboxReady_.notify_one();
}

template<typename Result>
Result
Group::PostAndWait(std::function<Result()> aTask, Result aStopped)
{
  auto promise = std::make_shared<std::promise<Result>>();
  auto future = promise->get_future();
  Post([promise, task = std::move(aTask)] { promise->set_value(task()); });
  // The group's thread runs tasks at once, or drops them when it stops.
  constexpr std::chrono::seconds kLimit{ 30 };
  if (future.wait_for(kLimit) != std::future_status::ready) {
    return aStopped;
  }
  return future.get();
}

void
Group::Feed(const coordination::RaftEvent& aEvent)
{
  if (halted_) {
    return;
  }
  const coordination::RaftActions actions = node_->Handle(aEvent, clock_.Now());
  // Before a message may let another member lead.
  if (node_->Role() != coordination::RaftRole::Leader) {
    EndLease();
  }
  for (const coordination::RaftAction& action : actions) {
    std::visit([this](const auto& aAction) { On(aAction); }, action);
  }
}

void
Group::Propose(const state::Command& aCommand, const ProposalCallback& aDone)
{
  std::string payload = state::Encode(aCommand);
  // A member halts at a committed entry that it can't read, and again at each
  // restart, so that nothing may be proposed that the decoder refuses.
  if (const auto readable = state::DecodeCommand(payload); !readable.Ok()) {
    aDone(readable.Failure());
    return;
  }
  bool stopping = false;
  {
    const std::lock_guard lock(inboxMutex_);
    stopping = stopping_;
    if (!stopping) {
      inbox_.proposals_.push_back({ std::move(payload), aDone });
    }
  }
  if (stopping) {
    aDone(MakeError(core::Errc::NotLeader, "stopping"));
    return;
  }
  inboxReady_.notify_one();
}

core::Result<state::Answer>
Group::ProposeAndWait(const state::Command& aCommand,
                      std::chrono::milliseconds aWait)
{
  auto promise = std::make_shared<std::promise<ProposalResult>>();
  auto future = promise->get_future();
  Propose(aCommand, [promise](ProposalResult aResult) {
    promise->set_value(std::move(aResult));
  });
  if (future.wait_for(aWait) != std::future_status::ready) {
    return MakeError(core::Errc::Timeout, "the command was not committed yet");
  }
  return future.get();
}

core::Status
Group::ProposeMembership(const state::MemberChange& aChange,
                         std::chrono::milliseconds aWait)
{
  auto promise = std::make_shared<std::promise<core::Status>>();
  auto future = promise->get_future();
  Post([this, aChange, promise] {
    const coordination::RaftRequestId tag(nextTag_++);
    memberChanges_[tag.Value()] = [promise](core::Status aStatus) {
      promise->set_value(std::move(aStatus));
    };
    CheckRoomFor(core::Bytes());
    Feed(raft::ProposeMembership{ tag, aChange });
  });
  if (future.wait_for(aWait) != std::future_status::ready) {
    return MakeError(core::Errc::Timeout, "the change was not accepted yet");
  }
  return future.get();
}

void
Group::TransferLeadership(core::MemberId aTo)
{
  Post([this, aTo] { Feed(raft::TransferLeadership{ aTo }); });
}

void
Group::Receive(coordination::RaftMessage aMessage)
{
  Post([this, message = std::move(aMessage)]() mutable {
    Feed(raft::Receive{ std::move(message) });
  });
}

bool
Group::ReceiveSnapshot(core::MemberId aFrom,
                       core::Term aTerm,
                       state::SnapshotPiece aPiece)
{
  return PostAndWait<bool>(
    [this, aFrom, aTerm, piece = std::move(aPiece)] {
      auto added = storage_->Snapshots().AddPiece(piece);
      if (!added.Ok()) {
        return false;
      }
      if (added.Value()) {
        Feed(raft::SnapshotReceived{ aFrom, aTerm, *added.Value() });
      }
      return true;
    },
    false);
}

void
Group::SnapshotSent(core::MemberId aTo, bool aDelivered)
{
  Post([this, aTo, aDelivered] {
    Feed(raft::SnapshotSent{ aTo, aDelivered });
  });
}

core::Result<state::SnapshotPiece>
Group::ReadSnapshot(core::LogIndex aIndex,
                    std::uint64_t aOffset,
                    std::uint64_t aLength)
{
  using Piece = core::Result<state::SnapshotPiece>;
  return PostAndWait<Piece>(
    [=, this] {
      return storage_->Snapshots().ReadPiece(aIndex, aOffset, aLength);
    },
    MakeError(core::Errc::Stopped));
}

core::Result<std::optional<core::LogIndex>>
Group::NewestSnapshot()
{
  using Index = core::Result<std::optional<core::LogIndex>>;
  return PostAndWait<Index>(
    [this] { return storage_->Snapshots().NewestIndex(); },
    MakeError(core::Errc::Stopped));
}

GroupStatus
Group::Status() const
{
  const std::lock_guard lock(statusMutex_);
  return status_;
}

bool
Group::MayDecide() const
{
  const std::lock_guard lock(statusMutex_);
  return leaseEnd_ && clock_.Now() < *leaseEnd_;
}

std::optional<core::Term>
Group::DecidingTerm() const
{
  const std::lock_guard lock(statusMutex_);
  return leaseEnd_ && clock_.Now() < *leaseEnd_
           ? std::optional<core::Term>(status_.term_)
           : std::nullopt;
}

void
Group::ProposeBatch(std::vector<Proposal> aProposals)
{
  for (std::size_t begin = 0; begin < aProposals.size();
       begin += kBatchEntries) {
    const std::size_t end = std::min(begin + kBatchEntries, aProposals.size());
    raft::Propose event;
    event.requestId_ = coordination::RaftRequestId(nextTag_++);
    std::vector<ProposalCallback>& callbacks =
      offered_[event.requestId_.Value()];
    core::Bytes size;
    for (std::size_t i = begin; i < end; ++i) {
      size += core::Bytes(aProposals[i].payload_.size());
      event.payloads_.push_back(std::move(aProposals[i].payload_));
      callbacks.push_back(std::move(aProposals[i].done_));
    }
    CheckRoomFor(size);
    Feed(event);
  }
}

void
Group::FailPending(core::Errc aCode)
{
  auto pending = std::exchange(pending_, {});
  for (auto& [index, proposal] : pending) {
    proposal.done_(MakeError(aCode, "the outcome is not known"));
  }
  auto offered = std::exchange(offered_, {});
  for (auto& [tag, callbacks] : offered) {
    for (const ProposalCallback& done : callbacks) {
      done(MakeError(core::Errc::NotLeader));
    }
  }
}

// All Persist actions since the last call share one sync.
void
Group::SyncPending()
{
  while (unsynced_ && !halted_) {
    const coordination::PersistId through = *unsynced_;
    unsynced_.reset();
    const core::Status synced = storage_->Sync();
    if (!synced.Ok()) {
      Halt(synced.Failure().Message());
      return;
    }
    Feed(raft::Persisted{ through });
  }
}

void
Group::UpdateStatus()
{
  const core::MonotonicTime now = clock_.Now();
  GroupStatus status;
  status.role_ = node_->Role();
  status.term_ = node_->Term();
  status.leader_ = node_->Leader();
  status.commit_ = node_->CommitIndex();
  status.applied_ = machine_.LastApplied();
  status.first_ = node_->FirstIndex();
  status.last_ = node_->LastIndex();
  status.members_ = node_->Members();
  status.membersCommitted_ = node_->MembersCommitted();
  for (const state::GroupMember& member : status.members_.members_) {
    if (const auto* progress = node_->FollowerProgress(member.id_)) {
      status.followers_.push_back(
        { member.id_, progress->AckedAt(), progress->Match() });
    }
  }
  status.counters_ = node_->Counters();
  status.halted_ = halted_;
  status.storageFull_ = storageFull_;
  const auto leaseEnd = halted_ ? std::nullopt : node_->LeaseEnd(now);
  if (status.members_ != announced_) {
    announced_ = status.members_;
    hooks_.members_(announced_);
  }
  const std::lock_guard lock(statusMutex_);
  status_ = std::move(status);
  leaseEnd_ = leaseEnd;
}

void
Group::EndLease()
{
  const std::lock_guard lock(statusMutex_);
  leaseEnd_.reset();
}

void
Group::Halt(const std::string& aReason)
{
  if (halted_) {
    return;
  }
  halted_ = true;
  EndLease();
  core::Log(core::LogLevel::Error, "member halted", { { "reason", aReason } });
  FailPending(core::Errc::Unavailable);
  hooks_.halted_(aReason);
}

} // namespace crocusslip::control
