#include "cli/Commands.hpp"
#include "cli/TextTable.hpp"
#include "cli/UrlText.hpp"
#include "state/ProcessSettings.hpp"
#include "state/SettingsTree.hpp"

#include <functional>
#include <map>

#include <nlohmann/json.hpp>

namespace crocusslip::cli {

namespace {

using protocol::AdminConfig;
using state::EffectiveValue;
using state::SettingsTree;

core::Findings
CheckFile(const std::string& aKind,
          const std::string& aText,
          const std::string& aFile)
{
  if (aKind == "entry" || aKind == "control") {
    const auto program = aKind == "entry" ? state::ProgramKind::Entry
                                          : state::ProgramKind::Control;
    return state::ParseProcessSettings(program, aText, aFile).findings_;
  }
  return SettingsTree().Load(aText, aFile);
}

SettingsTree
TreeOf(const AdminConfig& aConfig)
{
  std::vector<state::NodeEdit> edits;
  for (const auto& [path, toml] : aConfig.nodes_) {
    edits.push_back({ path, toml, false });
  }
  SettingsTree tree;
  tree.Follow(edits);
  return tree;
}

void
PrintNodes(std::ostream& aOut, const AdminConfig& aConfig)
{
  aOut << "# revision " << aConfig.revision_.Value() << '\n';
  for (const auto& [path, toml] : aConfig.nodes_) {
    const std::size_t dot = path.find('.');
    std::string title = path;
    if (dot != std::string::npos) {
      title = path.substr(0, dot + 1) + '"' + path.substr(dot + 1) + '"';
    }
    aOut << "\n[" << title << "]\n" << toml;
  }
}

nlohmann::json
JsonOf(const std::vector<EffectiveValue>& aValues)
{
  nlohmann::json array = nlohmann::json::array();
  for (const EffectiveValue& value : aValues) {
    array.push_back({ { "key", value.key_ },
                      { "value", state::TomlText(value.value_) },
                      { "origin", value.origin_ } });
  }
  return array;
}

void
PrintValues(Session& aSession, const std::vector<EffectiveValue>& aValues)
{
  if (aSession.Json()) {
    aSession.Out() << JsonOf(aValues).dump() << '\n';
    return;
  }
  if (!aSession.Has("explain")) {
    for (const EffectiveValue& value : aValues) {
      if (value.value_.index() != 0) {
        aSession.Out() << value.key_ << " = " << state::TomlText(value.value_)
                       << '\n';
      }
    }
    return;
  }
  TextTable table({ "KEY", "VALUE", "FROM" });
  for (const EffectiveValue& value : aValues) {
    const std::string text = state::TomlText(value.value_);
    table.Add({ std::string(value.key_),
                text.empty() ? "(not set)" : text,
                value.origin_ });
  }
  table.Print(aSession.Out());
}

ExitCode
ShowNode(Session& aSession, const AdminConfig& aConfig)
{
  const std::string& path = aSession.Arguments()[0];
  const SettingsTree tree = TreeOf(aConfig);
  if (!tree.Has(path)) {
    return aSession.Fail(ExitCode::Failed, "there is no node " + path);
  }
  std::vector<EffectiveValue> values = tree.Effective(path);
  if (aSession.Arguments().size() > 1) {
    const std::string& key = aSession.Arguments()[1];
    std::erase_if(
      values, [&](const EffectiveValue& aValue) { return aValue.key_ != key; });
    if (values.empty()) {
      return aSession.Fail(ExitCode::BadInput,
                           path + " has no key \"" + key + "\"");
    }
  }
  PrintValues(aSession, values);
  return ExitCode::Ok;
}

/// Path of what a node inherits from; empty when it does not inherit.
std::string
ParentOf(const std::string& aPath, const std::string& aToml)
{
  if (!aPath.starts_with("group.") && !aPath.starts_with("deployment.")) {
    return {};
  }
  SettingsTree tree;
  const state::NodeEdit edit{ aPath, aToml, false };
  tree.Follow({ &edit, 1 });
  for (const EffectiveValue& value : tree.Effective(aPath)) {
    const auto* const parent = std::get_if<std::string>(&value.value_);
    if (value.key_ == "parent" && parent != nullptr) {
      return "group." + *parent;
    }
  }
  return "root";
}

/// The node with all that it inherits from.
std::optional<AdminConfig>
FetchWithParents(Session& aSession, const std::string& aPath)
{
  AdminConfig all;
  std::string path = aPath;
  while (!path.empty()) {
    const auto config =
      aSession.Fetch<AdminConfig>("/config?path=" + PercentEncode(path));
    if (!config) {
      return std::nullopt;
    }
    all.revision_ = config->revision_;
    const auto node = config->nodes_.find(path);
    if (node == config->nodes_.end() || !all.nodes_.insert(*node).second) {
      break;
    }
    path = ParentOf(path, node->second);
  }
  return all;
}

using Children = std::multimap<std::string, std::string>;

void
PrintChildren(std::ostream& aOut,
              const Children& aChildren,
              const std::string& aParent,
              std::size_t aDepth)
{
  const auto [first, last] = aChildren.equal_range(aParent);
  for (auto child = first; child != last; ++child) {
    aOut << std::string(2 * aDepth, ' ') << child->second << '\n';
    PrintChildren(aOut, aChildren, child->second, aDepth + 1);
  }
}

} // namespace

ExitCode
RunConfigCheck(Session& aSession)
{
  const std::string kind = aSession.Option("as");
  if (kind != "tree" && kind != "entry" && kind != "control") {
    return aSession.Fail(ExitCode::BadInput,
                         "--as expects tree, entry or control");
  }
  const std::string& file = aSession.Arguments()[0];
  const auto text = aSession.ReadFile(file);
  if (!text) {
    return aSession.LastFailure();
  }
  const core::Findings findings = CheckFile(kind, *text, file);
  if (!findings.empty()) {
    return aSession.FailWith(findings);
  }
  aSession.Out() << file << ": no mistakes\n";
  return ExitCode::Ok;
}

ExitCode
RunConfigGet(Session& aSession)
{
  if (!aSession.Arguments().empty()) {
    const auto config = FetchWithParents(aSession, aSession.Arguments()[0]);
    return config ? ShowNode(aSession, *config) : aSession.LastFailure();
  }
  const auto body = aSession.Get("/config");
  if (!body) {
    return aSession.LastFailure();
  }
  if (aSession.Json()) {
    aSession.Out() << *body << '\n';
    return ExitCode::Ok;
  }
  const auto config = aSession.Decode<AdminConfig>(*body);
  if (!config) {
    return aSession.LastFailure();
  }
  PrintNodes(aSession.Out(), *config);
  return ExitCode::Ok;
}

ExitCode
RunConfigTree(Session& aSession)
{
  const auto config = aSession.Fetch<AdminConfig>("/config");
  if (!config) {
    return aSession.LastFailure();
  }
  const SettingsTree tree = TreeOf(*config);
  Children children;
  for (const auto& [path, toml] : config->nodes_) {
    const bool inherits =
      path.starts_with("group.") || path.starts_with("deployment.");
    const std::string parent = tree.ParentPath(path);
    if (path != "root") {
      children.emplace(inherits && parent.empty() ? "root" : parent, path);
    }
  }
  aSession.Out() << "root\n";
  PrintChildren(aSession.Out(), children, "root", 1);
  PrintChildren(aSession.Out(), children, "", 0);
  return ExitCode::Ok;
}

ExitCode
RunConfigReference(Session& aSession)
{
  aSession.Out() << state::SettingsPage();
  return ExitCode::Ok;
}

} // namespace crocusslip::cli
