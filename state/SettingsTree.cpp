#include "state/SettingsTree.hpp"

#include "state/SettingsKeys.hpp"
#include "state/SettingsReader.hpp"
#include "state/SettingsTreeState.hpp"
#include "state/SettingsViewReader.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocusslip::state {

namespace {

/// Deployments whose effective settings are kept; about 1 KiB each.
constexpr std::size_t kCacheLimit = 1024;

std::vector<ReadEdit>
ReadEdits(std::span<const NodeEdit> aEdits, core::Findings& aFindings)
{
  std::vector<ReadEdit> edits;
  for (const NodeEdit& edit : aEdits) {
    auto path = ParseNodePath(edit.path_);
    if (!path) {
      aFindings.push_back({ edit.path_, 0, "", "is not the path of a node" });
      continue;
    }
    ReadEdit read{ std::move(*path), {}, edit.removed_ };
    if (!read.removed_) {
      read.content_ = ReadNodeText(read.path_, edit.toml_, aFindings);
    }
    edits.push_back(std::move(read));
  }
  return edits;
}

void
SortByPlace(core::Findings& aFindings)
{
  std::stable_sort(aFindings.begin(),
                   aFindings.end(),
                   [](const core::Finding& aLeft, const core::Finding& aRight) {
                     return std::tie(aLeft.file_, aLeft.line_) <
                            std::tie(aRight.file_, aRight.line_);
                   });
}

} // namespace

SettingsTree::SettingsTree()
  : state_(std::make_unique<State>())
{
}

SettingsTree::~SettingsTree() = default;
SettingsTree::SettingsTree(SettingsTree&&) noexcept = default;
SettingsTree&
SettingsTree::operator=(SettingsTree&&) noexcept = default;

core::Findings
SettingsTree::Load(std::string_view aText, const std::string& aFile)
{
  state_ = std::make_unique<State>();
  state_->file_ = aFile;
  core::Findings findings;
  for (const FileNode& node : ReadSettingsFile(aText, aFile, findings)) {
    state_->Put(node.path_, node.content_);
  }
  core::Findings further = state_->CheckAll();
  findings.insert(findings.end(), further.begin(), further.end());
  SortByPlace(findings);
  return findings;
}

core::Findings
SettingsTree::Load(const SettingsNodes& aNodes)
{
  state_ = std::make_unique<State>();
  core::Findings findings;
  for (const auto& [text, toml] : aNodes) {
    const NodeEdit edit{ text, toml, false };
    state_->Apply(ReadEdits({ &edit, 1 }, findings));
  }
  core::Findings further = state_->CheckAll();
  findings.insert(findings.end(), further.begin(), further.end());
  return findings;
}

core::Findings
SettingsTree::Update(std::span<const NodeEdit> aEdits)
{
  core::Findings findings;
  const std::vector<ReadEdit> edits = ReadEdits(aEdits, findings);
  if (!findings.empty()) {
    return findings;
  }
  findings = state_->ApplyChecked(edits, true);
  if (findings.empty()) {
    state_->Forget(edits);
  }
  return findings;
}

core::Findings
SettingsTree::Check(std::span<const NodeEdit> aEdits)
{
  core::Findings findings;
  const std::vector<ReadEdit> edits = ReadEdits(aEdits, findings);
  core::Findings further = state_->ApplyChecked(edits, false);
  findings.insert(findings.end(), further.begin(), further.end());
  return findings;
}

core::Findings
SettingsTree::Follow(std::span<const NodeEdit> aEdits)
{
  core::Findings findings;
  const std::vector<ReadEdit> edits = ReadEdits(aEdits, findings);
  state_->Apply(edits);
  state_->Forget(edits);
  return findings;
}

SettingsTree::DeploymentPtr
SettingsTree::Deployment(const core::DeploymentId& aId) const
{
  const std::lock_guard lock(state_->cacheMutex_);
  auto& cache = state_->cache_;
  if (const auto found = cache.find(aId.Value()); found != cache.end()) {
    return found->second;
  }
  const NodeIndex node = state_->nodes_.Find(NodeKind::Deployment, aId.Value());
  if (node == kNoNode) {
    return nullptr;
  }
  auto settings = std::make_shared<const DeploymentSettings>(
    ReadDeployment(state_->nodes_, node));
  if (cache.size() >= kCacheLimit) {
    cache.clear();
  }
  cache.emplace(aId.Value(), settings);
  return settings;
}

std::optional<ServerSettings>
SettingsTree::Server(const core::ServerId& aId) const
{
  const NodeIndex node = state_->nodes_.Find(NodeKind::Server, aId.Value());
  if (node == kNoNode) {
    return std::nullopt;
  }
  return ReadServer(state_->nodes_, node);
}

std::optional<CallerSettings>
SettingsTree::Caller(const core::CallerId& aId) const
{
  const NodeIndex node = state_->nodes_.Find(NodeKind::Caller, aId.Value());
  if (node == kNoNode) {
    return std::nullopt;
  }
  return ReadCaller(state_->nodes_, node);
}

std::optional<ModelSettings>
SettingsTree::Model(const core::ModelName& aId) const
{
  const NodeIndex node = state_->nodes_.Find(NodeKind::Model, aId.Value());
  if (node == kNoNode) {
    return std::nullopt;
  }
  return ReadModel(state_->nodes_, node);
}

StoreSettings
SettingsTree::Store() const
{
  return ReadStore(state_->nodes_);
}

PlatformSettings
SettingsTree::Platform() const
{
  return ReadPlatform(state_->nodes_);
}

std::optional<core::CallerId>
SettingsTree::CallerByKey(std::string_view aSha256) const
{
  const auto found = state_->callerKeys_.find(std::string(aSha256));
  if (found == state_->callerKeys_.end()) {
    return std::nullopt;
  }
  return core::CallerId(state_->nodes_.NodeName(found->second.front()));
}

std::optional<core::DeploymentId>
SettingsTree::ServiceForPath(std::string_view aPath) const
{
  std::string prefix(aPath.substr(0, aPath.find('?')));
  while (!prefix.empty()) {
    const auto found = state_->prefixes_.find(prefix);
    if (found != state_->prefixes_.end()) {
      return core::DeploymentId(state_->nodes_.NodeName(found->second.front()));
    }
    const std::size_t slash = prefix.rfind('/');
    prefix.resize(slash == std::string::npos ? 0 : slash);
  }
  return std::nullopt;
}

std::vector<std::string>
SettingsTree::Names(NodeKind aKind) const
{
  std::vector<std::string> names;
  state_->nodes_.ForEach(aKind, [&](NodeIndex aNode) {
    names.push_back(state_->nodes_.NodeName(aNode));
  });
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<core::DeploymentId>
SettingsTree::Deployments() const
{
  std::vector<core::DeploymentId> ids;
  for (std::string& name : Names(NodeKind::Deployment)) {
    ids.emplace_back(std::move(name));
  }
  return ids;
}

std::vector<ServerSettings>
SettingsTree::Servers() const
{
  std::vector<ServerSettings> servers;
  for (std::string& name : Names(NodeKind::Server)) {
    servers.push_back(*Server(core::ServerId(std::move(name))));
  }
  return servers;
}

std::vector<CallerSettings>
SettingsTree::Callers() const
{
  std::vector<CallerSettings> callers;
  for (std::string& name : Names(NodeKind::Caller)) {
    callers.push_back(*Caller(core::CallerId(std::move(name))));
  }
  return callers;
}

bool
SettingsTree::Has(std::string_view aPath) const
{
  const auto path = ParseNodePath(aPath);
  return path && state_->nodes_.Find(*path) != kNoNode;
}

std::string
SettingsTree::ParentPath(std::string_view aPath) const
{
  const auto path = ParseNodePath(aPath);
  const NodeIndex node = path ? state_->nodes_.Find(*path) : kNoNode;
  const NodeIndex parent =
    node == kNoNode ? kNoNode : state_->nodes_.Parent(node);
  return parent == kNoNode ? std::string() : state_->nodes_.PathText(parent);
}

std::vector<EffectiveValue>
SettingsTree::Effective(std::string_view aPath) const
{
  const auto path = ParseNodePath(aPath);
  const NodeIndex node = path ? state_->nodes_.Find(*path) : kNoNode;
  std::vector<EffectiveValue> values;
  if (node == kNoNode) {
    return values;
  }
  for (std::size_t i = 0; i < kSettingsKeys.size(); ++i) {
    if ((kSettingsKeys[i].places_ & Bit(path->kind_)) == 0) {
      continue;
    }
    auto value = state_->nodes_.Value(node, static_cast<KeyIndex>(i));
    values.push_back({ kSettingsKeys[i].name_,
                       std::move(value.value_),
                       value.origin_ == kNoNode
                         ? "default"
                         : state_->nodes_.PathText(value.origin_) });
  }
  return values;
}

std::string
SettingsTree::OwnText(std::string_view aPath) const
{
  const auto path = ParseNodePath(aPath);
  const NodeIndex node = path ? state_->nodes_.Find(*path) : kNoNode;
  std::string text;
  if (node == kNoNode) {
    return text;
  }
  for (const Override& item : state_->nodes_.Content(node).overrides_) {
    text += std::string(kSettingsKeys[item.key_].name_) + " = " +
            TomlText(item.value_) + "\n";
  }
  return text;
}

std::size_t
SettingsTree::NodeCount() const
{
  return state_->nodes_.Count();
}

SplitSettings
SplitSettingsFile(std::string_view aText, const std::string& aFile)
{
  SplitSettings split;
  for (FileNode& node : ReadSettingsFile(aText, aFile, split.findings_)) {
    split.nodes_.emplace(node.path_.Text(), std::move(node.toml_));
  }
  return split;
}

std::vector<NodeEdit>
DiffSettings(const SettingsNodes& aFrom, const SettingsNodes& aTo)
{
  std::vector<NodeEdit> edits;
  for (const auto& [path, toml] : aTo) {
    const auto found = aFrom.find(path);
    if (found == aFrom.end() || found->second != toml) {
      edits.push_back({ path, toml, false });
    }
  }
  for (const auto& [path, toml] : aFrom) {
    if (!aTo.contains(path)) {
      edits.push_back({ path, {}, true });
    }
  }
  return edits;
}

} // namespace crocusslip::state
