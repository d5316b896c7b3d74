#pragma once

#include "core/Error.hpp"
#include "core/Ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

/// Requests of the OpenAI-compatible API, as far as routing needs them.
namespace crocusslip::protocol {

struct OpenAiRequest
{
  /// The name in "model" is the deployment's.
  core::DeploymentId model_;
  bool stream_ = false;
  /// Greedy or with a fixed seed: the same state gives the same tokens.
  bool deterministic_ = false;
  /// Hashes of the prompt's blocks, each covering all before it.
  std::vector<std::uint64_t> prefixBlocks_;
};

core::Result<OpenAiRequest>
ReadOpenAiRequest(std::string_view aBody);

} // namespace crocusslip::protocol
