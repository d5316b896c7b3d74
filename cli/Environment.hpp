#pragma once

#include "cli/AdminClient.hpp"
#include "core/Clock.hpp"
#include "core/Error.hpp"
#include "core/Random.hpp"
#include "state/FileSystem.hpp"

#include <functional>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace crocusslip::cli {

/// How to reach the operators' API.
struct ConnectSettings
{
  /// "127.0.0.1:7101" or "https://10.0.0.1:7101".
  std::vector<std::string> servers_;
  /// Sent as bearer token; empty for none.
  std::string token_;
  /// PEM file of the authority that signed the members' certificates.
  std::string authority_;
  core::Duration timeout_ = std::chrono::seconds(10);
};

/// All that the command line reaches outside itself; tests replace it.
struct Environment
{
  std::ostream& out_;
  std::ostream& err_;
  state::FileSystem& files_;
  core::Random& random_;
  std::function<std::unique_ptr<AdminClient>(const ConnectSettings&)> connect_;
  std::function<void(core::Duration)> sleep_;
  /// Permission bits of a file, to check that a secret is kept secret.
  std::function<core::Result<std::uint32_t>(const std::string&)> fileMode_;
  /// Value of an environment variable, or an empty text.
  std::function<std::string(const char*)> variable_;
};

} // namespace crocusslip::cli
