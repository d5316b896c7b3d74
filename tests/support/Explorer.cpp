#include "tests/support/Explorer.hpp"

#include "tests/support/ExplorerNemesis.hpp"
#include "tests/support/ExplorerRun.hpp"

#include <algorithm>

namespace crocusslip::tests {

namespace {

/// Time for the group to recover after the faults have ended.
constexpr core::Duration kRecovery = std::chrono::seconds(8);
/// Time for the last commands to reach all members, and the part at the end of
/// the recovery in which a request must be answered.
constexpr core::Duration kSettling = std::chrono::seconds(2);
/// Longest time from one append to the next without faults: a message in each
/// direction (3 ms each) and a write and a sync (4 ms each), which are the
/// upper bounds of the random delays.
constexpr core::Duration kAppendCycle =
  std::chrono::milliseconds(2 * 3 + 2 * 4);
/// In one of this many runs the only faults are single isolated followers.
constexpr std::uint64_t kIsolationRunInterval = 5;

/// Checks, after the faults have ended, that the group has a leader and answers
/// requests.
void
CheckAvailability(ExplorerRun& aRun, std::uint64_t aAnsweredBefore)
{
  if (aRun.Leader() == nullptr) {
    aRun.Checks().Fail("no leader after the faults have ended");
  } else if (aRun.Clients().Answered() == aAnsweredBefore) {
    aRun.Checks().Fail("no request answered after the faults have ended");
  }
}

/// Time needed to replicate the entries that members still lack, given the flow
/// control limits of the run. With one entry per append, more than a thousand
/// entries may be outstanding at the end.
core::Duration
TimeForBacklog(ExplorerRun& aRun)
{
  ExplorerMember* leader = aRun.Leader();
  if (leader == nullptr) {
    return core::Duration::zero();
  }
  const std::uint64_t last = leader->Node().LastIndex().Value();
  std::uint64_t backlog = 0;
  for (const core::MemberId id : aRun.MemberIds()) {
    if (aRun.Member(id).Up() && leader->Node().Members().Find(id) != nullptr) {
      const std::uint64_t applied = aRun.Member(id).Applied().Value();
      backlog = std::max(backlog, last - std::min(last, applied));
    }
  }
  const std::uint64_t appends = backlog / aRun.Limits().maxAppendEntries_;
  return kAppendCycle * static_cast<core::Duration::rep>(appends);
}

/// Checks that all members have applied the same entries.
void
CheckConverged(ExplorerRun& aRun)
{
  ExplorerMember* leader = aRun.Leader();
  if (leader == nullptr) {
    aRun.Checks().Fail("no leader at the end");
    return;
  }
  for (const state::GroupMember& item : leader->Node().Members().members_) {
    if (aRun.IsDestroyed(item.id_)) {
      continue;
    }
    ExplorerMember& member = aRun.Member(item.id_);
    if (!member.Up() || member.Applied() != leader->Applied()) {
      aRun.Checks().Fail("member " + std::to_string(item.id_.Value()) +
                         " has not caught up at the end: applied " +
                         std::to_string(member.Applied().Value()) + " of " +
                         std::to_string(leader->Applied().Value()));
      return;
    }
    aRun.Checks().OnState(member.Applied(), member.StateMachine().Save());
  }
}

} // namespace

ExplorerReport
Explore(const ExplorerOptions& aOptions)
{
  ExplorerRun run(aOptions);
  ExplorerNemesis nemesis(run, aOptions.members_);
  run.SetLeaderHook(
    [&nemesis](core::MemberId aMember) { nemesis.OnLeader(aMember); });
  run.SetApplyHook(
    [&nemesis](core::MemberId aMember) { nemesis.OnApplied(aMember); });
  if (aOptions.seed_ % kIsolationRunInterval == 0) {
    nemesis.StartIsolationOnly();
  } else {
    nemesis.Start();
  }
  core::Duration end = aOptions.duration_;
  run.RunUntil(end);
  nemesis.Stop();
  end += kRecovery;
  run.RunUntil(end - kSettling);
  const std::uint64_t answered = run.Clients().Answered();
  run.RunUntil(end);
  if (!run.Checks().Violation()) {
    CheckAvailability(run, answered);
    run.StopClients();
    run.RunUntil(end + kSettling + TimeForBacklog(run));
  }
  if (!run.Checks().Violation()) {
    CheckConverged(run);
  }
  if (!run.Checks().Violation()) {
    if (auto violation = run.Model().CheckHistory(run.Clients().History())) {
      run.Checks().Fail(*violation);
    }
  }
  return run.Report();
}

} // namespace crocusslip::tests
