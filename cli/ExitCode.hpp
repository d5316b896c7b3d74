#pragma once

/// Exit codes of the command line.
namespace crocusslip::cli {

enum class ExitCode : int
{
  Ok = 0,
  Failed = 1,
  BadInput = 2,
  Unreachable = 3,
  Conflict = 4,
};

} // namespace crocusslip::cli
