#pragma once

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <spawn.h>
#include <string>
#include <sys/types.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace crocusslip::tests {

/// A program of the project, killed at the end of its test.
class ChildProcess
{
public:
  explicit ChildProcess(std::vector<std::string> aCommand)
  {
    std::vector<char*> arguments;
    for (std::string& argument : aCommand) {
      arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    const int failed = ::posix_spawn(
      &pid_, arguments.front(), nullptr, nullptr, arguments.data(), environ);
    BOOST_REQUIRE_EQUAL(failed, 0);
  }
  ~ChildProcess()
  {
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
  }
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool Lives() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  void Terminate() const { ::kill(pid_, SIGTERM); }
  pid_t Id() const { return pid_; }

private:
  pid_t pid_ = 0;
};

} // namespace crocusslip::tests
