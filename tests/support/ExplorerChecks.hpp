#pragma once

#include "coordination/RaftConfig.hpp"
#include "state/LogEntry.hpp"
#include "tests/support/ExplorerMember.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusslip::tests {

/// Checks the invariants that must hold after every step of a run.
class ExplorerChecks
{
public:
  using Members = std::map<core::MemberId, std::unique_ptr<ExplorerMember>>;

  void OnLeader(const ExplorerMember& aMember, core::Duration aNow);
  void OnApplied(const ExplorerMember& aMember, const state::LogEntry& aEntry);
  /// aContent: state of a member's state machine after applying aIndex.
  void OnState(core::LogIndex aIndex, const std::string& aContent);
  void OnHalt(const ExplorerMember& aMember, const std::string& aReason);
  /// Checks that at most one member holds the lease and that no leader stays in
  /// office long after losing contact with a majority.
  void AfterStep(const Members& aMembers, core::Duration aNow);
  void Fail(std::string aViolation);

  const std::optional<std::string>& Violation() const { return violation_; }
  std::uint64_t Committed() const { return committed_.size(); }
  std::uint64_t Elections() const { return leaders_.size(); }

private:
  struct CommittedEntry
  {
    state::LogEntry entry_;
    /// Term of the member that applied it first. The entry was committed in
    /// this term or an earlier one.
    core::Term appliedInTerm_;
  };

  void CheckMajorityContact(const ExplorerMember& aMember, core::Duration aNow);

  std::optional<std::string> violation_;
  std::map<core::Term, core::MemberId> leaders_;
  /// The entry that was first applied at each index, from 1 on.
  std::map<core::LogIndex, CommittedEntry> committed_;
  std::map<core::LogIndex, std::uint64_t> stateDigests_;
  std::map<core::MemberId, core::Duration> leaderSince_;
  /// Leaders without recent contact with a majority, and since when.
  std::map<core::MemberId, core::Duration> withoutMajoritySince_;
};

} // namespace crocusslip::tests
