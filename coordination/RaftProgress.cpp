#include "coordination/RaftProgress.hpp"

#include <algorithm>

namespace crocusslip::coordination {

bool
RaftProgress::MaySend(core::Bytes aMaxInFlight) const
{
  switch (state_) {
    case ProgressState::Probe:
      return !probeSent_;
    case ProgressState::Replicate:
      return inFlightSize_ < aMaxInFlight;
    case ProgressState::Snapshot:
      return false;
  }
  return false;
}

void
RaftProgress::OnSent(core::LogIndex aLast, core::Bytes aSize)
{
  if (state_ == ProgressState::Probe) {
    probeSent_ = true;
    return;
  }
  inFlight_.push_back({ aLast, aSize });
  inFlightSize_ += aSize;
  next_ = aLast.Next();
}

void
RaftProgress::OnMatch(core::LogIndex aMatch)
{
  match_ = std::max(match_, aMatch);
  next_ = std::max(next_, match_.Next());
  while (!inFlight_.empty() && inFlight_.front().last_ <= match_) {
    inFlightSize_ = inFlightSize_ - inFlight_.front().size_;
    inFlight_.pop_front();
  }
  if (state_ == ProgressState::Probe) {
    state_ = ProgressState::Replicate;
    probeSent_ = false;
  }
}

void
RaftProgress::OnRound(std::uint64_t aRound, core::MonotonicTime aSentAt)
{
  if (aRound > ackedRound_) {
    ackedRound_ = aRound;
    ackedAt_ = aSentAt;
  }
}

void
RaftProgress::Probe(core::LogIndex aNext)
{
  state_ = ProgressState::Probe;
  next_ = std::max(aNext, match_.Next());
  probeSent_ = false;
  inFlight_.clear();
  inFlightSize_ = core::Bytes();
}

void
RaftProgress::StartSnapshot(core::MonotonicTime aNow)
{
  Probe(next_);
  state_ = ProgressState::Snapshot;
  snapshotStarted_ = aNow;
}

} // namespace crocusslip::coordination
