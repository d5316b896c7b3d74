#include "Control.h"
#include "entry/Dispatcher.hpp"

#include <utility>

namespace crocusslip::entry {

using core::RefusalReason;

Access
Dispatcher::CheckAccess(const core::DeploymentId& aDeployment,
                        const std::string& aApiKeySha256) const
{
  Access access;
  const auto refuse = [&](RefusalReason aReason, std::string aDetail) {
    access.refused_ = protocol::Problem{
      aReason, core::Ran::NotRun, std::move(aDetail), std::nullopt
    };
    return access;
  };
  if (!lease_.MayServe(clock_.Now())) {
    access =
      refuse(RefusalReason::SettingsLeaseExpired,
             "this host holds no valid settings lease; its settings may be "
             "outdated");
    access.refused_->retryAfter_ = std::chrono::seconds(1);
    return access;
  }
  access.settings_ = tree_.Deployment(aDeployment);
  if (!access.settings_) {
    return refuse(RefusalReason::UnknownDeployment,
                  "there is no deployment " + aDeployment.Value());
  }
  access.caller_ = core::CallerId("anonymous");
  if (!aApiKeySha256.empty()) {
    const auto caller = tree_.CallerByKey(aApiKeySha256);
    if (!caller) {
      return refuse(RefusalReason::Unauthorized, "the key is not known");
    }
    access.caller_ = *caller;
    if (const auto settings = tree_.Caller(*caller)) {
      access.priority_ = settings->priority_;
    }
  } else if (!access.settings_->anyCaller_) {
    return refuse(RefusalReason::Unauthorized, "a key is needed");
  }
  if (!access.settings_->MayCall(access.caller_)) {
    return refuse(RefusalReason::Forbidden,
                  "the caller may not use this deployment");
  }
  access.priority_ += access.settings_->priority_;
  return access;
}

Access
Dispatcher::FindDeployment(const core::DeploymentId& aDeployment,
                           const std::string& aApiKeySha256) const
{
  const std::lock_guard lock(mutex_);
  Access access = CheckAccess(aDeployment, aApiKeySha256);
  const bool service = access.settings_ && access.settings_->kind_ ==
                                             state::DeploymentKind::Service;
  if (service && !access.refused_) {
    access.refused_ = protocol::Problem{ RefusalReason::UnknownDeployment,
                                         core::Ran::NotRun,
                                         "the deployment is a plain service",
                                         std::nullopt };
  }
  return access;
}

Access
Dispatcher::FindService(const std::string& aPath,
                        const std::string& aApiKeySha256) const
{
  const std::lock_guard lock(mutex_);
  const auto service = tree_.ServiceForPath(aPath);
  if (service || !lease_.MayServe(clock_.Now())) {
    return CheckAccess(service.value_or(core::DeploymentId()), aApiKeySha256);
  }
  Access access;
  access.refused_ = protocol::Problem{ RefusalReason::UnknownRoute,
                                       core::Ran::NotRun,
                                       "no service answers this path",
                                       std::nullopt };
  return access;
}

std::optional<std::vector<core::DeploymentId>>
Dispatcher::ModelsFor(const std::string& aApiKeySha256) const
{
  const std::lock_guard lock(mutex_);
  const auto caller = tree_.CallerByKey(aApiKeySha256);
  if (!caller && !aApiKeySha256.empty()) {
    return std::nullopt;
  }
  std::vector<core::DeploymentId> models;
  for (const core::DeploymentId& id : tree_.Deployments()) {
    const auto deployment = tree_.Deployment(id);
    const bool allowed =
      deployment && deployment->kind_ != state::DeploymentKind::Service &&
      (deployment->anyCaller_ || (caller && deployment->MayCall(*caller)));
    if (allowed) {
      models.push_back(id);
    }
  }
  return models;
}

} // namespace crocusslip::entry
