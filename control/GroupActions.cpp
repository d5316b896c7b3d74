#include "control/Group.hpp"

#include "core/Log.hpp"
#include "state/CommandCodec.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::control {

namespace raft = coordination::raft;

namespace {

/// Bytes of an entry and of its sync in the log besides the command.
constexpr core::Bytes kEntryOverhead{ 64 };

core::Error
TakenOver()
{
  return { make_error_code(core::Errc::NotLeader), "another leader took over" };
}

} // namespace

void
Group::On(const raft::Send& aAction)
{
  hooks_.send_(aAction.message_);
}

// Entries after a snapshot that waits for room must wait for it.
void
Group::On(const raft::Apply& aAction)
{
  const bool restoreWaits =
    std::ranges::any_of(waiting_, [](const Write& aItem) {
      return std::holds_alternative<raft::RestoreSnapshot>(aItem);
    });
  if (restoreWaits) {
    waiting_.emplace_back(aAction);
  } else {
    ApplyEntries(aAction);
  }
}

void
Group::ApplyEntries(const raft::Apply& aAction)
{
  for (const state::LogEntry& entry : aAction.entries_) {
    appliedBytes_ += core::Bytes(entry.payload_.size()) + kEntryOverhead;
    const auto found = pending_.find(entry.index_);
    ProposalCallback done;
    bool same = false;
    if (found != pending_.end()) {
      done = std::move(found->second.done_);
      same = found->second.term_ == entry.term_;
      pending_.erase(found);
    }
    if (entry.kind_ != state::EntryKind::Command) {
      if (done) {
        done(TakenOver());
      }
      continue;
    }
    core::Result<state::Command> command = state::DecodeCommand(entry.payload_);
    if (!command.Ok()) {
      Halt("log entry " + std::to_string(entry.index_.Value()) + ": " +
           command.Failure().Message());
      return;
    }
    state::Answer answer;
    {
      const std::unique_lock lock(stateMutex_);
      answer = machine_.Apply(entry.index_, entry.term_, command.Value());
    }
    hooks_.applied_(entry.index_, entry.term_, command.Value(), answer);
    if (done) {
      done(same ? ProposalResult(std::move(answer))
                : ProposalResult(TakenOver()));
    }
  }
}

void
Group::On(const raft::SendSnapshot& aAction)
{
  hooks_.sendSnapshot_(aAction.to_, aAction.term_);
}

void
Group::On(const raft::RoleChanged& aAction)
{
  core::Log(core::LogLevel::Info,
            "role changed",
            { { "role",
                aAction.role_ == coordination::RaftRole::Leader ? "leader"
                                                                : "follower" },
              { "term", std::to_string(aAction.term_.Value()) },
              { "leader", std::to_string(aAction.leader_.Value()) } });
}

void
Group::On(const raft::ProposalAccepted& aAction)
{
  const auto change = memberChanges_.find(aAction.requestId_.Value());
  if (change != memberChanges_.end()) {
    change->second(core::Success{});
    memberChanges_.erase(change);
    return;
  }
  const auto offered = offered_.find(aAction.requestId_.Value());
  if (offered == offered_.end()) {
    return;
  }
  core::LogIndex index = aAction.first_;
  for (ProposalCallback& done : offered->second) {
    pending_[index] = { aAction.term_, std::move(done) };
    index = index.Next();
  }
  offered_.erase(offered);
}

void
Group::On(const raft::ProposalRefused& aAction)
{
  const auto change = memberChanges_.find(aAction.requestId_.Value());
  if (change != memberChanges_.end()) {
    change->second(aAction.error_);
    memberChanges_.erase(change);
    return;
  }
  const auto offered = offered_.find(aAction.requestId_.Value());
  if (offered == offered_.end()) {
    return;
  }
  const auto callbacks = std::move(offered->second);
  offered_.erase(offered);
  if (aAction.error_.code_ == core::Errc::DiskFull) {
    hooks_.refusedDiskFull_(callbacks.size());
  }
  for (const ProposalCallback& done : callbacks) {
    done(aAction.error_);
  }
}

void
Group::On(const raft::ReadReady&)
{
}

void
Group::On(const raft::ReadRefused&)
{
}

void
Group::On(const raft::Halt& aAction)
{
  Halt(aAction.reason_);
}

} // namespace crocusslip::control
