#include "tests/support/Explorer.hpp"

#include "tests/support/ExplorerNemesis.hpp"
#include "tests/support/ExplorerRun.hpp"

#include <algorithm>

namespace crocusslip::tests {

namespace {

/// Time for the group to recover once the faults have ended.
constexpr core::Duration kRecovery = std::chrono::seconds(8);
/// Time for the last commands to reach everyone.
constexpr core::Duration kSettling = std::chrono::seconds(2);
/// Longest time from one append to the next without faults: a message each way
/// and a write and a sync, each at the upper bound of its draw.
constexpr core::Duration kAppendCycle =
  std::chrono::milliseconds(2 * 3 + 2 * 4);
/// One run in this many has no faults but single isolated followers.
constexpr std::uint64_t kCalmRuns = 5;

/// A group without faults has a leader and takes writes.
void
CheckWorks(ExplorerRun& aRun, std::uint64_t aAnsweredBefore)
{
  if (aRun.Leader() == nullptr) {
    aRun.Checks().Fail("no leader after the faults have ended");
  } else if (aRun.Clients().Answered() == aAnsweredBefore) {
    aRun.Checks().Fail("no request answered after the faults have ended");
  }
}

/// Time that the drawn flow control takes to send what members still lack. A
/// run with one entry an append may end with more than a thousand outstanding.
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

/// All members of the group have applied the same.
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
                         " isn't caught up at the end: applied " +
                         std::to_string(member.Applied().Value()) + " of " +
                         std::to_string(leader->Applied().Value()));
      return;
    }
    aRun.Checks().OnState(member.Applied(), member.Machine().Save());
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
  if (aOptions.seed_ % kCalmRuns == 0) {
    nemesis.StartCalm();
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
    CheckWorks(run, answered);
    run.StopClients();
    run.RunUntil(end + kSettling + TimeForBacklog(run));
  }
  if (!run.Checks().Violation()) {
    CheckConverged(run);
  }
  if (!run.Checks().Violation()) {
    if (auto fault = run.Model().CheckHistory(run.Clients().History())) {
      run.Checks().Fail(*fault);
    }
  }
  return run.Report();
}

} // namespace crocusslip::tests
