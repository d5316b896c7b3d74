#pragma once

#include "protocol/HttpMessage.hpp"
#include "state/AgreedTime.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

/// Bodies of the operators' API.
namespace crocusslip::control {

protocol::HttpResponse
AdminAnswer(std::uint16_t aStatus, const nlohmann::json& aBody);

protocol::HttpResponse
AdminFailure(std::uint16_t aStatus, const std::string& aError);

/// Null unless the body is a JSON object.
nlohmann::json
AdminBody(const protocol::HttpRequest& aRequest);

/// Empty when there is no such text.
std::string
TextIn(const nlohmann::json& aObject, const char* aKey);

/// 0 when there is no such number.
std::uint64_t
NumberIn(const nlohmann::json& aObject, const char* aKey);

std::int64_t
UnixMilliseconds(state::AgreedTime aTime);

} // namespace crocusslip::control
