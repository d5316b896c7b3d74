#pragma once

#include "core/Ids.hpp"
#include "state/GroupMembers.hpp"

#include <vector>

namespace crocusslip::coordination {

/// History of the member lists in the log, by the index of their entry. The
/// latest list in the log is in force, whether committed or not.
class RaftMembership
{
public:
  explicit RaftMembership(const state::SnapshotMeta& aBase);

  const state::GroupMembers& Current() const;
  const state::GroupMembers& At(core::LogIndex aIndex) const;
  core::LogIndex LastChange() const { return versions_.back().index_; }

  void Append(core::LogIndex aIndex, state::GroupMembers aMembers);
  void TruncateFrom(core::LogIndex aIndex);
  void CompactThrough(core::LogIndex aIndex);
  void Reset(const state::SnapshotMeta& aBase);

private:
  struct Version
  {
    core::LogIndex index_;
    state::GroupMembers members_;
  };

  /// Ascending by index; never empty.
  std::vector<Version> versions_;
};

} // namespace crocusslip::coordination
