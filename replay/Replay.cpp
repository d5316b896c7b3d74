#include "replay/Replay.hpp"

#include "replay/BackendStandIn.hpp"
#include "replay/ControlModel.hpp"
#include "replay/EntryHostModel.hpp"
#include "replay/EventQueue.hpp"
#include "replay/Recorder.hpp"

#include <chrono>
#include <map>
#include <memory>
#include <set>

namespace crocusslip::replay {

namespace {

using namespace std::chrono_literals;
using coordination::ServerStanding;
using coordination::ServerState;
using protocol::TraceEventKind;

/// From the failure of a server until the leader knows that it is gone.
constexpr auto kFailureDetection = 1s;
/// Restart of an engine after a crash.
constexpr auto kEngineRestart = 30s;
/// A leaving server is reclaimed after this.
constexpr auto kReclaim = 2min;
/// From crash evidence to the quarantine entry at every entry host.
constexpr auto kQuarantineDelay = 1s;
/// Time after the end of the trace for requests in progress.
constexpr auto kDrainTime = 10min;

class Run
{
public:
  Run(const protocol::Trace& aTrace, const ReplayPolicy& aPolicy)
    : trace_(aTrace)
    , recorder_(aTrace)
    , backend_(aTrace.settings_, events_)
    , control_(aTrace.settings_,
               aPolicy,
               events_,
               backend_,
               recorder_,
               [this](const core::DeploymentId& aDeployment) {
                 for (const auto& host : hosts_) {
                   host->OnReplicas(aDeployment);
                 }
               })
  {
    for (std::uint32_t i = 0; i < aTrace.settings_.entryHosts_; ++i) {
      hosts_.push_back(std::make_unique<EntryHostModel>(
        i,
        EntryHostContext{
          trace_,
          events_,
          backend_,
          control_,
          recorder_,
          [this](const core::ServerId& aServer) { OnCrash(aServer); },
          [this](const std::vector<coordination::CrashEvidence>& aEvidence) {
            OnEvidence(aEvidence);
          } },
        aTrace.settings_.seed_ + i));
    }
  }

  Measures Execute()
  {
    LearnHistory();
    events_.RunUntil(core::MonotonicTime(trace_.settings_.replayFrom_));
    control_.Start();
    for (const protocol::TraceEvent& event : trace_.events_) {
      events_.At(core::MonotonicTime(event.time_),
                 [this, &event] { Apply(event); });
    }
    ScheduleArrival();
    events_.RunUntil(
      core::MonotonicTime(trace_.settings_.end_ + core::Duration(kDrainTime)));
    return recorder_.Finish(events_.Now());
  }

private:
  void LearnHistory()
  {
    while (next_ < trace_.requests_.size() &&
           trace_.requests_[next_].time_ < trace_.settings_.replayFrom_) {
      const protocol::TraceRequest& request = trace_.requests_[next_++];
      control_.OnUse(request.deployment_, core::MonotonicTime(request.time_));
      recorder_.ColdStarts().OnUse(request.deployment_);
    }
  }

  void ScheduleArrival()
  {
    if (next_ == trace_.requests_.size()) {
      return;
    }
    const std::size_t index = next_++;
    const protocol::TraceRequest& request = trace_.requests_[index];
    events_.At(core::MonotonicTime(request.time_), [this, index, &request] {
      control_.OnUse(request.deployment_, events_.Now());
      hosts_[request.entryHost_]->Arrive(index);
      recorder_.ColdStarts().OnUse(request.deployment_);
      ScheduleArrival();
    });
  }

  const protocol::TraceServer* Find(const core::ServerId& aServer) const
  {
    for (const protocol::TraceServer& server : trace_.settings_.servers_) {
      if (server.id_ == aServer) {
        return &server;
      }
    }
    return nullptr;
  }

  template<typename Action>
  void ForDomain(const core::FailureDomainId& aDomain, Action aAction)
  {
    for (const protocol::TraceServer& server : trace_.settings_.servers_) {
      if (server.failureDomain_ == aDomain) {
        aAction(server.id_);
      }
    }
  }

  void Apply(const protocol::TraceEvent& aEvent)
  {
    switch (aEvent.kind_) {
      case TraceEventKind::StoreSlowed:
        backend_.SetStoreFactor(aEvent.factor_);
        break;
      case TraceEventKind::StoreRestored:
        backend_.SetStoreFactor(1.0);
        break;
      case TraceEventKind::FailureDomainLost:
        ForDomain(aEvent.failureDomain_,
                  [this](const core::ServerId& aServer) { Kill(aServer); });
        break;
      case TraceEventKind::FailureDomainRestored:
        ForDomain(aEvent.failureDomain_,
                  [this](const core::ServerId& aServer) { Restore(aServer); });
        break;
      case TraceEventKind::ServerLeaving:
        Leave(aEvent.server_);
        break;
      case TraceEventKind::ServerKilled:
        Kill(aEvent.server_);
        break;
      case TraceEventKind::ServerRestored:
        Restore(aEvent.server_);
        break;
    }
  }

  void SetState(const core::ServerId& aServer,
                ServerStanding aStanding,
                ServerState aState)
  {
    for (const auto& host : hosts_) {
      host->SetServerState(aServer, aState);
    }
    control_.SetStanding(aServer, aStanding);
  }

  void Kill(const core::ServerId& aServer)
  {
    if (!down_.insert(aServer).second) {
      return;
    }
    SetState(aServer, ServerStanding::Suspect, ServerState::Failed);
    backend_.Kill(aServer);
    for (const auto& host : hosts_) {
      host->OnServerKilled(aServer);
    }
    events_.After(kFailureDetection,
                  [this, aServer] { control_.OnServerGone(aServer); });
  }

  void Restore(const core::ServerId& aServer)
  {
    if (down_.erase(aServer) == 0) {
      return;
    }
    for (const auto& host : hosts_) {
      host->SetServerState(aServer, ServerState::Live);
    }
    control_.OnServerRestored(*Find(aServer));
  }

  void Leave(const core::ServerId& aServer)
  {
    SetState(aServer, ServerStanding::Leaving, ServerState::Leaving);
    events_.After(kReclaim, [this, aServer] { Kill(aServer); });
  }

  void OnCrash(const core::ServerId& aServer)
  {
    if (down_.contains(aServer)) {
      return;
    }
    recorder_.OnServerLostToRequest();
    Kill(aServer);
    events_.After(kEngineRestart, [this, aServer] { Restore(aServer); });
  }

  void OnEvidence(const std::vector<coordination::CrashEvidence>& aEvidence)
  {
    for (const coordination::CrashEvidence& evidence : aEvidence) {
      crashes_[evidence.fingerprint_].insert(evidence.server_);
    }
    events_.After(kQuarantineDelay, [this] {
      std::vector<coordination::QuarantineEntry> entries;
      for (const auto& [fingerprint, servers] : crashes_) {
        entries.push_back(
          { fingerprint, static_cast<std::uint32_t>(servers.size()) });
      }
      for (const auto& host : hosts_) {
        host->SetQuarantine(entries);
      }
    });
  }

  const protocol::Trace& trace_;
  EventQueue events_;
  Recorder recorder_;
  BackendStandIn backend_;
  std::vector<std::unique_ptr<EntryHostModel>> hosts_;
  ControlModel control_;
  std::size_t next_ = 0;
  std::set<core::ServerId> down_;
  std::map<core::Digest, std::set<core::ServerId>> crashes_;
};

} // namespace

Measures
ReplayTrace(const protocol::Trace& aTrace, const ReplayPolicy& aPolicy)
{
  return Run(aTrace, aPolicy).Execute();
}

} // namespace crocusslip::replay
