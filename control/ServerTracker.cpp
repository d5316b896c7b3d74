#include "control/ServerTracker.hpp"

#include "core/Log.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::control {

namespace {

using coordination::ServerStanding;

constexpr std::chrono::milliseconds kScrapeTimeout{ 2000 };
constexpr std::size_t kMetricsLimit = 1024 * 1024;
constexpr std::size_t kHostListLimit = 8 * 1024 * 1024;

ServerStanding
StandingOf(const coordination::LivenessView& aView)
{
  switch (aView.standing_) {
    case coordination::Standing::Live:
      return ServerStanding::Live;
    case coordination::Standing::Gone:
      return ServerStanding::Gone;
    case coordination::Standing::Leaving:
      break;
  }
  // Refused connections alone are a fault that may pass.
  const bool onlyRefused =
    aView.reasons_.size() == 1 &&
    aView.reasons_.contains(coordination::LeavingReason::ConnectionRefused);
  const bool onlyDrained =
    aView.reasons_.size() == 1 &&
    aView.reasons_.contains(coordination::LeavingReason::Drained);
  return onlyRefused   ? ServerStanding::Suspect
         : onlyDrained ? ServerStanding::Drained
                       : ServerStanding::Leaving;
}

std::string
ReasonOf(const coordination::LivenessView& aView)
{
  std::string reason;
  for (const auto& [sign, since] : aView.reasons_) {
    reason += (reason.empty() ? "" : ", ") + std::string(Name(sign));
  }
  return reason;
}

coordination::Standing
ToStanding(protocol::HostState aState)
{
  switch (aState) {
    case protocol::HostState::Live:
      return coordination::Standing::Live;
    case protocol::HostState::Leaving:
      return coordination::Standing::Leaving;
    case protocol::HostState::Gone:
      break;
  }
  return coordination::Standing::Gone;
}

/// The platform's name of the host; a server without one is its own host.
core::HostId
HostOf(const state::ServerSettings& aServer)
{
  return aServer.host_.Empty() ? core::HostId(aServer.id_.Value())
                               : aServer.host_;
}

} // namespace

ServerTracker::ServerTracker(const core::Clock& aClock,
                             transport::HttpClient& aClient)
  : clock_(aClock)
  , client_(aClient)
{
}

void
ServerTracker::SetServers(const std::vector<state::ServerSettings>& aServers)
{
  const std::lock_guard lock(mutex_);
  std::map<core::ServerId, Record> records;
  for (const state::ServerSettings& server : aServers) {
    Record record;
    const auto known = records_.find(server.id_);
    if (known != records_.end()) {
      record = std::move(known->second);
    }
    record.tracked_.settings_ = server;
    records.emplace(server.id_, std::move(record));
  }
  records_ = std::move(records);
  std::vector<coordination::KnownServer> known;
  known.reserve(aServers.size());
  for (const state::ServerSettings& server : aServers) {
    known.push_back({ server.id_, HostOf(server), server.failureDomain_ });
  }
  membership_.SetServers(known);
  Refresh();
}

void
ServerTracker::SetDrains(const state::DrainTable& aDrains)
{
  const std::lock_guard lock(mutex_);
  membership_.OnDrains(aDrains, clock_.Now());
  Refresh();
}

void
ServerTracker::ReportSigns(const core::ServerId& aServer,
                           const coordination::RequestOutcomes& aSigns)
{
  const std::lock_guard lock(mutex_);
  membership_.OnRequestOutcomes(aServer, aSigns, clock_.Now());
  Refresh();
}

void
ServerTracker::OnAnswered(const core::ServerId& aServer,
                          const std::string& aInstance)
{
  const std::lock_guard lock(mutex_);
  membership_.OnServerAnswered(aServer, aInstance, clock_.Now());
  Refresh();
}

// Copies the standings once the membership view has changed.
void
ServerTracker::Refresh()
{
  if (refreshed_ == membership_.Version()) {
    return;
  }
  refreshed_ = membership_.Version();
  for (auto& [id, record] : records_) {
    const coordination::LivenessView view = membership_.Server(id);
    const ServerStanding standing = StandingOf(view);
    record.tracked_.reason_ = ReasonOf(view);
    if (standing == record.tracked_.standing_) {
      continue;
    }
    record.tracked_.standing_ = standing;
    core::Log(
      core::LogLevel::Info,
      "standing of a backend server changed",
      { { "server", id.Value() },
        { "reason",
          record.tracked_.reason_.empty() ? "live"
                                          : record.tracked_.reason_ } });
  }
}

void
ServerTracker::Poll(const state::PlatformSettings& aPlatform,
                    core::Duration aScrapeInterval)
{
  const core::MonotonicTime now = clock_.Now();
  std::vector<std::pair<core::ServerId, std::string>> due;
  bool fetchHosts = false;
  {
    const std::lock_guard lock(mutex_);
    for (auto& [id, record] : records_) {
      const bool engine =
        record.tracked_.settings_.kind_ == state::ServerKind::Engine;
      if (engine && !record.scraping_ && record.scrapeNext_ <= now) {
        record.scraping_ = true;
        record.scrapeNext_ = now + aScrapeInterval;
        due.emplace_back(id, record.tracked_.settings_.address_);
      }
    }
    fetchHosts = !aPlatform.hostListUrl_.empty() && !fetchingHosts_ &&
                 hostListNext_ <= now;
    if (fetchHosts) {
      fetchingHosts_ = true;
      hostListNext_ = now + aPlatform.pollInterval_;
    }
  }
  for (const auto& [id, address] : due) {
    const protocol::HttpRequest request = std::visit(
      [](const auto& aDialect) { return aDialect.Metrics(); }, dialect_);
    client_.Fetch({ "http://" + address, kScrapeTimeout },
                  request,
                  kMetricsLimit,
                  [this, server = id](auto aAnswer, transport::Delivery) {
                    TakeLoad(server, aAnswer);
                  });
  }
  if (fetchHosts) {
    const std::string& url = aPlatform.hostListUrl_;
    const std::size_t path = url.find('/', url.find("://") + 3);
    protocol::HttpRequest request;
    request.method_ = "GET";
    request.path_ = path == std::string::npos ? "/" : url.substr(path);
    client_.Fetch(
      { url.substr(0, path), kScrapeTimeout },
      request,
      kHostListLimit,
      [this](auto aAnswer, transport::Delivery) { TakeHostList(aAnswer); });
  }
}

void
ServerTracker::TakeLoad(const core::ServerId& aServer,
                        const core::Result<protocol::HttpResponse>& aAnswer)
{
  const std::lock_guard lock(mutex_);
  const auto found = records_.find(aServer);
  if (found == records_.end()) {
    return;
  }
  found->second.scraping_ = false;
  if (!aAnswer.Ok()) {
    return;
  }
  const auto load = std::visit(
    [&](const auto& aDialect) { return aDialect.ReadMetrics(aAnswer.Value()); },
    dialect_);
  if (load) {
    found->second.tracked_.load_ = *load;
    found->second.tracked_.reportedAt_ = clock_.Now();
    found->second.tracked_.reported_ = true;
  }
}

void
ServerTracker::TakeHostList(const core::Result<protocol::HttpResponse>& aAnswer)
{
  const std::lock_guard lock(mutex_);
  fetchingHosts_ = false;
  if (!aAnswer.Ok() || aAnswer.Value().status_ != 200) {
    return;
  }
  const auto hosts = protocol::ReadHostList(aAnswer.Value().body_);
  if (!hosts.Ok()) {
    core::Log(core::LogLevel::Warning,
              "host list refused",
              { { "error", hosts.Failure().Message() } });
    return;
  }
  coordination::HostList list;
  list.version_ = ++listVersion_;
  for (const protocol::ListedHost& host : hosts.Value()) {
    list.hosts_.push_back({ host.host_, ToStanding(host.state_) });
  }
  membership_.OnHostList(list, clock_.Now());
  Refresh();
}

std::vector<TrackedServer>
ServerTracker::Servers() const
{
  const std::lock_guard lock(mutex_);
  std::vector<TrackedServer> servers;
  servers.reserve(records_.size());
  for (const auto& [id, record] : records_) {
    servers.push_back(record.tracked_);
  }
  return servers;
}

std::vector<core::ServerId>
ServerTracker::Reclaimed() const
{
  const std::lock_guard lock(mutex_);
  return membership_.GoneServers();
}

std::uint64_t
ServerTracker::Version() const
{
  const std::lock_guard lock(mutex_);
  return membership_.Version();
}

} // namespace crocusslip::control
