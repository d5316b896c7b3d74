#pragma once

#include "cli/AdminClient.hpp"
#include "cli/Environment.hpp"
#include "protocol/HttpMessage.hpp"

#include <functional>
#include <optional>
#include <string>

namespace crocusslip::cli {

/// Sends one HTTP request to a base address and waits for the answer.
using HttpExchange = std::function<core::Result<protocol::HttpResponse>(
  const std::string& aBase,
  const protocol::HttpRequest& aRequest)>;

/// The operators' API over HTTP: tries the next address on failure and follows
/// the leader. A request that may not run twice is sent again only when it
/// cannot have reached a member.
class HttpAdminClient final : public AdminClient
{
public:
  HttpAdminClient(ConnectSettings aSettings,
                  HttpExchange aExchange,
                  std::function<void(core::Duration)> aSleep);

  core::Result<AdminReply> Call(const AdminRequest& aRequest) override;

private:
  /// Tries every address once; nothing when another round may help.
  std::optional<core::Result<AdminReply>> TryAll(const AdminRequest& aRequest);
  std::optional<core::Result<AdminReply>> TryOne(const AdminRequest& aRequest,
                                                 const std::string& aServer);
  std::string Base(const std::string& aServer) const;
  protocol::HttpRequest Http(const AdminRequest& aRequest) const;

  const ConnectSettings settings_;
  const HttpExchange exchange_;
  const std::function<void(core::Duration)> sleep_;
  /// Where the leader answers operators, as last heard.
  std::string leader_;
  std::string lastProblem_;
};

} // namespace crocusslip::cli
