#include "control/AdminBodies.hpp"

namespace crocusslip::control {

using nlohmann::json;
using protocol::HttpRequest;
using protocol::HttpResponse;

HttpResponse
AdminAnswer(std::uint16_t aStatus, const json& aBody)
{
  return HttpResponse::Json(
    aStatus, aBody.dump(-1, ' ', false, json::error_handler_t::replace));
}

HttpResponse
AdminFailure(std::uint16_t aStatus, const std::string& aError)
{
  return AdminAnswer(aStatus, { { "error", aError } });
}

json
AdminBody(const HttpRequest& aRequest)
{
  const json body = json::parse(aRequest.body_, nullptr, false);
  return body.is_object() ? body : json();
}

std::string
TextIn(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

std::uint64_t
NumberIn(const json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_number_unsigned()
           ? found->get<std::uint64_t>()
           : 0;
}

std::int64_t
UnixMilliseconds(state::AgreedTime aTime)
{
  return aTime.time_since_epoch().count();
}

} // namespace crocusslip::control
