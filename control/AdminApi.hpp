#pragma once

#include "control/ControlService.hpp"
#include "control/DecisionLog.hpp"
#include "control/Group.hpp"
#include "control/OperatorRoles.hpp"
#include "control/ServerTracker.hpp"
#include "core/WorkerPool.hpp"
#include "state/ProcessSettings.hpp"
#include "transport/HttpServer.hpp"

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace crocusslip::control {

/// The operators' HTTP API under /admin/v1, with liveness, readiness and
/// metrics beside it. Requests that read or change the agreed state are
/// answered by the leader; other members name it.
class AdminApi
{
public:
  AdminApi(Group& aGroup,
           ControlService& aService,
           ServerTracker& aServers,
           DecisionLog& aLog,
           core::MetricsRegistry& aMetrics,
           const state::ProcessSettings& aProcess,
           OperatorRoles aRoles);
  ~AdminApi();
  AdminApi(const AdminApi&) = delete;
  AdminApi& operator=(const AdminApi&) = delete;

  void Handle(const std::shared_ptr<transport::HttpExchange>& aExchange);

private:
  struct Route;

  protocol::HttpResponse Answer(const protocol::HttpRequest& aRequest);
  protocol::HttpResponse Dispatch(const protocol::HttpRequest& aRequest,
                                  const Operator& aOperator);
  protocol::HttpResponse GetStatus(const protocol::HttpRequest& aRequest,
                                   const Operator& aOperator);
  protocol::HttpResponse GetDeployments(const protocol::HttpRequest& aRequest,
                                        const Operator& aOperator);
  protocol::HttpResponse GetReplicas(const protocol::HttpRequest& aRequest,
                                     const Operator& aOperator);
  protocol::HttpResponse GetHosts(const protocol::HttpRequest& aRequest,
                                  const Operator& aOperator);
  protocol::HttpResponse GetMembers(const protocol::HttpRequest& aRequest,
                                    const Operator& aOperator);
  protocol::HttpResponse GetWhy(const protocol::HttpRequest& aRequest,
                                const Operator& aOperator);
  protocol::HttpResponse GetConfig(const protocol::HttpRequest& aRequest,
                                   const Operator& aOperator);
  protocol::HttpResponse GetHistory(const protocol::HttpRequest& aRequest,
                                    const Operator& aOperator);
  protocol::HttpResponse GetQuarantine(const protocol::HttpRequest& aRequest,
                                       const Operator& aOperator);
  protocol::HttpResponse GetAudit(const protocol::HttpRequest& aRequest,
                                  const Operator& aOperator);
  protocol::HttpResponse PostConfig(const protocol::HttpRequest& aRequest,
                                    const Operator& aOperator);
  protocol::HttpResponse PostDrain(const protocol::HttpRequest& aRequest,
                                   const Operator& aOperator);
  protocol::HttpResponse PostRelease(const protocol::HttpRequest& aRequest,
                                     const Operator& aOperator);
  protocol::HttpResponse PostMembers(const protocol::HttpRequest& aRequest,
                                     const Operator& aOperator);
  protocol::HttpResponse PostTransfer(const protocol::HttpRequest& aRequest,
                                      const Operator& aOperator);
  protocol::HttpResponse PostLogLevel(const protocol::HttpRequest& aRequest,
                                      const Operator& aOperator);
  protocol::HttpResponse PostFault(const protocol::HttpRequest& aRequest,
                                   const Operator& aOperator);
  protocol::HttpResponse NotLeader() const;
  std::string AdminAddressOf(core::MemberId aMember) const;
  /// Brings the tree to the revision of the state; treeMutex_ is held.
  void RefreshTree();
  core::Findings CheckEdits(const std::vector<state::NodeEdit>& aEdits,
                            core::Revision aRevision);
  void FollowEdits(const std::vector<state::NodeEdit>& aEdits,
                   core::Revision aFrom,
                   core::Revision aTo);

  Group& group_;
  ControlService& service_;
  ServerTracker& servers_;
  DecisionLog& log_;
  core::MetricsRegistry& metrics_;
  const state::ProcessSettings& process_;
  const OperatorRoles roles_;

  /// Lock order 1b: held while edits are checked, before the state lock.
  std::mutex treeMutex_;
  state::SettingsTree tree_;
  std::optional<core::Revision> treeRevision_;

  /// Declared last: its tasks use everything above.
  core::WorkerPool workers_;
};

} // namespace crocusslip::control
