#pragma once

#include "coordination/RaftAction.hpp"

#include <deque>
#include <optional>
#include <vector>

namespace crocusslip::coordination {

/// State that must be synced before a message may be sent.
enum class SyncRequirement : std::uint8_t
{
  /// The latest term and vote.
  HardState,
  /// The latest term and vote and the latest entries.
  Entries,
};

/// Collects the actions of one event. A message is held back until the state
/// that it depends on is synced.
class RaftOutbox
{
public:
  RaftOutbox(bool aSyncBeforeAcknowledge, core::LogIndex aDurable);

  void SaveHardState(const state::HardState& aState);
  void SaveEntry(const state::LogEntry& aEntry);
  void Truncate(core::LogIndex aFrom);
  /// The log now starts after aIndex; a synced snapshot covers it up to there.
  void ResetLog(core::LogIndex aIndex);
  void Send(RaftMessage aMessage, SyncRequirement aNeed);
  void Add(RaftAction aAction);

  void OnPersisted(PersistId aThrough);
  /// Index of the last entry that is known to be synced and has not been
  /// truncated since.
  core::LogIndex DurableIndex() const { return durable_; }
  /// Actions since the last call: Persist first, messages last.
  RaftActions Flush();

private:
  struct Unsynced
  {
    PersistId id_;
    core::LogIndex last_;
  };
  struct HeldMessage
  {
    PersistId after_;
    RaftMessage message_;
  };
  struct QueuedMessage
  {
    SyncRequirement need_;
    RaftMessage message_;
  };

  /// Lowers the index that is or will be durable to aLast, after a truncation.
  void LimitDurable(core::LogIndex aLast);
  void FlushPersist(RaftActions& aActions);
  void FlushMessages(RaftActions& aActions);

  const bool syncBeforeAcknowledge_;
  core::LogIndex durable_;
  PersistId lastId_;
  PersistId lastHardStateId_;
  PersistId lastEntriesId_;
  PersistId persisted_;
  raft::Persist pending_;
  std::deque<Unsynced> unsynced_;
  std::vector<HeldMessage> held_;
  std::vector<QueuedMessage> queued_;
  RaftActions actions_;
};

} // namespace crocusslip::coordination
