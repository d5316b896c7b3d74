#pragma once

#include "core/Finding.hpp"
#include "core/Ids.hpp"
#include "state/Command.hpp"
#include "state/SettingsSchema.hpp"
#include "state/SettingsViews.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace crocusslip::state {

/// Path -> TOML text of the node (keys and values without a table header), as
/// kept in the replicated settings table. Paths: `root`, `group.NAME`,
/// `deployment.NAME`, `server.NAME`, `caller.NAME`, `model.NAME`, `store` and
/// `platform`.
using SettingsNodes = std::map<std::string, std::string>;

/// The value in force for one key of a node, and the node that set it.
struct EffectiveValue
{
  std::string_view key_;
  SettingsValue value_;
  /// Path of the node that set the value, or "default".
  std::string origin_;
};

struct SplitSettings;

/// The operators' tree of settings. Nodes keep only what they override and
/// share equal texts; effective values are computed on demand. Reads may run
/// concurrently with each other; a change needs exclusive access.
class SettingsTree
{
public:
  using DeploymentPtr = std::shared_ptr<const DeploymentSettings>;

  SettingsTree();
  ~SettingsTree();
  SettingsTree(SettingsTree&&) noexcept;
  SettingsTree& operator=(SettingsTree&&) noexcept;

  /// Replaces the whole tree by a settings file. With findings, the nodes
  /// that could be read are kept, so that further commands can show them.
  core::Findings Load(std::string_view aText, const std::string& aFile);
  /// Replaces the whole tree by the nodes of the settings table.
  core::Findings Load(const SettingsNodes& aNodes);

  /// Applies all edits, or none when any of them leads to a finding.
  core::Findings Update(std::span<const NodeEdit> aEdits);
  /// Findings that the edits would lead to; the tree stays as it is.
  core::Findings Check(std::span<const NodeEdit> aEdits);
  /// Applies edits that are already in force elsewhere. A value that this
  /// version does not understand is reported and skipped.
  core::Findings Follow(std::span<const NodeEdit> aEdits);

  /// Null when there is no such deployment.
  DeploymentPtr Deployment(const core::DeploymentId& aId) const;
  std::optional<ServerSettings> Server(const core::ServerId& aId) const;
  std::optional<CallerSettings> Caller(const core::CallerId& aId) const;
  std::optional<ModelSettings> Model(const core::ModelName& aId) const;
  StoreSettings Store() const;
  PlatformSettings Platform() const;

  /// The caller whose key has this SHA-256 (hexadecimal, lower case).
  std::optional<core::CallerId> CallerByKey(std::string_view aSha256) const;
  /// The service whose path prefix is the longest that fits the path.
  std::optional<core::DeploymentId> ServiceForPath(
    std::string_view aPath) const;

  /// All names of one kind, in order.
  std::vector<std::string> Names(NodeKind aKind) const;
  std::vector<core::DeploymentId> Deployments() const;
  std::vector<ServerSettings> Servers() const;
  std::vector<CallerSettings> Callers() const;

  bool Has(std::string_view aPath) const;
  /// The parent's path; empty for a root node.
  std::string ParentPath(std::string_view aPath) const;
  /// Every key that the node accepts, with its effective value and origin;
  /// empty when there is no such node.
  std::vector<EffectiveValue> Effective(std::string_view aPath) const;
  /// The node's own values as TOML text.
  std::string OwnText(std::string_view aPath) const;

  std::size_t NodeCount() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

/// The nodes of a settings file, with the mistakes in their form.
struct SplitSettings
{
  SettingsNodes nodes_;
  core::Findings findings_;
};

/// Cuts a settings file into nodes, e.g. to send it as edits.
SplitSettings
SplitSettingsFile(std::string_view aText, const std::string& aFile);

/// The edits that turn one set of nodes into another.
std::vector<NodeEdit>
DiffSettings(const SettingsNodes& aFrom, const SettingsNodes& aTo);

} // namespace crocusslip::state
