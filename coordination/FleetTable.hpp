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

/// What one host does with one server, and met there since its last report.
struct HostUsage
{
  std::uint32_t inFlight_ = 0;
  std::uint64_t tokens_ = 0;
  std::uint32_t failures_ = 0;
  std::uint32_t successes_ = 0;
  PromptTimeSums prompts_;
  /// Tokens of prompts that are being read.
  std::uint64_t unreadTokens_ = 0;
  std::set<core::ModelName> active_;
};

/// What the leader of the control group knows about backend servers, merged
/// from the platform's list and the reports of all hosts. Rows carry numbers of
/// change, so that a host is sent only what it has not seen.
class FleetTable
{
public:
  struct Row
  {
    BackendRow row_;
    std::uint64_t change_ = 0;
    /// Requests and tokens of all hosts as of the last change.
    std::uint32_t inFlight_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint64_t unreadTokens_ = 0;
  };

  /// Replaces the list. Servers that are no longer listed are gone.
  void OnList(const std::vector<ListedServer>& aList, core::MonotonicTime aNow);
  void OnUsage(const core::HostId& aHost,
               const std::map<core::ServerId, HostUsage>& aUses,
               core::MonotonicTime aNow);
  void OnDemand(const core::HostId& aHost,
                const std::map<core::ModelName, ModelDemand>& aDemand,
                core::MonotonicTime aNow);
  /// Forgets hosts that have been silent.
  void Expire(core::MonotonicTime aNow);
  void SetModels(const core::ServerId& aServer,
                 const std::set<core::ModelName>& aModels);
  void SetMemory(const core::ServerId& aServer, std::uint64_t aTokens);

  std::uint64_t Version() const { return change_; }
  /// Grows with changes that hosts must hear of at once: all but loads.
  std::uint64_t UrgentVersion() const { return urgentChange_; }
  /// Rows that changed after aSeen, as that host is to see them.
  std::vector<BackendRow> RowsFor(const core::HostId& aHost,
                                  std::uint64_t aSeen) const;
  /// Demand of all hosts; arrivals since the last call.
  std::map<core::ModelName, ModelDemand> TakeDemand();
  std::set<core::ModelName> ActiveModelsAt(const core::ServerId& aServer) const;
  /// Models that run at each server, in one pass over the hosts.
  std::map<core::ServerId, std::set<core::ModelName>> ActiveModels() const;
  std::uint32_t HostCount() const;
  const std::map<core::ServerId, Row>& Rows() const { return rows_; }

private:
  struct Host
  {
    core::MonotonicTime lastReport_;
    std::map<core::ServerId, HostUsage> uses_;
    std::map<core::ModelName, ModelDemand> demand_;
  };
  struct Evidence
  {
    double failures_ = 0;
    double successes_ = 0;
    std::set<core::HostId> failedFor_;
    core::MonotonicTime at_;
  };

  void LearnSpeed(const core::ServerId& aServer, const HostUsage& aUse);
  void CompareSpeeds();
  void Touch(Row& aRow);
  void TouchUrgently(Row& aRow);
  /// Takes what a host does off the totals, or adds it.
  void Count(const Host& aHost, bool aAdd);
  /// Publishes a server's total if it differs enough from what hosts were told.
  void PublishLoad(const core::ServerId& aServer, core::MonotonicTime aNow);

  struct Total
  {
    std::uint32_t inFlight_ = 0;
    std::uint64_t tokens_ = 0;
    std::uint64_t unreadTokens_ = 0;
  };

  std::map<core::ServerId, Row> rows_;
  /// What all hosts do at each server now.
  std::map<core::ServerId, Total> totals_;
  /// Servers that are gone stay listed as such for a while.
  std::map<core::ServerId, core::MonotonicTime> goneSince_;
  std::map<core::HostId, Host> hosts_;
  std::map<core::ServerId, Evidence> evidence_;
  /// Runs that began lately, by which servers of a service are compared.
  std::map<core::ServerId, PromptTimeSums> prompts_;
  core::MonotonicTime comparedAt_;
  core::MonotonicTime publishedAt_;
  std::uint64_t change_ = 1;
  std::uint64_t urgentChange_ = 1;
};

} // namespace crocusslip::coordination
