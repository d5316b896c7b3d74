#pragma once

#include "cli/Session.hpp"

#include <cstddef>
#include <span>
#include <string_view>

/// The subcommands, one table for parsing, help and completion.
namespace crocusslip::cli {

struct Command
{
  /// One or two words, e.g. "config check".
  std::string_view name_;
  /// Arguments as shown in help.
  std::string_view arguments_;
  std::size_t least_ = 0;
  std::size_t most_ = 0;
  /// Options besides the common ones, separated by spaces.
  std::string_view options_;
  std::string_view summary_;
  ExitCode (*run_)(Session&) = nullptr;
};

std::span<const Command>
Commands();

/// Most assignments of one `config set`.
inline constexpr std::size_t kManyArguments = 1000;

ExitCode
RunConfigCheck(Session& aSession);
ExitCode
RunConfigGet(Session& aSession);
ExitCode
RunConfigTree(Session& aSession);
ExitCode
RunConfigHistory(Session& aSession);
ExitCode
RunConfigReference(Session& aSession);
ExitCode
RunConfigSet(Session& aSession);
ExitCode
RunConfigApply(Session& aSession);

ExitCode
RunStatus(Session& aSession);
ExitCode
RunDeployments(Session& aSession);
ExitCode
RunReplicas(Session& aSession);
ExitCode
RunHosts(Session& aSession);
ExitCode
RunWhy(Session& aSession);
ExitCode
RunAudit(Session& aSession);

ExitCode
RunDrain(Session& aSession);
ExitCode
RunQuarantineList(Session& aSession);
ExitCode
RunQuarantineRelease(Session& aSession);
ExitCode
RunMembersList(Session& aSession);
ExitCode
RunMembersAdd(Session& aSession);
ExitCode
RunMembersRemove(Session& aSession);
ExitCode
RunMembersPromote(Session& aSession);
ExitCode
RunMembersDemote(Session& aSession);
ExitCode
RunMembersTransfer(Session& aSession);

ExitCode
RunStateVerify(Session& aSession);
ExitCode
RunStateDump(Session& aSession);
ExitCode
RunStateBackup(Session& aSession);
ExitCode
RunStateRestore(Session& aSession);

ExitCode
RunCompletionBash(Session& aSession);
ExitCode
RunHelp(Session& aSession);
ExitCode
RunVersion(Session& aSession);

} // namespace crocusslip::cli
