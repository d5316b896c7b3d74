#pragma once

#include "coordination/FleetTable.hpp"
#include "coordination/ModelPlacement.hpp"
#include "core/Error.hpp"
#include "transport/Coroutine.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusslip::control {

/// What an engine says about itself.
struct EngineReport
{
  coordination::EngineContent content_;
  coordination::CachedWeights copies_;
  bool busy_ = false;
  /// Orders accepted since its start.
  std::int64_t sequence_ = 0;
  /// Identifies the start that sequence_ counts from; 0: not reported.
  std::int64_t startedAt_ = 0;
};

/// Who gives an order. Engines refuse an order with a lower number than one
/// that they have seen.
struct OrderSender
{
  std::string holder_;
  std::uint64_t fencing_ = 0;
};

enum class OrderReply : std::uint8_t
{
  /// Is being carried out, and counts in the engine's sequence.
  Accepted,
  /// What it asks for holds already.
  Holds,
  /// Another order is under way, or the sequence differs.
  Conflict,
  /// Another sender has used a higher fencing number.
  Fenced,
  /// Another server has the address.
  Elsewhere,
  Invalid,
  /// No answer; it may have been accepted, or be carried out later.
  Unknown,
};

/// Calls to engines and to the platform's list, in the platform's dialect.
class BackendPort
{
public:
  virtual ~BackendPort() = default;
  virtual transport::Task<core::Result<std::vector<coordination::ListedServer>>>
  ReadList() = 0;
  virtual transport::Task<core::Result<EngineReport>> ReadReport(
    std::string aAddress,
    core::ServerId aServer) = 0;
  virtual transport::Task<OrderReply> SendOrder(
    std::string aAddress,
    coordination::PlacementOrder aOrder,
    std::int64_t aSequence,
    OrderSender aSender) = 0;
};

} // namespace crocusslip::control
