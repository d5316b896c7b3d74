#pragma once

#include "cli/Environment.hpp"
#include "cli/ExitCode.hpp"
#include "core/Finding.hpp"
#include "protocol/AdminJson.hpp"
#include "protocol/AdminMessages.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options/variables_map.hpp>

namespace crocusslip::cli {

/// One run of a command: its arguments, its options and the outside world.
class Session
{
public:
  Session(Environment& aEnvironment,
          boost::program_options::variables_map aOptions,
          std::vector<std::string> aArguments);

  const std::vector<std::string>& Arguments() const { return arguments_; }
  bool Has(const char* aOption) const;
  std::string Option(const char* aOption) const;
  /// A count option; prints a message and gives nothing when malformed.
  std::optional<std::size_t> CountOption(const char* aOption);
  bool Json() const { return Has("json"); }
  /// A duration option; prints a message and gives nothing when malformed.
  std::optional<core::Duration> DurationOption(const char* aOption);

  std::ostream& Out() { return environment_.out_; }
  std::ostream& Err() { return environment_.err_; }
  Environment& Outside() { return environment_; }

  ExitCode Fail(ExitCode aCode, std::string_view aMessage);
  ExitCode FailWith(const core::Findings& aFindings);
  std::optional<std::string> ReadFile(const std::string& aPath);

  /// Calls the API; prints what went wrong and gives nothing on failure, whose
  /// exit code is then in LastFailure().
  std::optional<std::string> Call(const AdminRequest& aRequest);
  std::optional<std::string> Get(const std::string& aPath);
  ExitCode LastFailure() const { return lastFailure_; }

  template<typename Message>
  std::optional<Message> Decode(const std::string& aBody)
  {
    core::Result<Message> message = protocol::FromJson<Message>(aBody);
    if (!message) {
      lastFailure_ = Fail(ExitCode::Failed,
                          "unexpected answer: " + message.Failure().Message());
      return std::nullopt;
    }
    return std::move(message.Value());
  }

  template<typename Message>
  std::optional<Message> Fetch(const std::string& aPath)
  {
    const auto body = Get(aPath);
    return body ? Decode<Message>(*body) : std::nullopt;
  }

private:
  AdminClient* Client();
  std::optional<ConnectSettings> ReadConnectSettings();
  bool ReadToken(ConnectSettings& aSettings);
  void Explain(const AdminReply& aReply);

  Environment& environment_;
  boost::program_options::variables_map options_;
  std::vector<std::string> arguments_;
  std::unique_ptr<AdminClient> client_;
  ExitCode lastFailure_ = ExitCode::Ok;
};

} // namespace crocusslip::cli
