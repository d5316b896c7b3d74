#pragma once

#include "transport/HttpServer.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace crocusslip::fakes {

/// Path of the calls that continue streams.
inline constexpr std::string_view kStreamPath = "/v1/streams/";

/// One run of a model for one request.
struct Generation
{
  std::shared_ptr<transport::HttpExchange> exchange_;
  std::shared_ptr<transport::BodyWriter> writer_;
  std::string model_;
  /// Id in the answer.
  std::string id_;
  std::string generationId_;
  std::string revision_;
  bool chat_ = false;
  std::uint64_t tokens_ = 0;
  std::uint64_t wanted_ = 0;
  /// Tokens after which the stream breaks; 0: it does not.
  std::uint64_t breakAfter_ = 0;
  std::string text_;
  /// Distinguishes the tokens of generations that must not be joined.
  std::string mark_;
  std::atomic<bool> cancelled_{ false };
};

} // namespace crocusslip::fakes
