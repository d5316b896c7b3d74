#include "cli/HttpAdminClient.hpp"

#include "protocol/AdminJson.hpp"
#include "protocol/AdminMessages.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::cli {

namespace {

constexpr std::uint16_t kMisdirected = 421;
constexpr std::uint16_t kUnavailable = 503;
constexpr std::uint16_t kGatewayTimeout = 504;
constexpr int kRounds = 4;
/// A new leader is elected within 1.5 s; the rounds span more than that.
constexpr core::Duration kRoundPause = std::chrono::milliseconds(700);

bool
CertainlyNotSent(const core::Error& aError)
{
  return aError.code_ == core::Errc::ConnectFailed;
}

} // namespace

HttpAdminClient::HttpAdminClient(ConnectSettings aSettings,
                                 HttpExchange aExchange,
                                 std::function<void(core::Duration)> aSleep)
  : settings_(std::move(aSettings))
  , exchange_(std::move(aExchange))
  , sleep_(std::move(aSleep))
{
}

core::Result<AdminReply>
HttpAdminClient::Call(const AdminRequest& aRequest)
{
  for (int round = 0; round < kRounds; ++round) {
    if (round != 0) {
      sleep_(kRoundPause);
    }
    if (auto result = TryAll(aRequest)) {
      return std::move(*result);
    }
  }
  return core::Error{ core::Errc::Unavailable, lastProblem_ };
}

std::optional<core::Result<AdminReply>>
HttpAdminClient::TryAll(const AdminRequest& aRequest)
{
  std::vector<std::string> servers = settings_.servers_;
  std::vector<std::string> tried;
  if (!leader_.empty()) {
    servers.insert(servers.begin(), leader_);
  }
  while (!servers.empty()) {
    const std::string server = servers.front();
    servers.erase(servers.begin());
    if (std::find(tried.begin(), tried.end(), server) != tried.end()) {
      continue;
    }
    tried.push_back(server);
    const std::string known = leader_;
    if (auto result = TryOne(aRequest, server)) {
      return result;
    }
    if (!leader_.empty() && leader_ != known) {
      servers.insert(servers.begin(), leader_);
    }
  }
  return std::nullopt;
}

std::optional<core::Result<AdminReply>>
HttpAdminClient::TryOne(const AdminRequest& aRequest,
                        const std::string& aServer)
{
  core::Result<protocol::HttpResponse> answer =
    exchange_(Base(aServer), Http(aRequest));
  if (!answer) {
    const core::Error& error = answer.Failure();
    lastProblem_ = aServer + ": " + error.Message();
    if (leader_ == aServer) {
      leader_.clear();
    }
    if (!aRequest.repeatable_ && !CertainlyNotSent(error)) {
      return core::Result<AdminReply>(core::Error{
        error.code_,
        lastProblem_ + "; the change may have been made, look before you "
                       "repeat it" });
    }
    return std::nullopt;
  }
  protocol::HttpResponse& response = answer.Value();
  // After a 504 the outcome is open; a repeatable request settles it.
  const bool again =
    response.status_ == kMisdirected || response.status_ == kUnavailable ||
    (response.status_ == kGatewayTimeout && aRequest.repeatable_);
  if (!again) {
    return core::Result<AdminReply>(
      AdminReply{ response.status_, std::move(response.body_) });
  }
  const auto failure =
    protocol::FromJson<protocol::AdminFailure>(response.body_);
  lastProblem_ = aServer + ": status " + std::to_string(response.status_);
  if (failure) {
    lastProblem_ += ", " + failure.Value().error_;
    leader_ = failure.Value().leader_;
  }
  return std::nullopt;
}

std::string
HttpAdminClient::Base(const std::string& aServer) const
{
  if (aServer.find("://") != std::string::npos) {
    return aServer;
  }
  const bool secure = !settings_.authority_.empty() ||
                      settings_.servers_.front().starts_with("https://");
  return (secure ? "https://" : "http://") + aServer;
}

protocol::HttpRequest
HttpAdminClient::Http(const AdminRequest& aRequest) const
{
  protocol::HttpRequest request;
  request.method_ = aRequest.method_;
  const std::size_t question = aRequest.path_.find('?');
  request.path_ = "/admin/v1" + aRequest.path_.substr(0, question);
  if (question != std::string::npos) {
    request.query_ = aRequest.path_.substr(question + 1);
  }
  if (!aRequest.body_.empty()) {
    request.headers_.Set("Content-Type", "application/json");
    request.body_ = aRequest.body_;
  }
  if (!settings_.token_.empty()) {
    request.headers_.Set("Authorization", "Bearer " + settings_.token_);
  }
  return request;
}

} // namespace crocusslip::cli
