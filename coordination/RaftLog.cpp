#include "coordination/RaftLog.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocusslip::coordination {

namespace {

/// Encoded size of an entry's term, index, kind and length.
constexpr core::Bytes kEntryOverhead(24);

} // namespace

core::Bytes
EntrySize(const state::LogEntry& aEntry)
{
  return kEntryOverhead + core::Bytes(aEntry.payload_.size());
}

RaftLog::RaftLog(LogPosition aBase, std::vector<state::LogEntry> aEntries)
  : base_(aBase)
  , entries_(std::make_move_iterator(aEntries.begin()),
             std::make_move_iterator(aEntries.end()))
{
}

core::LogIndex
RaftLog::LastIndex() const
{
  return core::LogIndex(base_.index_.Value() + entries_.size());
}

LogPosition
RaftLog::Last() const
{
  if (entries_.empty()) {
    return base_;
  }
  return { entries_.back().index_, entries_.back().term_ };
}

std::optional<core::Term>
RaftLog::TermAt(core::LogIndex aIndex) const
{
  if (aIndex == base_.index_) {
    return base_.term_;
  }
  if (aIndex < base_.index_ || aIndex > LastIndex()) {
    return std::nullopt;
  }
  return entries_[Offset(aIndex)].term_;
}

bool
RaftLog::Matches(LogPosition aPosition) const
{
  return TermAt(aPosition.index_) == aPosition.term_;
}

const state::LogEntry&
RaftLog::At(core::LogIndex aIndex) const
{
  return entries_[Offset(aIndex)];
}

LogPosition
RaftLog::HighestUpToTerm(core::LogIndex aIndex, core::Term aTerm) const
{
  core::LogIndex index = std::clamp(aIndex, base_.index_, LastIndex());
  while (index > base_.index_ && At(index).term_ > aTerm) {
    index = core::LogIndex(index.Value() - 1);
  }
  return { index, *TermAt(index) };
}

std::vector<state::LogEntry>
RaftLog::Slice(core::LogIndex aFrom,
               std::size_t aMaxEntries,
               core::Bytes aMaxBytes) const
{
  std::vector<state::LogEntry> result;
  core::Bytes size;
  for (core::LogIndex index = aFrom; index <= LastIndex();
       index = index.Next()) {
    const state::LogEntry& entry = At(index);
    size += EntrySize(entry);
    if (result.size() >= aMaxEntries || (size > aMaxBytes && !result.empty())) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

std::vector<state::LogEntry>
RaftLog::Range(core::LogIndex aFrom, core::LogIndex aThrough) const
{
  const auto begin =
    entries_.begin() + static_cast<std::ptrdiff_t>(Offset(aFrom));
  const auto end =
    entries_.begin() + static_cast<std::ptrdiff_t>(Offset(aThrough) + 1);
  return { begin, end };
}

void
RaftLog::Append(state::LogEntry aEntry)
{
  entries_.push_back(std::move(aEntry));
}

void
RaftLog::TruncateFrom(core::LogIndex aIndex)
{
  if (aIndex <= LastIndex()) {
    entries_.resize(Offset(aIndex));
  }
}

void
RaftLog::CompactThrough(core::LogIndex aIndex)
{
  if (aIndex <= base_.index_) {
    return;
  }
  const LogPosition base{ aIndex, *TermAt(aIndex) };
  entries_.erase(entries_.begin(),
                 entries_.begin() +
                   static_cast<std::ptrdiff_t>(Offset(aIndex) + 1));
  base_ = base;
}

void
RaftLog::Reset(LogPosition aBase)
{
  base_ = aBase;
  entries_.clear();
}

std::size_t
RaftLog::Offset(core::LogIndex aIndex) const
{
  return aIndex.Value() - base_.index_.Value() - 1;
}

} // namespace crocusslip::coordination
