#pragma once

#include "core/Error.hpp"
#include "state/ProcessSettings.hpp"
#include "transport/HttpServer.hpp"

#include <atomic>
#include <optional>
#include <string>

/// What every daemon does at its start and end.
namespace crocusslip::transport {

/// Exit codes of the daemons.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;
inline constexpr int kExitBadInput = 2;

struct DaemonOptions
{
  std::string configFile_;
  bool checkOnly_ = false;
  bool bootstrap_ = false;
};

/// Reads the command line; prints help, version or an error itself and returns
/// the exit code in that case.
std::optional<int>
ReadCommandLine(int argc,
                char** argv,
                const std::string& aProgram,
                bool aHasBootstrap,
                DaemonOptions& aOptions);

/// Reads the settings file, checks it and the modes of secret files, and
/// starts the log. Prints all findings and returns the exit code if any.
std::optional<int>
LoadSettings(const DaemonOptions& aOptions,
             state::ProgramKind aProgram,
             state::ProcessSettings& aSettings);

/// The whole file, or nothing.
std::optional<std::string>
ReadFile(const std::string& aFile);

TlsFiles
ToTlsFiles(const state::TlsSettings& aSettings);

/// Blocks SIGTERM and SIGINT for the process; call before threads start.
void
BlockSignals();

/// Waits for SIGTERM or SIGINT, or until aStop is set.
void
WaitForSignal(const std::atomic<bool>& aStop);

} // namespace crocusslip::transport
