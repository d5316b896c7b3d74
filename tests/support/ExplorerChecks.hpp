#pragma once

#include "coordination/RaftConfig.hpp"
#include "state/LogEntry.hpp"
#include "tests/support/ExplorerMember.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusslip::tests {

/// The rules that every step of a run must keep.
class ExplorerChecks
{
public:
  using Members = std::map<core::MemberId, std::unique_ptr<ExplorerMember>>;

  void OnLeader(const ExplorerMember& aMember, core::Duration aNow);
  void OnApplied(const ExplorerMember& aMember, const state::LogEntry& aEntry);
  /// The state machine's content after aIndex.
  void OnState(core::LogIndex aIndex, const std::string& aContent);
  void OnHalt(const ExplorerMember& aMember, const std::string& aReason);
  /// At most one lease, and no leader that has long heard from no majority.
  void AfterStep(const Members& aMembers, core::Duration aNow);
  void Fail(std::string aFault);

  const std::optional<std::string>& Violation() const { return violation_; }
  std::uint64_t Committed() const { return committed_.size(); }
  std::uint64_t Elections() const { return leaders_.size(); }

private:
  struct CommittedEntry
  {
    state::LogEntry entry_;
    /// Term of the member that applied it first; committed no later than that.
    core::Term by_;
  };

  void CheckContact(const ExplorerMember& aMember, core::Duration aNow);

  std::optional<std::string> violation_;
  std::map<core::Term, core::MemberId> leaders_;
  /// What was first applied at each index, from 1 on.
  std::map<core::LogIndex, CommittedEntry> committed_;
  std::map<core::LogIndex, std::uint64_t> states_;
  std::map<core::MemberId, core::Duration> leaderSince_;
  /// Leaders without recent contact to a majority, and since when.
  std::map<core::MemberId, core::Duration> aloneSince_;
};

} // namespace crocusslip::tests
