#include "coordination/RaftOutbox.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::coordination {

RaftOutbox::RaftOutbox(bool aSyncBeforeAcknowledge, core::LogIndex aDurable)
  : syncBeforeAcknowledge_(aSyncBeforeAcknowledge)
  , durable_(aDurable)
{
}

void
RaftOutbox::SaveHardState(const state::HardState& aState)
{
  pending_.hardState_ = aState;
}

void
RaftOutbox::SaveEntry(const state::LogEntry& aEntry)
{
  pending_.entries_.push_back(aEntry);
}

void
RaftOutbox::Truncate(core::LogIndex aFrom)
{
  std::erase_if(pending_.entries_, [aFrom](const state::LogEntry& aEntry) {
    return aEntry.index_ >= aFrom;
  });
  pending_.truncateFrom_ =
    std::min(pending_.truncateFrom_.value_or(aFrom), aFrom);
  LimitDurable(core::LogIndex(aFrom.Value() - 1));
}

void
RaftOutbox::ResetLog(core::LogIndex aIndex)
{
  pending_.entries_.clear();
  pending_.truncateFrom_.reset();
  LimitDurable(aIndex);
  durable_ = aIndex;
}

void
RaftOutbox::Send(RaftMessage aMessage, SyncRequirement aNeed)
{
  queued_.push_back({ aNeed, std::move(aMessage) });
}

void
RaftOutbox::Add(RaftAction aAction)
{
  actions_.push_back(std::move(aAction));
}

void
RaftOutbox::OnPersisted(PersistId aThrough)
{
  persisted_ = std::max(persisted_, aThrough);
  while (!unsynced_.empty() && unsynced_.front().id_ <= persisted_) {
    durable_ = std::max(durable_, unsynced_.front().last_);
    unsynced_.pop_front();
  }
}

RaftActions
RaftOutbox::Flush()
{
  RaftActions result;
  FlushPersist(result);
  std::ranges::move(actions_, std::back_inserter(result));
  actions_.clear();
  FlushMessages(result);
  return result;
}

void
RaftOutbox::LimitDurable(core::LogIndex aLast)
{
  durable_ = std::min(durable_, aLast);
  for (Unsynced& item : unsynced_) {
    item.last_ = std::min(item.last_, aLast);
  }
}

void
RaftOutbox::FlushPersist(RaftActions& aActions)
{
  const bool hasHardState = pending_.hardState_.has_value();
  const bool hasEntries =
    !pending_.entries_.empty() || pending_.truncateFrom_.has_value();
  if (!hasHardState && !hasEntries) {
    return;
  }
  lastId_ = lastId_.Next();
  if (hasHardState) {
    lastHardStateId_ = lastId_;
  }
  if (hasEntries) {
    lastEntriesId_ = lastId_;
  }
  pending_.id_ = lastId_;
  if (!pending_.entries_.empty()) {
    unsynced_.push_back({ lastId_, pending_.entries_.back().index_ });
  }
  aActions.emplace_back(std::exchange(pending_, {}));
}

void
RaftOutbox::FlushMessages(RaftActions& aActions)
{
  for (QueuedMessage& item : queued_) {
    const PersistId need = item.need_ == SyncRequirement::HardState
                             ? lastHardStateId_
                             : std::max(lastHardStateId_, lastEntriesId_);
    held_.push_back({ need, std::move(item.message_) });
  }
  queued_.clear();
  const auto ready = [this](const HeldMessage& aMessage) {
    return !syncBeforeAcknowledge_ || aMessage.after_ <= persisted_;
  };
  for (HeldMessage& item : held_) {
    if (ready(item)) {
      aActions.emplace_back(raft::Send{ std::move(item.message_) });
    }
  }
  std::erase_if(held_, ready);
}

} // namespace crocusslip::coordination
