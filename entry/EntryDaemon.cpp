#include "entry/EntryDaemon.hpp"

#include "core/Log.hpp"
#include "core/Random.hpp"
#include "transport/Daemon.hpp"

#include <thread>
#include <utility>

namespace crocusslip::entry {

namespace {

constexpr std::chrono::milliseconds kDrainPollInterval{ 20 };
/// How long no request must have been in progress before the listener closes.
/// Closing it earlier could drop requests that callers have sent but that have
/// not been read yet.
constexpr std::chrono::milliseconds kIdleBeforeClose{ 300 };

} // namespace

EntryDaemon::EntryDaemon(state::ProcessSettings aSettings)
  : settings_(std::move(aSettings))
  , revisions_(files_, settings_.dataFolder_)
{
}

EntryDaemon::~EntryDaemon() = default;

core::Status
EntryDaemon::Start()
{
  const core::Result<core::Revision> highest = revisions_.Load();
  if (!highest.Ok()) {
    return highest.Failure();
  }
  dispatcher_ = std::make_unique<Dispatcher>(settings_,
                                             client_,
                                             clock_,
                                             metrics_,
                                             revisions_,
                                             highest.Value(),
                                             core::DeviceSeed());
  const auto instance =
    clock_.WallNow().time_since_epoch() / std::chrono::microseconds(1);
  api_ = std::make_unique<CallerApi>(*dispatcher_,
                                     clock_,
                                     metrics_,
                                     settings_.host_.Value(),
                                     static_cast<std::uint64_t>(instance));
  transport::HttpServerSettings http;
  http.address_ = settings_.http_.host_;
  http.port_ = settings_.http_.port_;
  http.bodyLimit_ = settings_.limits_.body_.Count();
  http.bodyTimeout_ = std::chrono::duration_cast<std::chrono::milliseconds>(
    settings_.timers_.bodyWait_);
  http.requestLimit_ = settings_.limits_.requests_;
  http.tls_ = transport::ToTlsFiles(settings_.tls_);
  http_ = std::make_unique<transport::HttpServer>(
    http,
    [this](const std::shared_ptr<transport::HttpExchange>& aExchange) {
      api_->Handle(aExchange);
    },
    [this](core::RefusalReason aReason, std::string aDetail) {
      return api_->Refuse(aReason, std::move(aDetail));
    });
  dispatcher_->Start();
  core::Status listening = http_->Start();
  if (listening.Ok()) {
    core::Log(core::LogLevel::Info,
              "entry process started",
              { { "http", settings_.http_.Text() } });
  }
  return listening;
}

void
EntryDaemon::DrainAndStop()
{
  core::Log(core::LogLevel::Info, "draining");
  api_->ReportNotReady();
  http_->CloseConnections();
  const core::MonotonicTime readyGraceEnd =
    clock_.Now() + settings_.timers_.readyGrace_;
  while (clock_.Now() < readyGraceEnd) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  dispatcher_->Drain();
  const core::MonotonicTime drainDeadline =
    clock_.Now() + settings_.timers_.drainWait_;
  core::MonotonicTime lastBusy = clock_.Now();
  while (clock_.Now() < drainDeadline &&
         clock_.Now() - lastBusy < kIdleBeforeClose) {
    std::this_thread::sleep_for(kDrainPollInterval);
    if (dispatcher_->InProgress() > 0 || http_->InProgress() > 0) {
      lastBusy = clock_.Now();
    }
  }
  http_->Stop();
  dispatcher_->Stop();
  core::Log(core::LogLevel::Info, "entry process stopped");
}

} // namespace crocusslip::entry
