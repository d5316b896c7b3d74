#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"
#include "core/Units.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace crocusslip::coordination {

enum class ProgressState : std::uint8_t
{
  /// One append at a time, until a position at which the logs match is known.
  Probe,
  /// Appends are pipelined, up to a limit of bytes in flight.
  Replicate,
  /// The follower needs a snapshot; no entries are sent until it has one.
  Snapshot,
};

/// Replication state that the leader keeps for one follower.
class RaftProgress
{
public:
  explicit RaftProgress(core::LogIndex aNext)
    : next_(aNext)
  {
  }

  ProgressState State() const { return state_; }
  core::LogIndex Match() const { return match_; }
  core::LogIndex Next() const { return next_; }
  std::uint64_t AckedRound() const { return ackedRound_; }
  /// Send time of the newest acknowledged heartbeat round.
  std::optional<core::MonotonicTime> AckedAt() const { return ackedAt_; }
  core::MonotonicTime SnapshotStarted() const { return snapshotStarted_; }
  /// Whether flow control allows entries to be sent now.
  bool MaySend(core::Bytes aMaxInFlight) const;

  void OnSent(core::LogIndex aLast, core::Bytes aSize);
  void OnMatch(core::LogIndex aMatch);
  void OnRound(std::uint64_t aRound, core::MonotonicTime aSentAt);
  /// Switches to ProgressState::Probe and continues from aNext.
  void Probe(core::LogIndex aNext);
  void StartSnapshot(core::MonotonicTime aNow);
  /// Allows another probe, since the last one may have been lost.
  void AllowProbe() { probeSent_ = false; }

private:
  struct InFlight
  {
    core::LogIndex last_;
    core::Bytes size_;
  };

  ProgressState state_ = ProgressState::Probe;
  core::LogIndex match_;
  core::LogIndex next_;
  bool probeSent_ = false;
  std::deque<InFlight> inFlight_;
  core::Bytes inFlightSize_;
  std::uint64_t ackedRound_ = 0;
  std::optional<core::MonotonicTime> ackedAt_;
  core::MonotonicTime snapshotStarted_;
};

} // namespace crocusslip::coordination
