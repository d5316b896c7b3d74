#pragma once

#include "core/Ids.hpp"
#include "core/Units.hpp"
#include "protocol/AdminConfigMessages.hpp"

#include <cstdint>
#include <string>
#include <vector>

/// Bodies of the operators' HTTP API, see docs/operators/admin-api.md. Each
/// struct lists its fields once, for writing and for reading. Times are Unix
/// milliseconds.
namespace crocusslip::protocol {

struct AdminStatus
{
  std::string cluster_;
  std::string version_;
  core::HostId host_;
  core::FailureDomainId failureDomain_;
  core::MemberId member_;
  /// "leader", "follower" or "candidate".
  std::string role_;
  /// Whether the member leads and may decide.
  bool hasLease_ = false;
  core::Term term_;
  /// 0 while there is no leader.
  core::MemberId leader_;
  /// Where the leader answers operators.
  std::string leaderAdmin_;
  core::LogIndex commit_;
  core::LogIndex applied_;
  core::LogIndex logFirst_;
  core::LogIndex logLast_;
  std::uint64_t voters_ = 0;
  std::uint64_t members_ = 0;
  /// Revision of the settings.
  core::Revision revision_;
  std::uint64_t replicas_ = 0;
  std::uint64_t claims_ = 0;
  std::uint64_t tombstones_ = 0;
  std::uint64_t agreedTime_ = 0;
  std::uint64_t entryHosts_ = 0;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("cluster", cluster_);
    aVisitor("version", version_);
    aVisitor("host", host_);
    aVisitor("failure_domain", failureDomain_);
    aVisitor("member", member_);
    aVisitor("role", role_);
    aVisitor("has_lease", hasLease_);
    aVisitor("term", term_);
    aVisitor("leader", leader_);
    aVisitor("leader_admin", leaderAdmin_);
    aVisitor("commit", commit_);
    aVisitor("applied", applied_);
    aVisitor("log_first", logFirst_);
    aVisitor("log_last", logLast_);
    aVisitor("voters", voters_);
    aVisitor("members", members_);
    aVisitor("revision", revision_);
    aVisitor("replicas", replicas_);
    aVisitor("claims", claims_);
    aVisitor("tombstones", tombstones_);
    aVisitor("agreed_time", agreedTime_);
    aVisitor("entry_hosts", entryHosts_);
  }
};

/// Replicas of one deployment by phase.
struct AdminReplicaCounts
{
  std::uint64_t loaded_ = 0;
  std::uint64_t loading_ = 0;
  std::uint64_t unloading_ = 0;
  std::uint64_t unknown_ = 0;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("loaded", loaded_);
    aVisitor("loading", loading_);
    aVisitor("unloading", unloading_);
    aVisitor("unknown", unknown_);
  }
};

struct AdminDeployment
{
  core::DeploymentId id_;
  std::string kind_;
  std::string model_;
  std::string pool_;
  std::uint64_t maxReplicas_ = 0;
  AdminReplicaCounts replicas_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("deployment", id_);
    aVisitor("kind", kind_);
    aVisitor("model", model_);
    aVisitor("pool", pool_);
    aVisitor("max_replicas", maxReplicas_);
    aVisitor("replicas", replicas_);
  }
};

struct AdminDeployments
{
  std::vector<AdminDeployment> deployments_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("deployments", deployments_);
  }
};

struct AdminReplica
{
  core::DeploymentId deployment_;
  core::ServerId server_;
  /// "loading", "loaded", "unloading" or "unknown".
  std::string phase_;
  core::Bytes memory_;
  core::OrderId order_;
  core::Term fencing_;
  /// Found on the server without an order.
  bool adopted_ = false;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("deployment", deployment_);
    aVisitor("server", server_);
    aVisitor("phase", phase_);
    aVisitor("memory", memory_);
    aVisitor("order", order_);
    aVisitor("fencing", fencing_);
    aVisitor("adopted", adopted_);
  }
};

struct AdminReplicas
{
  std::vector<AdminReplica> replicas_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("replicas", replicas_);
  }
};

struct AdminEntryHost
{
  core::HostId id_;
  core::FailureDomainId failureDomain_;
  /// Age of its last poll.
  std::uint64_t lastPollMs_ = 0;
  core::Revision revision_;
  bool draining_ = false;
  std::uint64_t followed_ = 0;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("host", id_);
    aVisitor("failure_domain", failureDomain_);
    aVisitor("last_poll_ms", lastPollMs_);
    aVisitor("revision", revision_);
    aVisitor("draining", draining_);
    aVisitor("deployments_followed", followed_);
  }
};

struct AdminServer
{
  core::ServerId id_;
  std::string address_;
  core::FailureDomainId failureDomain_;
  std::string pool_;
  /// "live", "suspect", "drained", "leaving" or "gone".
  std::string standing_;
  std::string reason_;
  core::Bytes memory_;
  core::Bytes memoryHeld_;
  std::uint64_t running_ = 0;
  std::uint64_t queued_ = 0;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("server", id_);
    aVisitor("address", address_);
    aVisitor("failure_domain", failureDomain_);
    aVisitor("pool", pool_);
    aVisitor("standing", standing_);
    aVisitor("reason", reason_);
    aVisitor("memory", memory_);
    aVisitor("memory_held", memoryHeld_);
    aVisitor("running", running_);
    aVisitor("queued", queued_);
  }
};

struct AdminHosts
{
  std::vector<AdminEntryHost> hosts_;
  std::vector<AdminServer> servers_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("hosts", hosts_);
    aVisitor("servers", servers_);
  }
};

struct AdminMember
{
  core::MemberId id_;
  std::string address_;
  core::FailureDomainId failureDomain_;
  /// "voter" or "learner".
  std::string role_;
  bool leader_ = false;
  /// Identity of its disk.
  std::string disk_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("id", id_);
    aVisitor("address", address_);
    aVisitor("failure_domain", failureDomain_);
    aVisitor("role", role_);
    aVisitor("leader", leader_);
    aVisitor("disk", disk_);
  }
};

struct AdminMembers
{
  std::vector<AdminMember> members_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("members", members_);
  }
};

/// A decision of the leader with the figures that led to it.
struct AdminDecision
{
  std::uint64_t at_ = 0;
  std::string subject_;
  std::string decision_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("at", at_);
    aVisitor("subject", subject_);
    aVisitor("decision", decision_);
  }
};

struct AdminWhy
{
  std::vector<AdminDecision> decisions_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("decisions", decisions_);
  }
};

/// Body of every answer with a status of 400 or more.
struct AdminFailure
{
  std::string error_;
  /// With status 421 or 503: where the leader answers operators.
  std::string leader_;
  /// With a conflict: the revision at present.
  core::Revision revision_;
  AdminWinner winner_;
  std::vector<AdminFinding> findings_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("error", error_);
    aVisitor("leader", leader_);
    aVisitor("revision", revision_);
    aVisitor("winner", winner_);
    aVisitor("findings", findings_);
  }
};

struct AdminQuarantineEntry
{
  std::string fingerprint_;
  core::DeploymentId deployment_;
  std::vector<std::string> servers_;
  bool held_ = false;
  std::uint64_t until_ = 0;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("fingerprint", fingerprint_);
    aVisitor("deployment", deployment_);
    aVisitor("servers", servers_);
    aVisitor("held", held_);
    aVisitor("until", until_);
  }
};

struct AdminQuarantine
{
  std::vector<AdminQuarantineEntry> entries_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("quarantine", entries_);
  }
};

struct AdminAuditRecord
{
  core::LogIndex index_;
  std::uint64_t at_ = 0;
  core::OperatorId operator_;
  std::string action_;
  std::string path_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("index", index_);
    aVisitor("at", at_);
    aVisitor("operator", operator_);
    aVisitor("action", action_);
    aVisitor("path", path_);
  }
};

/// Oldest first.
struct AdminAudit
{
  std::vector<AdminAuditRecord> records_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("audit", records_);
  }
};

struct AdminDrain
{
  /// "host" or "server".
  std::string target_;
  std::string id_;
  bool draining_ = true;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("target", target_);
    aVisitor("id", id_);
    aVisitor("draining", draining_);
  }
};

struct AdminRelease
{
  std::string fingerprint_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("fingerprint", fingerprint_);
  }
};

struct AdminMemberChange
{
  /// "add", "promote", "demote" or "remove"; only "add" reads the fields
  /// after the id.
  std::string action_;
  core::MemberId id_;
  std::string address_;
  core::FailureDomainId failureDomain_;
  std::string disk_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("action", action_);
    aVisitor("id", id_);
    aVisitor("address", address_);
    aVisitor("failure_domain", failureDomain_);
    aVisitor("disk", disk_);
  }
};

struct AdminTransfer
{
  core::MemberId to_;

  template<typename Visitor>
  void Fields(Visitor& aVisitor)
  {
    aVisitor("to", to_);
  }
};

} // namespace crocusslip::protocol
