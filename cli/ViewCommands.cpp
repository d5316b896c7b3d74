#include "cli/Commands.hpp"
#include "cli/TextTable.hpp"
#include "cli/UrlText.hpp"
#include "state/Quantity.hpp"

#include <algorithm>

namespace crocusslip::cli {

namespace {

using namespace protocol;

std::string
Text(std::uint64_t aNumber)
{
  return std::to_string(aNumber);
}

/// Prints the answer as it came with --json; otherwise hands the message to
/// the function that prints it for people.
template<typename Message, typename Print>
ExitCode
Show(Session& aSession, const std::string& aPath, Print aPrint)
{
  const auto body = aSession.Get(aPath);
  if (!body) {
    return aSession.LastFailure();
  }
  if (aSession.Json()) {
    aSession.Out() << *body << '\n';
    return ExitCode::Ok;
  }
  const auto message = aSession.Decode<Message>(*body);
  if (!message) {
    return aSession.LastFailure();
  }
  aPrint(*message);
  return ExitCode::Ok;
}

void
PrintMembers(std::ostream& aOut, const AdminMembers& aAnswer)
{
  TextTable table({ "MEMBER", "ROLE", "FAILURE DOMAIN", "ADDRESS", "DISK" });
  for (const AdminMember& member : aAnswer.members_) {
    table.Add({ Text(member.id_.Value()),
                member.leader_ ? "leader" : member.role_,
                member.failureDomain_.Value(),
                member.address_,
                member.disk_ });
  }
  table.Print(aOut);
}

void
PrintStatus(std::ostream& aOut, const AdminStatus& aStatus)
{
  std::string leader = "none";
  if (aStatus.leader_.Value() != 0) {
    leader =
      "member " + Text(aStatus.leader_.Value()) + " at " + aStatus.leaderAdmin_;
  }
  TextTable table({ "cluster", aStatus.cluster_ });
  table.Add({ "version", aStatus.version_ });
  table.Add({ "answered by",
              "member " + Text(aStatus.member_.Value()) + " (" + aStatus.role_ +
                (aStatus.hasLease_ ? ", has lease" : "") + ") on " +
                aStatus.host_.Value() + ", " +
                aStatus.failureDomain_.Value() });
  table.Add({ "leader", leader + ", term " + Text(aStatus.term_.Value()) });
  table.Add({ "members",
              Text(aStatus.members_) + ", " + Text(aStatus.voters_) +
                " of them voters" });
  table.Add({ "log",
              Text(aStatus.logFirst_.Value()) + " to " +
                Text(aStatus.logLast_.Value()) + ", committed " +
                Text(aStatus.commit_.Value()) + ", applied " +
                Text(aStatus.applied_.Value()) });
  table.Add({ "settings revision", Text(aStatus.revision_.Value()) });
  table.Add({ "replicas", Text(aStatus.replicas_) });
  table.Add({ "claims",
              Text(aStatus.claims_) + ", " + Text(aStatus.tombstones_) +
                " tombstones" });
  table.Add({ "entry hosts", Text(aStatus.entryHosts_) });
  table.Add({ "agreed time", FormatTime(aStatus.agreedTime_) });
  table.Print(aOut);
}

void
PrintDeployments(std::ostream& aOut, const AdminDeployments& aAnswer)
{
  TextTable table({ "DEPLOYMENT",
                    "KIND",
                    "MODEL",
                    "POOL",
                    "LOADED",
                    "LOADING",
                    "UNLOADING",
                    "UNKNOWN",
                    "MAX" });
  for (const AdminDeployment& item : aAnswer.deployments_) {
    table.Add({ item.id_.Value(),
                item.kind_,
                item.model_,
                item.pool_,
                Text(item.replicas_.loaded_),
                Text(item.replicas_.loading_),
                Text(item.replicas_.unloading_),
                Text(item.replicas_.unknown_),
                Text(item.maxReplicas_) });
  }
  table.Print(aOut);
}

void
PrintReplicas(std::ostream& aOut, const AdminReplicas& aAnswer)
{
  TextTable table({ "DEPLOYMENT",
                    "SERVER",
                    "PHASE",
                    "MEMORY",
                    "ORDER",
                    "FENCING",
                    "ADOPTED" });
  for (const AdminReplica& item : aAnswer.replicas_) {
    table.Add({ item.deployment_.Value(),
                item.server_.Value(),
                item.phase_,
                state::FormatSize(item.memory_),
                Text(item.order_.Value()),
                Text(item.fencing_.Value()),
                item.adopted_ ? "yes" : "no" });
  }
  table.Print(aOut);
}

void
PrintHosts(std::ostream& aOut, const AdminHosts& aAnswer)
{
  TextTable hosts({ "ENTRY HOST",
                    "FAILURE DOMAIN",
                    "DRAINING",
                    "LAST POLL",
                    "REVISION",
                    "DEPLOYMENTS" });
  for (const AdminEntryHost& host : aAnswer.hosts_) {
    hosts.Add({ host.id_.Value(),
                host.failureDomain_.Value(),
                host.draining_ ? "yes" : "no",
                Text(host.lastPollMs_) + "ms ago",
                Text(host.revision_.Value()),
                Text(host.followed_) });
  }
  hosts.Print(aOut);
  aOut << '\n';
  TextTable servers({ "BACKEND SERVER",
                      "ADDRESS",
                      "FAILURE DOMAIN",
                      "POOL",
                      "STANDING",
                      "MEMORY HELD",
                      "MEMORY",
                      "RUNNING",
                      "QUEUED",
                      "REASON" });
  for (const AdminServer& server : aAnswer.servers_) {
    servers.Add({ server.id_.Value(),
                  server.address_,
                  server.failureDomain_.Value(),
                  server.pool_,
                  server.standing_,
                  state::FormatSize(server.memoryHeld_),
                  state::FormatSize(server.memory_),
                  Text(server.running_),
                  Text(server.queued_),
                  server.reason_ });
  }
  servers.Print(aOut);
}

void
PrintWhy(std::ostream& aOut, const AdminWhy& aAnswer)
{
  TextTable table({ "TIME", "SUBJECT", "DECISION" });
  for (const AdminDecision& decision : aAnswer.decisions_) {
    table.Add(
      { FormatTime(decision.at_), decision.subject_, decision.decision_ });
  }
  table.Print(aOut);
}

void
PrintAudit(std::ostream& aOut, const AdminAudit& aAnswer)
{
  TextTable table({ "INDEX", "TIME", "OPERATOR", "ACTION", "PATH" });
  for (const AdminAuditRecord& record : aAnswer.records_) {
    table.Add({ Text(record.index_.Value()),
                FormatTime(record.at_),
                record.operator_.Value(),
                record.action_,
                record.path_ });
  }
  table.Print(aOut);
}

} // namespace

ExitCode
RunStatus(Session& aSession)
{
  return Show<AdminStatus>(
    aSession, "/status", [&](const AdminStatus& aAnswer) {
      PrintStatus(aSession.Out(), aAnswer);
    });
}

ExitCode
RunDeployments(Session& aSession)
{
  return Show<AdminDeployments>(
    aSession, "/deployments", [&](const AdminDeployments& aAnswer) {
      PrintDeployments(aSession.Out(), aAnswer);
    });
}

ExitCode
RunReplicas(Session& aSession)
{
  return Show<AdminReplicas>(aSession, "/replicas", [&](AdminReplicas aAnswer) {
    if (!aSession.Arguments().empty()) {
      std::erase_if(aAnswer.replicas_, [&](const AdminReplica& aReplica) {
        return aReplica.deployment_.Value() != aSession.Arguments()[0];
      });
    }
    PrintReplicas(aSession.Out(), aAnswer);
  });
}

ExitCode
RunHosts(Session& aSession)
{
  return Show<AdminHosts>(aSession, "/hosts", [&](const AdminHosts& aAnswer) {
    PrintHosts(aSession.Out(), aAnswer);
  });
}

ExitCode
RunWhy(Session& aSession)
{
  const std::string& kind = aSession.Arguments()[0];
  if (kind != "deployment" && kind != "request" && kind != "server") {
    return aSession.Fail(ExitCode::BadInput,
                         "why expects deployment, request or server, found \"" +
                           kind + "\"");
  }
  const std::string path =
    "/why?kind=" + kind + "&subject=" + PercentEncode(aSession.Arguments()[1]);
  return Show<AdminWhy>(aSession, path, [&](const AdminWhy& aAnswer) {
    PrintWhy(aSession.Out(), aAnswer);
  });
}

ExitCode
RunAudit(Session& aSession)
{
  const auto limit = aSession.CountOption("limit");
  if (!limit) {
    return ExitCode::BadInput;
  }
  return Show<AdminAudit>(aSession, "/audit", [&](AdminAudit aAnswer) {
    std::reverse(aAnswer.records_.begin(), aAnswer.records_.end());
    aAnswer.records_.resize(std::min(*limit, aAnswer.records_.size()));
    PrintAudit(aSession.Out(), aAnswer);
  });
}

ExitCode
RunMembersList(Session& aSession)
{
  return Show<AdminMembers>(
    aSession, "/members", [&](const AdminMembers& aAnswer) {
      PrintMembers(aSession.Out(), aAnswer);
    });
}

ExitCode
RunQuarantineList(Session& aSession)
{
  return Show<AdminQuarantine>(
    aSession, "/quarantine", [&](const AdminQuarantine& aAnswer) {
      TextTable table(
        { "FINGERPRINT", "DEPLOYMENT", "HELD", "UNTIL", "SERVERS" });
      for (const AdminQuarantineEntry& entry : aAnswer.entries_) {
        std::string servers;
        for (const std::string& server : entry.servers_) {
          servers += (servers.empty() ? "" : ",") + server;
        }
        table.Add({ entry.fingerprint_,
                    entry.deployment_.Value(),
                    entry.held_ ? "yes" : "no",
                    FormatTime(entry.until_),
                    servers });
      }
      table.Print(aSession.Out());
    });
}

ExitCode
RunConfigHistory(Session& aSession)
{
  const auto limit = aSession.CountOption("limit");
  if (!limit) {
    return ExitCode::BadInput;
  }
  const std::string path = "/config/history";
  return Show<AdminHistory>(aSession, path, [&](AdminHistory aAnswer) {
    aAnswer.changes_.resize(std::min(*limit, aAnswer.changes_.size()));
    TextTable table({ "REVISION", "TIME", "OPERATOR", "CHANGE", "PATHS" });
    for (const AdminChangeRecord& change : aAnswer.changes_) {
      constexpr std::size_t kPathsShown = 3;
      std::string paths;
      for (std::size_t i = 0; i < change.paths_.size(); ++i) {
        if (i == kPathsShown) {
          paths += " and " + Text(change.paths_.size() - i) + " more";
          break;
        }
        paths += (i == 0 ? "" : " ") + change.paths_[i];
      }
      table.Add({ Text(change.revision_.Value()),
                  FormatTime(change.at_),
                  change.operator_.Value(),
                  change.changeId_.Value(),
                  paths });
    }
    table.Print(aSession.Out());
  });
}

} // namespace crocusslip::cli
