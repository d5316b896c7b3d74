#pragma once

#include "core/Reasons.hpp"
#include "protocol/HttpMessage.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

/// Refusals as RFC 9457 problem documents.
namespace crocusslip::protocol {

struct Problem
{
  core::RefusalReason reason_ = core::RefusalReason::Internal;
  core::Ran ran_ = core::Ran::NotRun;
  std::string detail_;
  std::optional<std::chrono::milliseconds> retryAfter_;
};

/// HTTP status that a refusal reason maps to.
std::uint16_t
StatusOf(core::RefusalReason aReason);

/// The problem document, with its reason, whether the request ran, and
/// Retry-After where a later try can help.
HttpResponse
ToResponse(const Problem& aProblem);

/// The problem as one JSON text, e.g. for an error event in a stream.
std::string
ToJson(const Problem& aProblem);

} // namespace crocusslip::protocol
