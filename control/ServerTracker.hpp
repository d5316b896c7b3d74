#pragma once

#include "coordination/CapacityView.hpp"
#include "coordination/Membership.hpp"
#include "core/Clock.hpp"
#include "protocol/EngineDialect.hpp"
#include "protocol/HostList.hpp"
#include "state/SettingsTree.hpp"
#include "state/StateMachine.hpp"
#include "transport/HttpClient.hpp"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace crocusslip::control {

struct TrackedServer
{
  state::ServerSettings settings_;
  coordination::ServerStanding standing_ = coordination::ServerStanding::Live;
  /// Why the server is not live.
  std::string reason_;
  protocol::EngineLoad load_;
  core::MonotonicTime reportedAt_;
  bool reported_ = false;
};

/// What this member knows of the backend servers: the membership view, which
/// joins the platform's list, drains and what requests show, and load reports.
/// Fetches the list and scrapes the engines' load.
class ServerTracker
{
public:
  ServerTracker(const core::Clock& aClock, transport::HttpClient& aClient);

  void SetServers(const std::vector<state::ServerSettings>& aServers);
  void SetDrains(const state::DrainTable& aDrains);
  /// What requests of entry hosts met.
  void ReportSigns(const core::ServerId& aServer,
                   const coordination::RequestOutcomes& aSigns);
  /// The server answered a contact of this member.
  void OnAnswered(const core::ServerId& aServer, const std::string& aInstance);
  /// Starts scrapes and the fetch of the host list that are due.
  void Poll(const state::PlatformSettings& aPlatform,
            core::Duration aScrapeInterval);

  std::vector<TrackedServer> Servers() const;
  /// Calls aVisit(server) for each server, under the tracker's lock.
  template<typename Visit>
  void ForEach(Visit aVisit) const
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [id, record] : records_) {
      aVisit(record.tracked_);
    }
  }
  /// Servers on hosts that the platform reports gone.
  std::vector<core::ServerId> Reclaimed() const;
  /// Grows with each change of a standing.
  std::uint64_t Version() const;

private:
  struct Record
  {
    TrackedServer tracked_;
    core::MonotonicTime scrapeNext_;
    bool scraping_ = false;
  };

  void Refresh();
  void TakeLoad(const core::ServerId& aServer,
                const core::Result<protocol::HttpResponse>& aAnswer);
  void TakeHostList(const core::Result<protocol::HttpResponse>& aAnswer);

  const core::Clock& clock_;
  transport::HttpClient& client_;
  protocol::EngineDialect dialect_;
  /// Lock order 2: taken after the controller's lock, before the state lock.
  mutable std::mutex mutex_;
  std::map<core::ServerId, Record> records_;
  coordination::Membership membership_;
  std::uint64_t refreshed_ = 0;
  std::uint64_t listVersion_ = 0;
  core::MonotonicTime hostListNext_;
  bool fetchingHosts_ = false;
};

} // namespace crocusslip::control
