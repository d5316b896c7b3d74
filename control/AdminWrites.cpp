#include "control/AdminApi.hpp"

#include "control/AdminBodies.hpp"
#include "core/Log.hpp"
#include "core/Reasons.hpp"
#include "transport/FaultSwitch.hpp"

namespace crocusslip::control {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;

namespace {

constexpr std::chrono::milliseconds kCommitWait{ 5000 };

json
WinnerOf(const state::ChangeAnswer& aAnswer)
{
  return { { "operator", aAnswer.winner_.Value() },
           { "revision", aAnswer.winnerRevision_.Value() },
           { "paths", aAnswer.winnerPaths_ } };
}

HttpResponse
ChangeResponse(const state::ChangeAnswer& aAnswer)
{
  const std::uint64_t revision = aAnswer.revision_.Value();
  switch (aAnswer.result_) {
    case state::ChangeResult::Accepted:
      return AdminAnswer(
        200, { { "revision", revision }, { "repeated", aAnswer.repeated_ } });
    case state::ChangeResult::Conflict:
      return AdminAnswer(
        409,
        { { "error", "another change took the expected revision" },
          { "revision", revision },
          { "repeated", aAnswer.repeated_ },
          { "winner", WinnerOf(aAnswer) } });
    case state::ChangeResult::Overloaded:
      return AdminFailure(503, "too many changes are remembered; try later");
    case state::ChangeResult::ChangeIdReused:
      return AdminFailure(422, "the change id was used for another change");
    case state::ChangeResult::TooLarge:
    case state::ChangeResult::Invalid:
      return AdminFailure(422, aAnswer.detail_);
  }
  return AdminFailure(500, "unknown result");
}

/// A command that certainly takes no effect, or whose outcome is open.
HttpResponse
ProposalFailure(const core::Error& aError, std::uint16_t aStatus)
{
  if (aError.code_ != core::Errc::DiskFull) {
    return AdminFailure(aStatus, aError.Message());
  }
  HttpResponse response = AdminAnswer(
    503,
    { { "error", "the leader's disk is full; the command takes no effect" },
      { "reason", core::Name(core::RefusalReason::ControlDiskFull) } });
  response.headers_.Set("Retry-After", "1");
  return response;
}

} // namespace

void
AdminApi::RefreshTree()
{
  state::SettingsNodes nodes;
  core::Revision revision;
  group_.WithState([&](const auto& aState) {
    revision = aState.Settings().CurrentRevision();
    if (treeRevision_ == revision) {
      return;
    }
    for (const auto& [path, node] : aState.Settings().Nodes()) {
      nodes.emplace(path, node.toml_);
    }
  });
  if (treeRevision_ == revision) {
    return;
  }
  tree_ = state::SettingsTree();
  tree_.Load(nodes);
  treeRevision_ = revision;
}

core::Findings
AdminApi::CheckEdits(const std::vector<state::NodeEdit>& aEdits,
                     core::Revision aRevision)
{
  const std::lock_guard lock(treeMutex_);
  RefreshTree();
  // A stale expected revision is a conflict, which the state machine answers
  // with the winner; findings against another base would mislead.
  return treeRevision_ == aRevision ? tree_.Check(aEdits) : core::Findings{};
}

// Keeps the tree of the last check in step, so that it is not built anew for
// each change.
void
AdminApi::FollowEdits(const std::vector<state::NodeEdit>& aEdits,
                      core::Revision aFrom,
                      core::Revision aTo)
{
  const std::lock_guard lock(treeMutex_);
  if (treeRevision_ == aFrom && aTo == aFrom.Next()) {
    tree_.Follow(aEdits);
    treeRevision_ = aTo;
  }
}

HttpResponse
AdminApi::PostConfig(const HttpRequest& aRequest, const Operator& aOperator)
{
  const json body = AdminBody(aRequest);
  if (!body.is_object() || !body.contains("edits") ||
      !body["edits"].is_array() || TextIn(body, "change_id").empty()) {
    return AdminFailure(400,
                        "change_id, expected_revision and edits are needed");
  }
  state::ChangeSettings change;
  change.change_ = core::ChangeId(TextIn(body, "change_id"));
  change.operator_ = aOperator.id_;
  change.expected_ = core::Revision(NumberIn(body, "expected_revision"));
  for (const json& edit : body["edits"]) {
    const bool removed = edit.is_object() && edit.contains("remove") &&
                         edit["remove"].is_boolean() &&
                         edit["remove"].get<bool>();
    if (!edit.is_object() || TextIn(edit, "path").empty()) {
      return AdminFailure(400, "each edit needs a path");
    }
    change.edits_.push_back(
      { TextIn(edit, "path"), TextIn(edit, "toml"), removed });
  }
  const core::Findings findings = CheckEdits(change.edits_, change.expected_);
  if (!findings.empty()) {
    json list = json::array();
    for (const core::Finding& finding : findings) {
      list.push_back({ { "file", finding.file_ },
                       { "line", finding.line_ },
                       { "key", finding.key_ },
                       { "message", finding.message_ } });
    }
    return AdminAnswer(422, { { "error", "findings" }, { "findings", list } });
  }
  const auto answer = group_.ProposeAndWait(change, kCommitWait);
  if (!answer.Ok() && answer.Failure().code_ == core::Errc::DiskFull) {
    return ProposalFailure(answer.Failure(), 503);
  }
  if (!answer.Ok()) {
    const std::error_code code = answer.Failure().code_;
    if (code == core::Errc::InvalidInput || code == core::Errc::TooLarge) {
      return AdminFailure(422, "the change is too large for one revision");
    }
    return answer.Failure().code_ == core::Errc::NotLeader
             ? NotLeader()
             : AdminFailure(504,
                            "the outcome is not known yet; send the change "
                            "again with the same change id");
  }
  const auto& decided = std::get<state::ChangeAnswer>(answer.Value());
  if (decided.result_ == state::ChangeResult::Accepted && !decided.repeated_) {
    FollowEdits(change.edits_, change.expected_, decided.revision_);
  }
  return ChangeResponse(decided);
}

HttpResponse
AdminApi::PostDrain(const HttpRequest& aRequest, const Operator& aOperator)
{
  const json body = AdminBody(aRequest);
  const std::string target = TextIn(body, "target");
  if (TextIn(body, "id").empty() || (target != "host" && target != "server")) {
    return AdminFailure(400, "target (host or server) and id are needed");
  }
  state::SetDrain command;
  command.target_ =
    target == "host" ? state::DrainTarget::Host : state::DrainTarget::Server;
  command.id_ = TextIn(body, "id");
  command.draining_ = !body.contains("draining") ||
                      !body["draining"].is_boolean() ||
                      body["draining"].get<bool>();
  command.operator_ = aOperator.id_;
  const auto answer = group_.ProposeAndWait(command, kCommitWait);
  if (!answer.Ok()) {
    return ProposalFailure(answer.Failure(), 503);
  }
  return AdminAnswer(
    200,
    { { "changed", std::get<state::DrainAnswer>(answer.Value()).changed_ } });
}

HttpResponse
AdminApi::PostRelease(const HttpRequest& aRequest, const Operator& aOperator)
{
  const json body = AdminBody(aRequest);
  const state::ReleaseQuarantine command{ TextIn(body, "fingerprint"),
                                          aOperator.id_ };
  if (command.fingerprint_.empty()) {
    return AdminFailure(400, "fingerprint is needed");
  }
  const auto answer = group_.ProposeAndWait(command, kCommitWait);
  return answer.Ok() ? AdminAnswer(200, { { "released", true } })
                     : ProposalFailure(answer.Failure(), 503);
}

HttpResponse
AdminApi::PostMembers(const HttpRequest& aRequest, const Operator&)
{
  const json body = AdminBody(aRequest);
  const std::string action = TextIn(body, "action");
  state::MemberChange change;
  if (action == "add") {
    change.kind_ = state::MemberChangeKind::AddLearner;
  } else if (action == "promote") {
    change.kind_ = state::MemberChangeKind::Promote;
  } else if (action == "demote") {
    change.kind_ = state::MemberChangeKind::Demote;
  } else if (action == "remove") {
    change.kind_ = state::MemberChangeKind::Remove;
  } else {
    return AdminFailure(400, "action must be add, promote, demote or remove");
  }
  change.member_.id_ =
    core::MemberId(static_cast<std::uint32_t>(NumberIn(body, "id")));
  change.member_.address_ = TextIn(body, "address");
  change.member_.failureDomain_ =
    core::FailureDomainId(TextIn(body, "failure_domain"));
  change.member_.diskIdentity_ = TextIn(body, "disk");
  const core::Status done = group_.ProposeMembership(change, kCommitWait);
  return done.Ok() ? AdminAnswer(200, { { "accepted", true } })
                   : ProposalFailure(done.Failure(), 409);
}

HttpResponse
AdminApi::PostTransfer(const HttpRequest& aRequest, const Operator&)
{
  group_.TransferLeadership(core::MemberId(
    static_cast<std::uint32_t>(NumberIn(AdminBody(aRequest), "to"))));
  return AdminAnswer(202, { { "accepted", true } });
}

HttpResponse
AdminApi::PostLogLevel(const HttpRequest& aRequest, const Operator&)
{
  core::LogLevel level = core::LogLevel::Info;
  if (!core::ParseLogLevel(TextIn(AdminBody(aRequest), "level"), level)) {
    return AdminFailure(400, "level must be debug, info, warning or error");
  }
  core::SetLogLevel(level);
  return AdminAnswer(200, { { "changed", true } });
}

HttpResponse
AdminApi::PostFault(const HttpRequest& aRequest, const Operator&)
{
  if (!process_.allowFaults_) {
    return AdminFailure(403, "allow_faults is not set");
  }
  const json body = AdminBody(aRequest);
  const bool isolate = body.contains("isolate") &&
                       body["isolate"].is_boolean() &&
                       body["isolate"].get<bool>();
  transport::SharedFaultSwitch().Isolate(isolate);
  return AdminAnswer(200, { { "isolated", isolate } });
}

} // namespace crocusslip::control
