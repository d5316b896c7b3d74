#pragma once

#include "core/Ids.hpp"
#include "core/Units.hpp"
#include "state/LogEntry.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace crocusslip::coordination {

/// Index and term of an entry, by which Raft compares logs.
struct LogPosition
{
  core::LogIndex index_;
  core::Term term_;
};

/// In-memory log: the entries after a base position that a snapshot covers.
class RaftLog
{
public:
  RaftLog(LogPosition aBase, std::vector<state::LogEntry> aEntries);

  core::LogIndex BaseIndex() const { return base_.index_; }
  core::LogIndex LastIndex() const;
  LogPosition Last() const;
  /// Empty for an index before the base or after the last entry.
  std::optional<core::Term> TermAt(core::LogIndex aIndex) const;
  bool Matches(LogPosition aPosition) const;
  const state::LogEntry& At(core::LogIndex aIndex) const;
  /// Highest position at or before aIndex whose term is at most aTerm.
  LogPosition HighestUpToTerm(core::LogIndex aIndex, core::Term aTerm) const;
  /// Entries from aFrom on within both limits. The first entry is always
  /// included, even if it exceeds aMaxBytes.
  std::vector<state::LogEntry> Slice(core::LogIndex aFrom,
                                     std::size_t aMaxEntries,
                                     core::Bytes aMaxBytes) const;
  /// Entries from aFrom to aThrough, both included.
  std::vector<state::LogEntry> Range(core::LogIndex aFrom,
                                     core::LogIndex aThrough) const;

  void Append(state::LogEntry aEntry);
  void TruncateFrom(core::LogIndex aIndex);
  void CompactThrough(core::LogIndex aIndex);
  /// Removes all entries; the log continues after aBase.
  void Reset(LogPosition aBase);

private:
  std::size_t Offset(core::LogIndex aIndex) const;

  LogPosition base_;
  std::deque<state::LogEntry> entries_;
};

/// Size of an entry in a message.
core::Bytes
EntrySize(const state::LogEntry& aEntry);

} // namespace crocusslip::coordination
