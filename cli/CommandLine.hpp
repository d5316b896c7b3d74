#pragma once

#include "cli/Environment.hpp"
#include "cli/ExitCode.hpp"

#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options/options_description.hpp>

namespace crocusslip::cli {

/// Runs the command line; the arguments exclude the program's name.
ExitCode
RunCommandLine(const std::vector<std::string>& aArguments,
               Environment& aEnvironment);

/// All options of all commands.
const boost::program_options::options_description&
Options();

/// Whether the option is accepted by every command.
bool
IsCommonOption(std::string_view aName);

} // namespace crocusslip::cli
