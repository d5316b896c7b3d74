#include "control/ControlDaemon.hpp"
#include "core/Log.hpp"
#include "transport/Daemon.hpp"

#include <iostream>

int
main(int argc, char** argv)
{
  using namespace crocusslip;
  transport::DaemonOptions options;
  if (const auto code = transport::ReadCommandLine(
        argc, argv, "crocusslip-control", true, options)) {
    return *code;
  }
  state::ProcessSettings settings;
  if (const auto code = transport::LoadSettings(
        options, state::ProgramKind::Control, settings)) {
    return *code;
  }
  control::OperatorRoles roles = control::OperatorRoles::Open();
  if (!settings.operatorTokens_.empty()) {
    const auto text = transport::ReadFile(settings.operatorTokens_);
    core::Findings findings;
    roles = control::OperatorRoles::Parse(
      text.value_or(""), settings.operatorTokens_, findings);
    for (const core::Finding& finding : findings) {
      std::cerr << finding.Text() << "\n";
    }
    if (!text || !findings.empty()) {
      return transport::kExitBadInput;
    }
  }
  transport::BlockSignals();
  transport::StartHttpThreads(settings.ioThreads_);
  control::ControlDaemon daemon(std::move(settings), std::move(roles));
  const core::Status started = daemon.Start(options.bootstrap_);
  if (!started.Ok()) {
    std::cerr << "crocusslip-control: " << started.Failure().Message() << "\n";
    return transport::kExitFailed;
  }
  transport::WaitForSignal(daemon.Halted());
  const bool halted = daemon.Halted().load();
  daemon.Stop();
  return halted ? transport::kExitFailed : transport::kExitOk;
}
