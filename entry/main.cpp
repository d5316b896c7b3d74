#include "entry/EntryDaemon.hpp"
#include "transport/Daemon.hpp"

#include <iostream>

int
main(int argc, char** argv)
{
  using namespace crocusslip;
  transport::DaemonOptions options;
  if (const auto code = transport::ReadCommandLine(
        argc, argv, "crocusslip-entry", false, options)) {
    return *code;
  }
  state::ProcessSettings settings;
  if (const auto code =
        transport::LoadSettings(options, state::ProgramKind::Entry, settings)) {
    return *code;
  }
  transport::BlockSignals();
  transport::StartHttpThreads(settings.ioThreads_);
  entry::EntryDaemon daemon(std::move(settings));
  const core::Status started = daemon.Start();
  if (!started.Ok()) {
    std::cerr << "crocusslip-entry: " << started.Failure().Message() << "\n";
    return transport::kExitFailed;
  }
  const std::atomic<bool> never{ false };
  transport::WaitForSignal(never);
  daemon.DrainAndStop();
  return transport::kExitOk;
}
