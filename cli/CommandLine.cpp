#include "cli/CommandLine.hpp"

#include "cli/Commands.hpp"
#include "state/SettingsSchema.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/value_semantic.hpp>
#include <boost/program_options/variables_map.hpp>

namespace crocusslip::cli {

namespace po = boost::program_options;

namespace {

constexpr const char* kWords = "words";

constexpr std::array<std::string_view, 6> kCommonOptions = {
  "json", "server", "token-file", "authority", "timeout", "help"
};

po::options_description
MakeOptions()
{
  const auto text = [] { return po::value<std::string>(); };
  const auto textOr = [](const char* aDefault) {
    return po::value<std::string>()->default_value(aDefault);
  };
  po::options_description options("options");
  auto add = options.add_options();
  add("json", "print the answer as JSON");
  add("server", text(), "control members to try, ADDRESS[,ADDRESS]");
  add("token-file", text(), "file with the operator's token (mode 0600)");
  add("authority", text(), "PEM file of the members' certificate authority");
  add("timeout", textOr("10s"), "longest wait for one answer");
  add("help", "show help");
  add("as", textOr("tree"), "what the file is: tree, entry or control");
  add("explain", "show where each value comes from");
  add("file", text(), "file with the node's values");
  add("remove", "remove the node");
  add("change-id", text(), "id of the change, to send it again");
  add("revision", text(), "refuse unless the tree has this revision");
  add("dry-run", "only show what would change");
  add("limit", textOr("50"), "most records to show");
  add("undo", "put the host or server back into use");
  add("wait", "wait until nothing runs there any more");
  add("wait-limit", textOr("10m"), "longest wait with --wait");
  add("target", text(), "what the id names: host or server");
  add("disk", text(), "disk identity of the member");
  add("cluster", text(), "name of the new cluster");
  add("member", text(), "id of the first member");
  add("address", text(), "address of the first member");
  add("failure-domain", text(), "failure domain of the first member");
  return options;
}

bool
HasWord(std::string_view aWords, std::string_view aWord)
{
  while (!aWords.empty()) {
    const std::size_t space = aWords.find(' ');
    if (aWords.substr(0, space) == aWord) {
      return true;
    }
    aWords.remove_prefix(space == std::string_view::npos ? aWords.size()
                                                         : space + 1);
  }
  return false;
}

struct Parsed
{
  po::variables_map options_;
  std::vector<std::string> words_;
};

core::Result<Parsed>
Parse(const std::vector<std::string>& aArguments)
{
  po::options_description all;
  all.add(Options()).add_options()(kWords,
                                   po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add(kWords, -1);
  Parsed parsed;
  try {
    po::store(po::command_line_parser(aArguments)
                .options(all)
                .positional(positional)
                .style(po::command_line_style::unix_style &
                       ~po::command_line_style::allow_guessing)
                .run(),
              parsed.options_);
  } catch (const po::error& error) {
    return core::Error{ core::Errc::InvalidInput, error.what() };
  }
  if (parsed.options_.count(kWords) != 0) {
    parsed.words_ = parsed.options_[kWords].as<std::vector<std::string>>();
  }
  return parsed;
}

std::size_t
WordCount(std::string_view aName)
{
  return aName.find(' ') == std::string_view::npos ? 1 : 2;
}

const Command*
FindCommand(const std::vector<std::string>& aWords)
{
  for (const Command& command : Commands()) {
    const std::size_t count = WordCount(command.name_);
    if (aWords.size() < count) {
      continue;
    }
    const std::string name =
      count == 1 ? aWords[0] : aWords[0] + " " + aWords[1];
    if (name == command.name_) {
      return &command;
    }
  }
  return nullptr;
}

std::string
UnknownCommand(const std::vector<std::string>& aWords)
{
  const std::string given =
    aWords.size() == 1 ? aWords[0] : aWords[0] + " " + aWords[1];
  std::vector<std::string_view> names;
  for (const Command& command : Commands()) {
    names.push_back(command.name_);
  }
  std::string_view near = state::NearestWord(names, given);
  if (near.empty()) {
    near = state::NearestWord(names, aWords[0]);
  }
  std::string message = "unknown command \"" + given + "\"";
  if (!near.empty()) {
    message += "; nearest: \"" + std::string(near) + "\"";
  }
  return message + "; see crocusslip help";
}

/// An option that was given but that the command does not take.
std::string
ForeignOption(const Command& aCommand, const po::variables_map& aOptions)
{
  for (const auto& [name, value] : aOptions) {
    if (!value.defaulted() && name != kWords && !IsCommonOption(name) &&
        !HasWord(aCommand.options_, name)) {
      return name;
    }
  }
  return {};
}

ExitCode
RunCommand(const Command& aCommand, Session& aSession)
{
  const std::size_t count = aSession.Arguments().size();
  if (count < aCommand.least_ || count > aCommand.most_) {
    return aSession.Fail(ExitCode::BadInput,
                         "usage: crocusslip " + std::string(aCommand.name_) +
                           " " + std::string(aCommand.arguments_));
  }
  return aCommand.run_(aSession);
}

} // namespace

const po::options_description&
Options()
{
  static const po::options_description sOptions = MakeOptions();
  return sOptions;
}

bool
IsCommonOption(std::string_view aName)
{
  return std::find(kCommonOptions.begin(), kCommonOptions.end(), aName) !=
         kCommonOptions.end();
}

ExitCode
RunCommandLine(const std::vector<std::string>& aArguments,
               Environment& aEnvironment)
{
  core::Result<Parsed> result = Parse(aArguments);
  if (!result) {
    aEnvironment.err_ << "crocusslip: " << result.Failure().detail_ << '\n';
    return ExitCode::BadInput;
  }
  Parsed& parsed = result.Value();
  const bool help = parsed.options_.count("help") != 0;
  if (help || parsed.words_.empty()) {
    Session session(aEnvironment, parsed.options_, parsed.words_);
    RunHelp(session);
    return help ? ExitCode::Ok : ExitCode::BadInput;
  }
  const Command* const command = FindCommand(parsed.words_);
  if (command == nullptr) {
    aEnvironment.err_ << "crocusslip: " << UnknownCommand(parsed.words_)
                      << '\n';
    return ExitCode::BadInput;
  }
  const std::string foreign = ForeignOption(*command, parsed.options_);
  if (!foreign.empty()) {
    aEnvironment.err_ << "crocusslip: " << command->name_ << " does not take --"
                      << foreign << '\n';
    return ExitCode::BadInput;
  }
  const auto skipped = static_cast<std::ptrdiff_t>(WordCount(command->name_));
  Session session(aEnvironment,
                  parsed.options_,
                  { parsed.words_.begin() + skipped, parsed.words_.end() });
  return RunCommand(*command, session);
}

} // namespace crocusslip::cli
