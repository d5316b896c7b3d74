// What a call takes from its caller's request, and what of it goes to a server.
#include "coordination/ModelPlacement.hpp"
#include "core/Durations.hpp"
#include "core/Hash.hpp"
#include "entry/GatewayCall.hpp"
#include "entry/HopByHop.hpp"

#include <algorithm>
#include <charconv>

namespace crocusslip::entry {

namespace {

using coordination::RequestKind;
using transport::ForwardedRequest;

std::optional<std::int64_t>
ParseNumber(std::string_view aText)
{
  std::int64_t value = 0;
  const auto parsed =
    std::from_chars(aText.data(), aText.data() + aText.size(), value);
  if (parsed.ec != std::errc() || value < 0) {
    return std::nullopt;
  }
  return value;
}

/// Parses "IN,OUT" and returns the sum: the maximum number of tokens that a run
/// may need.
std::uint64_t
TokensOf(std::string_view aText)
{
  const auto comma = aText.find(',');
  const auto in = ParseNumber(aText.substr(0, comma));
  const auto out = comma == std::string_view::npos
                     ? std::nullopt
                     : ParseNumber(aText.substr(comma + 1));
  return static_cast<std::uint64_t>(in.value_or(0) + out.value_or(0));
}

} // namespace

std::optional<std::chrono::milliseconds>
GatewayCall::CallerPatience() const
{
  const auto header = request_[gateway_.settings_.headers_.deadlineMs_];
  const auto left = ParseNumber({ header.data(), header.size() });
  return left ? std::optional(std::chrono::milliseconds(*left)) : std::nullopt;
}

bool
GatewayCall::ResolveRequest()
{
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  const auto header = [&](const std::string& aName) -> std::string_view {
    const auto text = request_[aName];
    return { text.data(), text.size() };
  };
  id_ = header(names.requestId_);
  core::Duration time = route_->timeout_;
  if (const auto patience = CallerPatience()) {
    time = std::min<core::Duration>(time, *patience);
  }
  deadline_ = arrivedAt_ + time - kAnswerReturnTime;
  if (tenant_ != nullptr) {
    const std::uint64_t tokens = TokensOf(header(names.tokens_));
    quotaCost_ = tenant_->quota_.CostOf(tokens == 0 ? std::nullopt
                                                    : std::optional(tokens));
  }
  const std::uint64_t hash = core::Hash64(id_);
  requirements_.service_ = route_->SelectService(hash);
  const coordination::Service* service =
    routes_->FindService(requirements_.service_);
  if (service == nullptr) {
    return false;
  }
  if (service->engine_) {
    requirements_.model_ = core::ModelName(std::string(header(names.model_)));
    const std::string_view tokens = header(names.tokens_);
    requirements_.tokens_ = TokensOf(tokens);
    requirements_.promptTokens_ = TokensOf(tokens.substr(0, tokens.find(',')));
    requirements_.longestPause_ = route_->longestPause_;
    if (route_->kind_ == RequestKind::Stream) {
      parts_ = coordination::SharedPartsOf(header(names.promptParts_));
    }
    const auto parts = coordination::SplitModel(requirements_.model_);
    if (!requirements_.model_.Empty() &&
        !service->engine_->models_.contains(parts.model_)) {
      return false;
    }
  }
  const auto target = request_.target();
  fingerprint_ = coordination::FingerprintOf(
    core::DeploymentId(std::string(target.data(), target.size())),
    request_.body());
  return true;
}

ForwardedRequest
GatewayCall::MakeServerRequest() const
{
  const protocol::CallHeaders& names = gateway_.settings_.headers_;
  const bool hasTenants = !routes_->Tenants().Empty();
  ForwardedRequest out;
  out.method_string(request_.method_string());
  out.target(request_.target());
  out.version(11);
  for (const auto& field : request_.base()) {
    const auto name = field.name_string();
    const bool reserved =
      std::ranges::any_of(names.reserved_, [&](const std::string& aOther) {
        return transport::beast::iequals(name, aOther);
      });
    const bool identifiesCaller =
      hasTenants && IdentifiesCaller({ name.data(), name.size() });
    if (!IsHopByHop(name) && !reserved && !identifiesCaller) {
      out.insert(field.name_string(), field.value());
    }
  }
  out.set(
    names.deadlineMs_,
    std::to_string(std::max<std::int64_t>(1, core::Milliseconds(TimeLeft()))));
  out.set(names.expectedServer_, choice_.server_.Value());
  if (tenant_ != nullptr) {
    out.set(names.tenant_, tenant_->name_.Value());
  }
  if (!requirements_.model_.Empty()) {
    out.set(names.urgency_, std::to_string(std::min(rank_, 9U)));
  }
  if (lastEvent_) {
    out.set(names.lastEvent_, std::to_string(*lastEvent_));
  }
  out.body() = { request_.body().data(), request_.body().size() };
  out.prepare_payload();
  return out;
}

} // namespace crocusslip::entry
