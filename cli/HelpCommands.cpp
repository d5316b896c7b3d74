#include "cli/CommandLine.hpp"
#include "cli/Commands.hpp"
#include "cli/TextTable.hpp"
#include "protocol/Version.hpp"

#include <map>
#include <set>

namespace crocusslip::cli {

namespace {

std::string
Usage(const Command& aCommand)
{
  std::string usage = "crocusslip " + std::string(aCommand.name_);
  if (!aCommand.arguments_.empty()) {
    usage += " " + std::string(aCommand.arguments_);
  }
  return usage;
}

std::vector<std::string>
OptionNames(std::string_view aWords)
{
  std::vector<std::string> names;
  while (!aWords.empty()) {
    const std::size_t space = aWords.find(' ');
    names.emplace_back(aWords.substr(0, space));
    aWords.remove_prefix(space == std::string_view::npos ? aWords.size()
                                                         : space + 1);
  }
  return names;
}

void
PrintOptions(std::ostream& aOut, const Command* aCommand)
{
  const std::vector<std::string> own =
    OptionNames(aCommand == nullptr ? "" : aCommand->options_);
  TextTable table({ "options:", "" });
  for (const auto& option : Options().options()) {
    const std::string& name = option->long_name();
    const bool isOwn = std::find(own.begin(), own.end(), name) != own.end();
    if (isOwn || IsCommonOption(name)) {
      table.Add({ "  --" + name, option->description() });
    }
  }
  table.Print(aOut);
}

const Command*
CommandNamed(std::string_view aName)
{
  for (const Command& command : Commands()) {
    if (command.name_ == aName) {
      return &command;
    }
  }
  return nullptr;
}

} // namespace

ExitCode
RunHelp(Session& aSession)
{
  std::string name;
  for (const std::string& word : aSession.Arguments()) {
    name += (name.empty() ? "" : " ") + word;
  }
  if (const Command* const command = CommandNamed(name)) {
    aSession.Out() << Usage(*command) << "\n\n" << command->summary_ << "\n\n";
    PrintOptions(aSession.Out(), command);
    return ExitCode::Ok;
  }
  TextTable table({ "usage: crocusslip COMMAND [ARGUMENTS] [OPTIONS]", "" });
  for (const Command& command : Commands()) {
    if (command.name_.starts_with(name)) {
      table.Add({ "  " + Usage(command).substr(sizeof("crocusslip")),
                  std::string(command.summary_) });
    }
  }
  table.Print(aSession.Out());
  aSession.Out() << '\n';
  PrintOptions(aSession.Out(), nullptr);
  aSession.Out() << "\nexit codes: 0 ok, 1 failed, 2 bad input, 3 unreachable, "
                    "4 conflict\n";
  return ExitCode::Ok;
}

ExitCode
RunVersion(Session& aSession)
{
  aSession.Out() << "crocusslip " << protocol::kProductVersion << '\n';
  return ExitCode::Ok;
}

ExitCode
RunCompletionBash(Session& aSession)
{
  std::set<std::string> first;
  std::map<std::string, std::string> second;
  for (const Command& command : Commands()) {
    const std::size_t space = command.name_.find(' ');
    const std::string head(command.name_.substr(0, space));
    first.insert(head);
    if (space != std::string_view::npos) {
      second[head] += " " + std::string(command.name_.substr(space + 1));
    }
  }
  std::ostream& out = aSession.Out();
  out << "_crocusslip() {\n"
         "  local word=${COMP_WORDS[COMP_CWORD]} words=\n"
         "  if [[ $word == -* ]]; then\n    words=\"";
  for (const auto& option : Options().options()) {
    out << " --" << option->long_name();
  }
  out << "\"\n  elif [[ $COMP_CWORD == 1 ]]; then\n    words=\"";
  for (const std::string& word : first) {
    out << ' ' << word;
  }
  out << "\"\n  elif [[ $COMP_CWORD == 2 ]]; then\n"
         "    case ${COMP_WORDS[1]} in\n";
  for (const auto& [head, words] : second) {
    out << "      " << head << ") words=\"" << words << "\" ;;\n";
  }
  out << "      why) words=\"deployment request server\" ;;\n"
         "    esac\n  fi\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n"
         "  if [[ -z $words ]]; then\n"
         "    COMPREPLY=($(compgen -f -- \"$word\"))\n  fi\n}\n"
         "complete -F _crocusslip crocusslip\n";
  return ExitCode::Ok;
}

} // namespace crocusslip::cli
