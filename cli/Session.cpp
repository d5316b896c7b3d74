#include "cli/Session.hpp"

#include "state/ListenAddress.hpp"
#include "state/ProcessSettings.hpp"
#include "state/Quantity.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace crocusslip::cli {

namespace {

constexpr std::uint16_t kBadRequest = 400;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kMisdirected = 421;
constexpr std::uint16_t kUnprocessable = 422;
constexpr std::uint16_t kUnavailable = 503;

ExitCode
CodeFor(std::uint16_t aStatus)
{
  switch (aStatus) {
    case kBadRequest:
    case kUnprocessable:
      return ExitCode::BadInput;
    case kConflict:
      return ExitCode::Conflict;
    case kMisdirected:
    case kUnavailable:
      return ExitCode::Unreachable;
    default:
      return ExitCode::Failed;
  }
}

std::vector<std::string>
SplitAtCommas(const std::string& aText)
{
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin <= aText.size()) {
    const std::size_t end = std::min(aText.find(',', begin), aText.size());
    if (end > begin) {
      parts.push_back(aText.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

std::string
WithoutScheme(const std::string& aServer)
{
  const std::size_t scheme = aServer.find("://");
  return scheme == std::string::npos ? aServer : aServer.substr(scheme + 3);
}

} // namespace

Session::Session(Environment& aEnvironment,
                 boost::program_options::variables_map aOptions,
                 std::vector<std::string> aArguments)
  : environment_(aEnvironment)
  , options_(std::move(aOptions))
  , arguments_(std::move(aArguments))
{
}

bool
Session::Has(const char* aOption) const
{
  return options_.count(aOption) != 0;
}

std::string
Session::Option(const char* aOption) const
{
  return Has(aOption) ? options_[aOption].as<std::string>() : std::string();
}

std::optional<core::Duration>
Session::DurationOption(const char* aOption)
{
  const auto value = state::ParseDuration(Option(aOption));
  if (!value) {
    Fail(ExitCode::BadInput,
         "--" + std::string(aOption) +
           " expects a duration with a unit, e.g. \"10s\"");
  }
  return value;
}

std::optional<std::size_t>
Session::CountOption(const char* aOption)
{
  const std::string text = Option(aOption);
  std::size_t value = 0;
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || last != end) {
    Fail(ExitCode::BadInput, "--" + std::string(aOption) + " expects a number");
    return std::nullopt;
  }
  return value;
}

ExitCode
Session::Fail(ExitCode aCode, std::string_view aMessage)
{
  Err() << "crocusslip: " << aMessage << '\n';
  return aCode;
}

ExitCode
Session::FailWith(const core::Findings& aFindings)
{
  for (const core::Finding& finding : aFindings) {
    Err() << finding.Text() << '\n';
  }
  Err() << "crocusslip: " << aFindings.size()
        << (aFindings.size() == 1 ? " mistake\n" : " mistakes\n");
  return ExitCode::BadInput;
}

std::optional<std::string>
Session::ReadFile(const std::string& aPath)
{
  core::Result<std::string> text = state::ReadWhole(environment_.files_, aPath);
  if (!text) {
    lastFailure_ =
      Fail(ExitCode::BadInput, aPath + ": " + text.Failure().Message());
    return std::nullopt;
  }
  return std::move(text.Value());
}

std::optional<std::string>
Session::Call(const AdminRequest& aRequest)
{
  AdminClient* const client = Client();
  if (client == nullptr) {
    return std::nullopt;
  }
  core::Result<AdminReply> reply = client->Call(aRequest);
  if (!reply) {
    lastFailure_ = Fail(ExitCode::Unreachable, reply.Failure().Message());
    return std::nullopt;
  }
  if (reply.Value().status_ >= kBadRequest) {
    lastFailure_ = CodeFor(reply.Value().status_);
    Explain(reply.Value());
    return std::nullopt;
  }
  return std::move(reply.Value().body_);
}

std::optional<std::string>
Session::Get(const std::string& aPath)
{
  return Call({ "GET", aPath, {}, true });
}

void
Session::Explain(const AdminReply& aReply)
{
  if (Json()) {
    Out() << aReply.body_ << '\n';
  }
  const auto failure = protocol::FromJson<protocol::AdminFailure>(aReply.body_);
  if (!failure) {
    Fail(lastFailure_, "status " + std::to_string(aReply.status_));
    return;
  }
  const protocol::AdminFailure& body = failure.Value();
  for (const protocol::AdminFinding& finding : body.findings_) {
    Err() << core::Finding{ finding.file_,
                            finding.line_,
                            finding.key_,
                            finding.message_ }
               .Text()
          << '\n';
  }
  std::string message = body.error_;
  if (body.winner_.revision_ != core::Revision()) {
    message += "; revision " + std::to_string(body.winner_.revision_.Value()) +
               " was taken by " + body.winner_.operator_.Value() + " for";
    for (const std::string& path : body.winner_.paths_) {
      message += " " + path;
    }
  }
  Fail(lastFailure_, message);
}

AdminClient*
Session::Client()
{
  if (!client_) {
    const auto settings = ReadConnectSettings();
    if (!settings) {
      lastFailure_ = ExitCode::BadInput;
      return nullptr;
    }
    client_ = environment_.connect_(*settings);
  }
  return client_.get();
}

std::optional<ConnectSettings>
Session::ReadConnectSettings()
{
  ConnectSettings settings;
  std::string servers = Option("server");
  if (servers.empty()) {
    servers = environment_.variable_("CROCUSSLIP_SERVER");
  }
  settings.servers_ = SplitAtCommas(servers);
  if (settings.servers_.empty()) {
    Fail(ExitCode::BadInput,
         "no server given; use --server ADDRESS[,ADDRESS] or set "
         "CROCUSSLIP_SERVER");
    return std::nullopt;
  }
  for (const std::string& server : settings.servers_) {
    if (!state::ParseAddress(WithoutScheme(server))) {
      Fail(ExitCode::BadInput,
           "--server: \"" + server + "\" is not an IP address and a port");
      return std::nullopt;
    }
  }
  settings.authority_ = Option("authority");
  const auto timeout = DurationOption("timeout");
  if (!timeout || !ReadToken(settings)) {
    return std::nullopt;
  }
  settings.timeout_ = *timeout;
  return settings;
}

bool
Session::ReadToken(ConnectSettings& aSettings)
{
  const std::string file = Option("token-file");
  if (file.empty()) {
    return true;
  }
  const auto mode = environment_.fileMode_(file);
  if (mode) {
    if (const auto finding = state::CheckSecretMode(file, mode.Value())) {
      FailWith({ *finding });
      return false;
    }
  }
  const auto text = ReadFile(file);
  if (!text) {
    return false;
  }
  aSettings.token_ = text->substr(0, text->find_first_of("\r\n"));
  return true;
}

} // namespace crocusslip::cli
