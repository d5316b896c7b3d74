#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusslip::load {

enum class LoadKind : std::uint8_t
{
  /// Whole completions.
  Completion,
  /// Completions as event streams.
  Stream,
  /// Non-idempotent calls of a plain service, each with a key of its own.
  Deposit,
  /// GET of the plain service's path.
  Get,
};

struct LoadSettings
{
  /// Base addresses, used in turn.
  std::vector<std::string> targets_;
  LoadKind kind_ = LoadKind::Completion;
  std::string deployment_;
  std::string path_ = "/deposits";
  std::string key_;
  std::uint32_t connections_ = 16;
  std::chrono::milliseconds duration_{ 10'000 };
  /// Requests a second over all connections; 0: each connection sends its next
  /// request as soon as the last one has ended.
  double rate_ = 0;
  /// Ends after this many requests; 0: no limit.
  std::uint64_t requests_ = 0;
  std::uint32_t maxTokens_ = 8;
  std::chrono::milliseconds deadline_{ 30'000 };
  std::uint64_t seed_ = 1;
  /// Asks each target for its readiness and uses only ready ones, as a load
  /// balancer does.
  bool balances_ = false;
  /// Reuses connections although it balances, as a caller without a balancer
  /// does.
  bool keepsConnections_ = false;
  /// Sends each deposit to two targets at once, with one key.
  bool twice_ = false;
  /// Text that is part of each body, e.g. to trigger a fault of a stand-in.
  std::string marker_;
  /// File for one JSON line per request; empty: none.
  std::string log_;
};

} // namespace crocusslip::load
