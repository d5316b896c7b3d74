#include "transport/Daemon.hpp"

#include "core/Log.hpp"
#include "protocol/Version.hpp"

#include <boost/program_options.hpp>

#include <sys/stat.h>

#include <csignal>
#include <ctime>
#include <fstream>
#include <iostream>
#include <sstream>

namespace crocusslip::transport {

namespace {

constexpr long kSignalPollNanoseconds = 100'000'000;

sigset_t
EndSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void
Print(const core::Findings& aFindings)
{
  for (const core::Finding& finding : aFindings) {
    std::cerr << finding.Text() << "\n";
  }
}

} // namespace

std::optional<int>
ReadCommandLine(int argc,
                char** argv,
                const std::string& aProgram,
                bool aHasBootstrap,
                DaemonOptions& aOptions)
{
  namespace po = boost::program_options;
  po::options_description options("Usage: " + aProgram + " --config FILE");
  options.add_options()(
    "config", po::value(&aOptions.configFile_), "settings file (TOML)")(
    "check", po::bool_switch(&aOptions.checkOnly_), "check the settings, end")(
    "help,h", "print this help")("version", "print the version");
  if (aHasBootstrap) {
    options.add_options()(
      "bootstrap",
      po::bool_switch(&aOptions.bootstrap_),
      "first start of a new group: an empty data folder begins with the "
      "members of the settings file; without it an empty folder joins");
  }
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
      std::cout << options;
      return kExitOk;
    }
    if (values.count("version") != 0) {
      std::cout << aProgram << " " << protocol::kProductVersion << "\n";
      return kExitOk;
    }
    po::notify(values);
  } catch (const std::exception& error) {
    std::cerr << aProgram << ": " << error.what() << "\n";
    return kExitBadInput;
  }
  if (aOptions.configFile_.empty()) {
    std::cerr << aProgram << ": --config is needed\n";
    return kExitBadInput;
  }
  return std::nullopt;
}

std::optional<std::string>
ReadFile(const std::string& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  return file ? std::optional<std::string>(content.str()) : std::nullopt;
}

std::optional<int>
LoadSettings(const DaemonOptions& aOptions,
             state::ProgramKind aProgram,
             state::ProcessSettings& aSettings)
{
  const auto text = ReadFile(aOptions.configFile_);
  if (!text) {
    std::cerr << aOptions.configFile_ << ": cannot be read\n";
    return kExitBadInput;
  }
  state::ParsedProcessSettings parsed =
    state::ParseProcessSettings(aProgram, *text, aOptions.configFile_);
  struct stat status
  {};
  if (stat(aOptions.configFile_.c_str(), &status) == 0) {
    if (auto finding = state::CheckSettingsMode(aOptions.configFile_,
                                                status.st_mode & 0777U)) {
      parsed.findings_.push_back(std::move(*finding));
    }
  }
  for (const std::string& secret : parsed.settings_.SecretFiles()) {
    if (stat(secret.c_str(), &status) != 0) {
      parsed.findings_.push_back({ secret, 0, "", "cannot be read" });
    } else if (auto finding =
                 state::CheckSecretMode(secret, status.st_mode & 0777U)) {
      parsed.findings_.push_back(std::move(*finding));
    }
  }
  if (!parsed.findings_.empty()) {
    Print(parsed.findings_);
    return kExitBadInput;
  }
  if (aOptions.checkOnly_) {
    std::cout << aOptions.configFile_ << ": no findings\n";
    return kExitOk;
  }
  aSettings = std::move(parsed.settings_);
  core::LogSettings log;
  core::ParseLogLevel(aSettings.logLevel_, log.level_);
  log.file_ = aSettings.logFile_;
  log.host_ = aSettings.host_.Value();
  log.failureDomain_ = aSettings.failureDomain_.Value();
  core::StartLog(log);
  return std::nullopt;
}

TlsFiles
ToTlsFiles(const state::TlsSettings& aSettings)
{
  return {
    aSettings.certificate_, aSettings.key_, aSettings.authority_, false
  };
}

void
BlockSignals()
{
  const sigset_t signals = EndSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection shows as an error of the write.
  std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-signal-handler)
}

void
WaitForSignal(const std::atomic<bool>& aStop)
{
  const sigset_t signals = EndSignals();
  const timespec interval{ 0, kSignalPollNanoseconds };
  while (!aStop.load()) {
    if (sigtimedwait(&signals, nullptr, &interval) > 0) {
      return;
    }
  }
}

} // namespace crocusslip::transport
