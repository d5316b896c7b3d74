#include "cli/CommandLine.hpp"
#include "cli/HttpAdminClient.hpp"
#include "state/PosixFileSystem.hpp"
#include "transport/HttpClient.hpp"

#include <cstdlib>
#include <iostream>
#include <thread>

#include <sys/stat.h>

namespace {

using namespace crocusslip;

constexpr std::size_t kHttpThreads = 2;

std::unique_ptr<cli::AdminClient>
Connect(const cli::ConnectSettings& aSettings,
        const std::function<void(core::Duration)>& aSleep)
{
  transport::StartHttpThreads(kHttpThreads);
  transport::TlsFiles tls;
  tls.authority_ = aSettings.authority_;
  auto client = std::make_shared<transport::HttpClient>(tls);
  const auto timeout =
    std::chrono::duration_cast<std::chrono::milliseconds>(aSettings.timeout_);
  const auto exchange = [client, timeout](const std::string& aBase,
                                          const protocol::HttpRequest& aCall) {
    transport::HttpTarget target;
    target.base_ = aBase;
    target.timeout_ = timeout;
    target.freshConnection_ = true;
    return client->FetchAndWait(target, aCall);
  };
  return std::make_unique<cli::HttpAdminClient>(aSettings, exchange, aSleep);
}

core::Result<std::uint32_t>
FileMode(const std::string& aPath)
{
  struct stat status
  {};
  if (::stat(aPath.c_str(), &status) != 0) {
    return core::Error{ core::Errc::NotFound, aPath };
  }
  return static_cast<std::uint32_t>(status.st_mode);
}

} // namespace

int
main(int argc, char** argv)
{
  state::PosixFileSystem files;
  core::Random random(core::DeviceSeed());
  const auto sleep = [](core::Duration aTime) {
    std::this_thread::sleep_for(aTime);
  };
  cli::Environment environment{
    std::cout,
    std::cerr,
    files,
    random,
    [&sleep](const cli::ConnectSettings& aSettings) {
      return Connect(aSettings, sleep);
    },
    sleep,
    &FileMode,
    [](const char* aName) -> std::string {
      const char* const value = std::getenv(aName);
      return value == nullptr ? "" : value;
    },
  };
  return static_cast<int>(
    cli::RunCommandLine({ argv + 1, argv + argc }, environment));
}
