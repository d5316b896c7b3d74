#pragma once

#include "entry/CallerApi.hpp"
#include "entry/Dispatcher.hpp"
#include "state/PosixFileSystem.hpp"
#include "transport/HttpServer.hpp"

#include <memory>

namespace crocusslip::entry {

/// Owns and wires the components of one entry process.
class EntryDaemon
{
public:
  explicit EntryDaemon(state::ProcessSettings aSettings);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  core::Status Start();
  /// Reports not ready and keeps serving for a grace period, in which the load
  /// balancer notices; then refuses new requests and waits for those in
  /// progress.
  void DrainAndStop();

private:
  const state::ProcessSettings settings_;
  const core::SystemClock clock_;
  core::MetricsRegistry metrics_;
  state::PosixFileSystem files_;
  RevisionFile revisions_;
  transport::HttpClient client_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<CallerApi> api_;
  std::unique_ptr<transport::HttpServer> http_;
};

} // namespace crocusslip::entry
