#pragma once

#include "state/ProcessSettings.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>
#include <unistd.h>

/// Helpers to run the daemons inside a test process on loopback.
namespace crocusslip::tests {

/// Returns a free port below the kernel's ephemeral port range; otherwise an
/// outgoing connection could take the port before the server under test listens
/// on it. Test programs that run at the same time have nearby process ids and
/// therefore use different ports.
inline std::uint16_t
FreePort()
{
  using boost::asio::ip::tcp;
  constexpr std::uint32_t kFirst = 10'000;
  constexpr std::uint32_t kPerProcess = 20;
  constexpr std::uint32_t kProcesses = 500;
  static std::atomic<std::uint32_t> next{ 0 };
  const auto own = static_cast<std::uint32_t>(getpid()) % kProcesses;
  boost::asio::io_context context;
  boost::system::error_code taken;
  std::uint32_t port = 0;
  do {
    port = kFirst + own * kPerProcess + next++ % kPerProcess;
    tcp::acceptor acceptor(context, tcp::v4());
    acceptor.bind({ boost::asio::ip::make_address("127.0.0.1"),
                    static_cast<std::uint16_t>(port) },
                  taken);
  } while (taken);
  return static_cast<std::uint16_t>(port);
}

/// Bytes of a line of /proc/PROCESS/status, e.g. "VmHWM:".
inline std::uint64_t
ProcessMemory(const std::string& aProcess, const std::string& aName)
{
  std::ifstream file("/proc/" + aProcess + "/status");
  for (std::string word; file >> word;) {
    std::uint64_t kibi = 0;
    if (word == aName && file >> kibi) {
      return kibi * 1024;
    }
  }
  return 0;
}

/// Creates a folder under /tmp; returns an empty string on failure.
inline std::string
NewFolder()
{
  std::string name = "/tmp/crocusslip-test-XXXXXX";
  return mkdtemp(name.data()) == nullptr ? std::string() : name;
}

inline state::ListenAddress
Loopback(std::uint16_t aPort)
{
  return { "127.0.0.1", aPort };
}

} // namespace crocusslip::tests
