#pragma once

#include "Control.h"
#include "control/CapacityController.hpp"
#include "control/Group.hpp"
#include "control/HostSession.hpp"
#include "control/ServerTracker.hpp"
#include "coordination/SettingsLeaseGranter.hpp"
#include "core/Metrics.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace crocusslip::control {

struct ControlServiceSettings
{
  std::string cluster_;
  core::Duration settingsLease_ = coordination::kSettingsLease;
  /// Longest time that a poll is held back until something changes.
  std::chrono::milliseconds longestWait_{ 1000 };
  std::size_t settingsPage_ = 64 * 1024;
  std::chrono::milliseconds commitWait_{ 1500 };
  /// How long a request that crashed its servers is held back.
  std::chrono::milliseconds quarantineHold_ = std::chrono::hours(24);
};

/// Thrift service that entry hosts call. Only the leader grants leases and
/// answers from its tables; the others name the leader.
class ControlService final : public wire::ControlIf
{
public:
  ControlService(Group& aGroup,
                 CapacityController& aCapacity,
                 ServerTracker& aServers,
                 const core::Clock& aClock,
                 core::MetricsRegistry& aMetrics,
                 ControlServiceSettings aSettings);

  void poll(wire::PollReply& aReply,
            const wire::PollRequest& aRequest) override;
  void demand(wire::LeaderAnswer& aAnswer,
              const std::string& aHost,
              const std::vector<wire::Demand>& aDemands,
              std::int64_t aInstance,
              std::int64_t aNumber) override;
  void claim(wire::ClaimAnswers& aAnswers,
             const std::vector<wire::ClaimRequest>& aClaims) override;
  void record(wire::LeaderAnswer& aAnswer,
              const std::vector<wire::OutcomeRecord>& aOutcomes) override;
  void reportCrash(wire::LeaderAnswer& aAnswer,
                   const std::vector<wire::CrashReport>& aReports) override;

  /// Wakes polls that wait for a change; called after each applied command.
  void Changed();
  std::vector<EntryHost> Hosts() const;
  /// No host may still serve settings below this revision.
  bool InForce(core::Revision aRevision);

private:
  using SessionPtr = std::shared_ptr<HostSession>;

  bool Leads(std::string& aLeaderAddress) const;
  SessionPtr SessionOf(const core::HostId& aHost);
  /// False when the host has to send a complete poll.
  bool TakePoll(const wire::PollRequest& aRequest, HostSession& aSession);
  void ReportDemand(const core::HostId& aHost,
                    const std::vector<protocol::TakenDemand>& aDemands);
  /// Holds the poll until there is news or its time is over.
  protocol::ViewSender::Change Await(wire::PollReply& aReply,
                                     const wire::PollRequest& aRequest,
                                     HostSession& aSession);
  void FollowTerm();
  void FillSettings(wire::PollReply& aReply,
                    const wire::PollRequest& aRequest) const;
  ViewMark MarkOf(HostSession& aSession) const;
  void ReadView(HostSession& aSession, const ViewMark& aMark) const;
  protocol::ViewSender::Change FillView(wire::PollReply& aReply,
                                        HostSession& aSession,
                                        bool aComplete) const;
  /// False when the group stopped leading.
  bool ProposeAll(const std::vector<state::Command>& aCommands,
                  std::vector<core::Result<state::Answer>>& aAnswers);

  Group& group_;
  CapacityController& capacity_;
  ServerTracker& servers_;
  const core::Clock& clock_;
  const ControlServiceSettings settings_;
  core::Counter& polls_;
  core::Counter& pollsAway_;
  core::Counter& pollsComplete_;
  core::Counter& pollsRepeat_;
  core::Counter& claims_;
  core::Counter& pollBytes_;

  /// Lock order 0: a host's reports reach the controller in the order in which
  /// its session took them.
  std::mutex demandMutex_;
  /// Lock order 1a: never held together with the controller's lock.
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t changes_ = 0;
  std::map<core::HostId, SessionPtr> hosts_;
  coordination::SettingsLeaseGranter granter_;
  core::Term term_;
};

} // namespace crocusslip::control
