#pragma once

#include "core/Clock.hpp"
#include "state/ProcessSettings.hpp"
#include "transport/RpcClient.hpp"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace crocusslip::wire {
class ClaimAnswer;
class ClaimRequest;
class CrashReport;
class Demand;
class OutcomeRecord;
class PollReply;
class PollRequest;
}

namespace crocusslip::entry {

/// Finds the leader among the control members and calls it over one
/// connection.
class LeaderConnection
{
public:
  LeaderConnection(const state::ProcessSettings& aSettings,
                   std::chrono::milliseconds aCallTimeout);

  /// Function that makes one call. It returns nullopt on success, that is when
  /// the leader answered; otherwise the address of the leader as the called
  /// member knows it, empty if unknown.
  using Call = std::function<std::optional<std::string>(wire::ControlClient&)>;
  /// Calls the last known leader once. On failure the next call goes to
  /// another member.
  bool TryOnce(const Call& aCall);
  /// Retries until a leader answers or aUntil has passed.
  bool TryUntil(const Call& aCall, core::MonotonicTime aUntil);

private:
  void SelectNextMember(const std::string& aLeader);

  const state::ProcessSettings& settings_;
  const std::chrono::milliseconds callTimeout_;
  std::vector<std::string> addresses_;
  std::size_t next_ = 0;
  std::unique_ptr<transport::ControlRpc> rpc_;
};

/// Demand that is sent without waiting for the next poll, with the id of the
/// sending process and a number that orders it among the polls.
struct UrgentDemands
{
  std::vector<wire::Demand> demands_;
  std::int64_t instance_ = 0;
  std::int64_t number_ = 0;
};

/// Callbacks of ControlLink to its owner, made on the link's threads.
struct LinkHooks
{
  std::function<void(wire::PollRequest&)> fillPoll_;
  std::function<void(const wire::PollReply&)> onReply_;
  /// Called when no leader answered the last poll.
  std::function<void()> onPollFailed_;
  std::function<UrgentDemands()> urgentDemand_;
};

/// Connection of an entry process to the control group. Polls, urgent demand,
/// claims and outcomes each have their own thread, so that none delays another.
class ControlLink
{
public:
  using ClaimCallback = std::function<void(const wire::ClaimAnswer*)>;

  ControlLink(const state::ProcessSettings& aSettings, LinkHooks aHooks);
  ~ControlLink();
  ControlLink(const ControlLink&) = delete;
  ControlLink& operator=(const ControlLink&) = delete;

  void Start();
  /// Sends the queued claims, outcomes and reports, then stops the threads.
  void Stop();

  /// Triggers sending of urgent demand.
  void DemandChanged();
  /// The callback gets nullptr when no answer came in time.
  void Claim(const wire::ClaimRequest& aClaim, ClaimCallback aDone);
  void Record(const wire::OutcomeRecord& aOutcome);
  /// aDone is called once the report was sent or given up.
  void ReportCrash(std::vector<wire::CrashReport> aReports,
                   std::function<void()> aDone);

private:
  struct PendingClaim
  {
    std::shared_ptr<wire::ClaimRequest> claim_;
    ClaimCallback done_;
  };
  struct PendingReport
  {
    std::vector<wire::CrashReport> reports_;
    std::function<void()> done_;
  };

  void RunPolls();
  void RunDemand();
  void RunClaims();
  void RunOutcomes();
  bool Stopping();
  void Pause(std::chrono::milliseconds aTime);

  const state::ProcessSettings& settings_;
  const LinkHooks hooks_;
  const core::SystemClock clock_;
  /// Taken last: no other lock is taken while it is held. Guards the queues and
  /// flags below.
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool demandChanged_ = false;
  std::deque<PendingClaim> claims_;
  std::deque<std::shared_ptr<wire::OutcomeRecord>> outcomes_;
  std::deque<PendingReport> reports_;
  std::vector<std::thread> threads_;
};

} // namespace crocusslip::entry
