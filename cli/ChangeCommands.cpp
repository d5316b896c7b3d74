#include "cli/Commands.hpp"
#include "cli/ConfigChange.hpp"
#include "cli/NodeText.hpp"
#include "cli/UrlText.hpp"
#include "state/NodeTable.hpp"

namespace crocusslip::cli {

namespace {

using protocol::AdminConfig;

std::string
TextOfNode(const AdminConfig& aConfig, const std::string& aPath)
{
  const auto node = aConfig.nodes_.find(aPath);
  return node == aConfig.nodes_.end() ? std::string() : node->second;
}

/// The edit that the arguments of `config set` ask for.
core::Result<state::NodeEdit>
ReadEdit(Session& aSession,
         const state::NodePath& aPath,
         const AdminConfig& aConfig)
{
  const std::vector<std::string>& arguments = aSession.Arguments();
  state::NodeEdit edit{ arguments[0], {}, aSession.Has("remove") };
  if (edit.removed_) {
    return edit;
  }
  if (aSession.Has("file")) {
    const auto text = aSession.ReadFile(aSession.Option("file"));
    if (!text) {
      return core::Error{ core::Errc::NotFound, aSession.Option("file") };
    }
    core::Result<std::string> normal = NormalizedNode(*text);
    if (!normal) {
      return normal.Failure();
    }
    edit.toml_ = std::move(normal.Value());
    return edit;
  }
  edit.toml_ = TextOfNode(aConfig, edit.path_);
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    core::Result<std::string> changed =
      WithAssignment(aPath.kind_, edit.toml_, arguments[i]);
    if (!changed) {
      return changed.Failure();
    }
    edit.toml_ = std::move(changed.Value());
  }
  return edit;
}

/// Exactly one of assignments, --file and --remove must be given.
bool
AsksForOneThing(const Session& aSession)
{
  const int assignments = aSession.Arguments().size() > 1 ? 1 : 0;
  const int file = aSession.Has("file") ? 1 : 0;
  const int removal = aSession.Has("remove") ? 1 : 0;
  return assignments + file + removal == 1;
}

void
PrintAccepted(Session& aSession, const protocol::AdminChangeAccepted& aAnswer)
{
  if (aSession.Json()) {
    aSession.Out() << protocol::ToJson(aAnswer) << '\n';
    return;
  }
  aSession.Out() << "revision " << aAnswer.revision_.Value()
                 << (aAnswer.repeated_ ? " (accepted before)\n" : "\n");
}

void
PrintEdits(std::ostream& aOut, const std::vector<state::NodeEdit>& aEdits)
{
  for (const state::NodeEdit& edit : aEdits) {
    aOut << (edit.removed_ ? "remove " : "set ") << edit.path_ << '\n';
  }
}

ExitCode
SendBatches(Session& aSession,
            const std::vector<state::NodeEdit>& aEdits,
            core::Revision aExpected)
{
  protocol::AdminChangeAccepted accepted;
  accepted.revision_ = aExpected;
  std::size_t sent = 0;
  for (const auto& batch : InBatches(aEdits)) {
    const auto answer = SendChange(aSession,
                                   NewChangeId(aSession.Outside().random_),
                                   accepted.revision_,
                                   batch);
    if (!answer) {
      aSession.Err() << sent << " of " << aEdits.size()
                     << " edits were accepted before\n";
      return aSession.LastFailure();
    }
    accepted = *answer;
    sent += batch.size();
    if (sent != aEdits.size()) {
      aSession.Err() << sent << " of " << aEdits.size() << " edits accepted\n";
    }
  }
  PrintAccepted(aSession, accepted);
  return ExitCode::Ok;
}

} // namespace

ExitCode
RunConfigSet(Session& aSession)
{
  const std::string& path = aSession.Arguments()[0];
  const auto node = state::ParseNodePath(path);
  if (!node) {
    return aSession.Fail(ExitCode::BadInput,
                         "\"" + path + "\" is not the path of a node");
  }
  if (!AsksForOneThing(aSession)) {
    return aSession.Fail(ExitCode::BadInput,
                         "give KEY=VALUE arguments, --file or --remove");
  }
  if (aSession.Has("change-id") && !aSession.Has("revision")) {
    // A resent change must equal the first one, expected revision included.
    return aSession.Fail(ExitCode::BadInput, "--change-id needs --revision");
  }
  const auto config =
    aSession.Fetch<AdminConfig>("/config?path=" + PercentEncode(path));
  if (!config) {
    return aSession.LastFailure();
  }
  const auto expected = ExpectedRevision(aSession, config->revision_);
  const core::Result<state::NodeEdit> edit = ReadEdit(aSession, *node, *config);
  if (!expected || !edit) {
    return edit ? ExitCode::BadInput
                : aSession.Fail(ExitCode::BadInput, edit.Failure().detail_);
  }
  const core::ChangeId change = aSession.Has("change-id")
                                  ? core::ChangeId(aSession.Option("change-id"))
                                  : NewChangeId(aSession.Outside().random_);
  const auto accepted =
    SendChange(aSession, change, *expected, { edit.Value() });
  if (!accepted) {
    return aSession.LastFailure();
  }
  PrintAccepted(aSession, *accepted);
  return ExitCode::Ok;
}

ExitCode
RunConfigApply(Session& aSession)
{
  const std::string& file = aSession.Arguments()[0];
  const auto text = aSession.ReadFile(file);
  if (!text) {
    return aSession.LastFailure();
  }
  state::SettingsTree target;
  const core::Findings findings = target.Load(*text, file);
  if (!findings.empty()) {
    return aSession.FailWith(findings);
  }
  const auto config = aSession.Fetch<AdminConfig>("/config");
  if (!config) {
    return aSession.LastFailure();
  }
  const auto expected = ExpectedRevision(aSession, config->revision_);
  if (!expected) {
    return ExitCode::BadInput;
  }
  const state::SettingsNodes& before = config->nodes_;
  state::SettingsTree old;
  old.Load(before);
  const std::vector<state::NodeEdit> edits = InValidOrder(
    state::DiffSettings(before, state::SplitSettingsFile(*text, file).nodes_),
    old,
    target);
  if (aSession.Has("dry-run") || edits.empty()) {
    PrintEdits(aSession.Out(), edits);
    aSession.Out() << edits.size() << " edits\n";
    return ExitCode::Ok;
  }
  return SendBatches(aSession, edits, *expected);
}

} // namespace crocusslip::cli
