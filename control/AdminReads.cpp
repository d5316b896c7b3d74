#include "control/AdminApi.hpp"

#include "control/AdminBodies.hpp"
#include "protocol/Version.hpp"

#include <array>

namespace crocusslip::control {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;

namespace {

constexpr std::size_t kListed = 1000;

std::string_view
RoleName(coordination::RaftRole aRole)
{
  switch (aRole) {
    case coordination::RaftRole::Leader:
      return "leader";
    case coordination::RaftRole::Candidate:
    case coordination::RaftRole::PreCandidate:
      return "candidate";
    case coordination::RaftRole::Follower:
      return "follower";
  }
  return "follower";
}

std::string_view
StandingName(coordination::ServerStanding aStanding)
{
  constexpr std::array<std::string_view, 5> kNames = {
    "live", "suspect", "drained", "leaving", "gone"
  };
  return kNames.at(static_cast<std::size_t>(aStanding));
}

} // namespace

HttpResponse
AdminApi::GetStatus(const HttpRequest&, const Operator&)
{
  const GroupStatus status = group_.Status();
  json body = {
    { "cluster", process_.cluster_ },
    { "version", protocol::kProductVersion },
    { "host", process_.host_.Value() },
    { "failure_domain", process_.failureDomain_.Value() },
    { "member", process_.member_.Value() },
    { "role", RoleName(status.role_) },
    { "has_lease", group_.MayDecide() },
    { "term", status.term_.Value() },
    { "leader", status.leader_.Value() },
    { "leader_admin", AdminAddressOf(status.leader_) },
    { "commit", status.commit_.Value() },
    { "applied", status.applied_.Value() },
    { "log_first", status.first_.Value() },
    { "log_last", status.last_.Value() },
    { "voters", status.members_.VoterCount() },
    { "members", status.members_.members_.size() },
  };
  group_.WithState([&](const auto& aState) {
    body["revision"] = aState.Settings().CurrentRevision().Value();
    body["replicas"] = aState.Orders().Replicas().size();
    body["claims"] = aState.Claims().Claims();
    body["tombstones"] = aState.Claims().Tombstones();
    body["agreed_time"] = UnixMilliseconds(aState.Now());
  });
  body["entry_hosts"] = service_.Hosts().size();
  body["in_force"] = status.role_ == coordination::RaftRole::Leader &&
                     service_.InForce(core::Revision(body["revision"]));
  return AdminAnswer(200, body);
}

HttpResponse
AdminApi::GetDeployments(const HttpRequest&, const Operator&)
{
  json list = json::array();
  std::map<core::DeploymentId, json> counts;
  group_.WithState([&](const auto& aState) {
    for (const auto& [key, replica] : aState.Orders().Replicas()) {
      json& count = counts[key.deployment_];
      const std::string phase(state::Name(replica.phase_));
      count[phase] = NumberIn(count, phase.c_str()) + 1;
    }
  });
  const std::lock_guard lock(treeMutex_);
  RefreshTree();
  constexpr std::array<std::string_view, 3> kKinds = { "model",
                                                       "adapter",
                                                       "service" };
  for (const core::DeploymentId& id : tree_.Deployments()) {
    const auto deployment = tree_.Deployment(id);
    if (!deployment) {
      continue;
    }
    list.push_back(
      { { "deployment", id.Value() },
        { "kind", kKinds.at(static_cast<std::size_t>(deployment->kind_)) },
        { "model", deployment->model_.Value() },
        { "pool", deployment->pool_ },
        { "max_replicas", deployment->maxReplicas_ },
        { "replicas", counts.contains(id) ? counts[id] : json::object() } });
  }
  return AdminAnswer(200, { { "deployments", list } });
}

HttpResponse
AdminApi::GetReplicas(const HttpRequest&, const Operator&)
{
  json list = json::array();
  group_.WithState([&](const auto& aState) {
    for (const auto& [key, replica] : aState.Orders().Replicas()) {
      list.push_back({ { "deployment", key.deployment_.Value() },
                       { "server", key.server_.Value() },
                       { "phase", state::Name(replica.phase_) },
                       { "memory", replica.memory_.Count() },
                       { "order", replica.order_.Value() },
                       { "fencing", replica.term_.Value() },
                       { "adopted", replica.adopted_ } });
    }
  });
  return AdminAnswer(200, { { "replicas", list } });
}

HttpResponse
AdminApi::GetHosts(const HttpRequest&, const Operator&)
{
  json hosts = json::array();
  const core::MonotonicTime now = core::SystemClock().Now();
  for (const EntryHost& host : service_.Hosts()) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      now - host.lastPoll_);
    hosts.push_back({ { "host", host.host_.Value() },
                      { "failure_domain", host.failureDomain_.Value() },
                      { "last_poll_ms", age.count() },
                      { "revision", host.revision_.Value() },
                      { "draining", host.draining_ },
                      { "deployments_followed", host.followed_ } });
  }
  json servers = json::array();
  std::map<core::ServerId, std::uint64_t> held;
  group_.WithState([&](const auto& aState) {
    for (const auto& [key, replica] : aState.Orders().Replicas()) {
      held[key.server_] += replica.memory_.Count();
    }
  });
  for (const TrackedServer& server : servers_.Servers()) {
    const state::ServerSettings& settings = server.settings_;
    servers.push_back({ { "server", settings.id_.Value() },
                        { "address", settings.address_ },
                        { "failure_domain", settings.failureDomain_.Value() },
                        { "pool", settings.pool_ },
                        { "standing", StandingName(server.standing_) },
                        { "reason", server.reason_ },
                        { "memory", settings.memory_.Count() },
                        { "memory_held", held[settings.id_] },
                        { "running", server.load_.running_ },
                        { "queued", server.load_.queued_ } });
  }
  return AdminAnswer(200, { { "hosts", hosts }, { "servers", servers } });
}

HttpResponse
AdminApi::GetMembers(const HttpRequest&, const Operator&)
{
  const GroupStatus status = group_.Status();
  json list = json::array();
  for (const state::GroupMember& member : status.members_.members_) {
    list.push_back(
      { { "id", member.id_.Value() },
        { "address", member.address_ },
        { "failure_domain", member.failureDomain_.Value() },
        { "role",
          member.role_ == state::MemberRole::Voter ? "voter" : "learner" },
        { "leader", member.id_ == status.leader_ },
        { "disk", member.diskIdentity_ } });
  }
  return AdminAnswer(200, { { "members", list } });
}

HttpResponse
AdminApi::GetWhy(const HttpRequest& aRequest, const Operator&)
{
  json list = json::array();
  for (const LoggedDecision& decision :
       log_.Find(aRequest.Parameter("subject").value_or(""), kListed)) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(
      decision.at_.time_since_epoch());
    list.push_back({ { "at", at.count() },
                     { "subject", decision.subject_ },
                     { "decision", decision.text_ } });
  }
  return AdminAnswer(200, { { "decisions", list } });
}

HttpResponse
AdminApi::GetConfig(const HttpRequest& aRequest, const Operator&)
{
  const auto path = aRequest.Parameter("path");
  json nodes = json::object();
  std::uint64_t revision = 0;
  group_.WithState([&](const auto& aState) {
    revision = aState.Settings().CurrentRevision().Value();
    for (const auto& [name, node] : aState.Settings().Nodes()) {
      if (!path || *path == name) {
        nodes[name] = node.toml_;
      }
    }
  });
  return AdminAnswer(200, { { "revision", revision }, { "nodes", nodes } });
}

HttpResponse
AdminApi::GetHistory(const HttpRequest&, const Operator&)
{
  json list = json::array();
  group_.WithState([&](const auto& aState) {
    const auto& history = aState.Settings().History();
    for (auto change = history.rbegin();
         change != history.rend() && list.size() < kListed;
         ++change) {
      list.push_back({ { "revision", change->revision_.Value() },
                       { "change_id", change->change_.Value() },
                       { "operator", change->operator_.Value() },
                       { "at", UnixMilliseconds(change->at_) },
                       { "paths", change->paths_ } });
    }
  });
  return AdminAnswer(200, { { "changes", list } });
}

HttpResponse
AdminApi::GetQuarantine(const HttpRequest&, const Operator&)
{
  json list = json::array();
  group_.WithState([&](const auto& aState) {
    for (const auto& [fingerprint, entry] : aState.Quarantine().All()) {
      json servers = json::array();
      for (const core::ServerId& server : entry.servers_) {
        servers.push_back(server.Value());
      }
      list.push_back({ { "fingerprint", fingerprint },
                       { "deployment", entry.deployment_.Value() },
                       { "servers", servers },
                       { "held", entry.held_ },
                       { "until", UnixMilliseconds(entry.until_) } });
    }
  });
  return AdminAnswer(200, { { "quarantine", list } });
}

HttpResponse
AdminApi::GetAudit(const HttpRequest&, const Operator&)
{
  json list = json::array();
  group_.WithState([&](const auto& aState) {
    for (const auto& record : aState.Audit().Records()) {
      list.push_back({ { "index", record.index_.Value() },
                       { "at", UnixMilliseconds(record.at_) },
                       { "operator", record.operator_.Value() },
                       { "action", record.action_ },
                       { "path", record.path_ } });
    }
  });
  return AdminAnswer(200, { { "audit", list } });
}

} // namespace crocusslip::control
