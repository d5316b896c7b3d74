#include "control/SettingsFollower.hpp"

#include "state/NodeTable.hpp"

namespace crocusslip::control {

namespace {

void
Note(const std::string& aPath, SettingsNews& aNews)
{
  const auto path = state::ParseNodePath(aPath);
  if (!path) {
    return;
  }
  switch (path->kind_) {
    case state::NodeKind::Deployment:
      aNews.deployments_.emplace_back(path->name_);
      break;
    case state::NodeKind::Root:
    case state::NodeKind::Group:
    case state::NodeKind::Model:
      aNews.allDeployments_ = true;
      break;
    case state::NodeKind::Server:
      // A deployment's engines are those of its pool.
      aNews.servers_ = true;
      aNews.allDeployments_ = true;
      break;
    case state::NodeKind::Store:
      aNews.store_ = true;
      break;
    case state::NodeKind::Caller:
    case state::NodeKind::Platform:
      break;
  }
}

} // namespace

SettingsNews
FollowDifference(state::SettingsTree& aTree,
                 const state::SettingsDifference& aDifference)
{
  SettingsNews news;
  if (!aDifference.complete_) {
    for (const state::NodeEdit& edit : aDifference.nodes_) {
      Note(edit.path_, news);
    }
    news.findings_ = aTree.Follow(aDifference.nodes_);
    return news;
  }
  state::SettingsNodes nodes;
  for (const state::NodeEdit& edit : aDifference.nodes_) {
    if (!edit.removed_) {
      nodes.emplace(edit.path_, edit.toml_);
    }
  }
  news.findings_ = aTree.Load(nodes);
  news.allDeployments_ = true;
  news.servers_ = true;
  news.store_ = true;
  return news;
}

} // namespace crocusslip::control
