#pragma once

#include "coordination/BackendView.hpp"
#include "coordination/ModelPlacement.hpp"
#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocusslip::coordination {

/// An entry of the platform's list of backend servers.
struct ListedServer
{
  core::ServerId server_;
  std::string address_;
  ServiceName service_;
  core::FailureDomainId failureDomain_;
  BackendState state_ = BackendState::Ready;
  std::uint32_t slots_ = 0;
  EngineContent content_;
};

/// What one entry host reports about one backend server: the requests in
/// progress, and the outcomes since its last report.
struct HostUsage
{
  std::uint32_t inFlight_ = 0;
  /// Tokens of the requests in progress, as they occupy the server's memory.
  std::uint64_t tokens_ = 0;
  std::uint32_t failures_ = 0;
  std::uint32_t successes_ = 0;
  PromptTimeSums prompts_;
  /// Prompt tokens that the server has not processed yet.
  std::uint64_t prefillTokens_ = 0;
  std::set<core::ModelName> active_;
};

/// The control group leader's table of backend servers, merged from the
/// platform's list and the reports of all hosts. Each row carries the table
/// version of its last change, so that a host is sent only rows that it has not
/// seen.
class FleetTable
{
public:
  struct Row
  {
    /// The state of the server that is published to hosts.
    BackendRow row_;
    std::uint64_t version_ = 0;
    /// Version of its last change other than load, speed and suspicion.
    std::uint64_t factsVersion_ = 0;
    /// Requests and tokens of all hosts as last published.
    std::uint32_t inFlight_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint64_t prefillTokens_ = 0;
    /// Mean pace in percent, 0 while the server has named none, and the time of
    /// its newest sighting.
    double meanPace_ = 0;
    core::MonotonicTime loadSeenAt_;
  };

  /// Replaces the list. Servers that are no longer listed become Gone.
  void OnList(const std::vector<ListedServer>& aList, core::MonotonicTime aNow);
  /// Replaces a host's usage of each server, and adds the outcomes that it
  /// reports.
  void OnUsage(const core::HostId& aHost,
               const std::map<core::ServerId, HostUsage>& aUsage,
               core::MonotonicTime aNow);
  /// Replaces a host's demand; arrivals that TakeDemand has not returned yet
  /// are added to the new ones.
  void OnDemand(const core::HostId& aHost,
                const std::map<core::ModelName, ModelDemand>& aDemand,
                core::MonotonicTime aNow);
  /// Removes hosts whose last report is too old, and publishes the loads again,
  /// since suspicion of a server decays without reports.
  void Expire(core::MonotonicTime aNow);
  void SetModels(const core::ServerId& aServer,
                 const std::set<core::ModelName>& aModels);
  /// Sets the tokens that fit into the server's memory.
  void SetTokenCapacity(const core::ServerId& aServer, std::uint64_t aTokens);

  /// Sets the rate that the server is limited to.
  void SetRateLimit(const core::ServerId& aServer,
                    std::optional<double> aPerSecond);

  /// Takes over what an answer of the server said about its load. The newest
  /// of all hosts counts; the pace is averaged over about a second, since it
  /// changes faster than hosts are told of it.
  void OnLoadSighting(const core::ServerId& aServer,
                      const routing::LoadSighting& aSighting);

  /// Grows with each change of a row.
  std::uint64_t Version() const { return version_; }
  /// Grows only with changes that hosts must be sent at once: all except load,
  /// speed and suspicion.
  std::uint64_t UrgentVersion() const { return urgentVersion_; }
  /// Whether the host is sent the urgent changes after urgent version aSent at
  /// once. With many hosts only those are that wait for a model which has
  /// become available; the others get the changes with their next report.
  bool MustNotify(const core::HostId& aHost, std::uint64_t aSent) const;
  /// Whether the hosts are few enough to send all of them each change at once.
  bool NotifiesAll() const;
  /// Sends the server's whole row to the hosts again: one of them found that
  /// it differs from the server.
  void Republish(const core::ServerId& aServer);
  /// Rows that changed after version aSeen; without their facts if only load,
  /// speed or suspicion did. Their load leaves out the host's own requests.
  std::vector<BackendRow> RowsFor(const core::HostId& aHost,
                                  std::uint64_t aSeen) const;
  /// The demand of all hosts; its arrivals are those since the last call.
  std::map<core::ModelName, ModelDemand> TakeDemand();
  /// Models with requests running at the server.
  std::set<core::ModelName> ActiveModelsAt(const core::ServerId& aServer) const;
  /// ActiveModelsAt for every server, in one pass over the hosts.
  std::map<core::ServerId, std::set<core::ModelName>> ActiveModels() const;
  std::uint32_t HostCount() const;
  const std::map<core::ServerId, Row>& Rows() const { return rows_; }

private:
  struct Host
  {
    core::MonotonicTime lastReport_;
    std::map<core::ServerId, HostUsage> usage_;
    std::map<core::ModelName, ModelDemand> demand_;
    /// Urgent version at which a model became available that its requests wait
    /// for.
    std::uint64_t awaitedVersion_ = 0;
  };
  /// Failures and successes of requests at a server, decayed with time.
  struct FailureStats
  {
    double failures_ = 0;
    double successes_ = 0;
    /// Hosts whose last outcomes here included a failure.
    std::set<core::HostId> failingHosts_;
    core::MonotonicTime updatedAt_;
  };

  void AddPromptSample(const core::ServerId& aServer, const HostUsage& aUse);
  /// Compares each server's prompt times with the mean of its service.
  void CompareSpeeds();
  void MarkChanged(Row& aRow);
  void MarkFactsChanged(Row& aRow);
  void MarkUrgentlyChanged(Row& aRow);
  /// Marks the hosts whose requests wait for a model of aNew that is not in
  /// aOld.
  void MarkWaitingHosts(const std::set<core::ModelName>& aOld,
                        const std::set<core::ModelName>& aNew);
  /// Adds a host's usage to the totals, or subtracts it if aAdd is false.
  void UpdateTotals(const Host& aHost, bool aAdd);
  /// Publishes a server's total load and suspicion, if the load differs enough
  /// from the published one or the suspicion has changed.
  void PublishLoad(const core::ServerId& aServer, core::MonotonicTime aNow);

  struct Total
  {
    std::uint32_t inFlight_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint64_t prefillTokens_ = 0;
  };

  std::map<core::ServerId, Row> rows_;
  /// Current load of each server, summed over all hosts.
  std::map<core::ServerId, Total> totals_;
  /// Since when each Gone server has been missing from the list.
  std::map<core::ServerId, core::MonotonicTime> goneSince_;
  std::map<core::HostId, Host> hosts_;
  std::map<core::ServerId, FailureStats> failureStats_;
  /// Recent prompt times, by which servers of a service are compared.
  std::map<core::ServerId, PromptTimeSums> prompts_;
  core::MonotonicTime speedsComparedAt_;
  core::MonotonicTime loadPublishedAt_;
  std::uint64_t version_ = 1;
  std::uint64_t urgentVersion_ = 1;
};

} // namespace crocusslip::coordination
