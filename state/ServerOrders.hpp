#pragma once

#include "state/Answer.hpp"
#include "state/Command.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace crocusslip::state {

class SnapshotReader;
class SnapshotWriter;

/// Bounds of the table. A leader keeps one order at a time under way at a
/// server, and ends it 15 s after its last send at the latest.
inline constexpr std::size_t kMaxOpenServerOrders = 32;
inline constexpr std::size_t kMaxServersWithOrders = 20'000;

struct OpenServerOrder
{
  std::uint64_t number_ = 0;
  /// Term of the leader that recorded it.
  core::Term term_;
  ServerOrder order_;
};

/// The orders to one server.
struct OrdersOfServer
{
  /// Not ended: each may still be carried out.
  std::vector<OpenServerOrder> open_;
  /// When an order was last recorded or ended, on the clock of the leader of
  /// the table's newest command.
  std::chrono::milliseconds lastAt_{ 0 };
};

/// Orders to backend servers that leaders have agreed on before sending them,
/// so that a new leader knows what may still be carried out. Servers are
/// forgotten once they have no open order and the holders' lease is over.
class ServerOrders
{
public:
  OrdersAnswer Record(core::Term aTerm, const RecordOrders& aCommand);
  OrdersAnswer End(core::Term aTerm, const EndOrders& aCommand);

  const std::map<core::ServerId, OrdersOfServer>& Servers() const
  {
    return servers_;
  }
  /// Time of the newest command on its leader's clock.
  std::chrono::milliseconds Now() const { return now_; }
  /// Whether all orders that may still be carried out are in the table. False
  /// in a state of the release before, whose leaders recorded none.
  bool Complete() const { return complete_; }

  void Write(SnapshotWriter& aWriter) const;
  void Read(SnapshotReader& aReader);

private:
  /// Clocks of different leaders aren't compared: the first command of a term
  /// counts as the time of all that was before.
  void TakeTime(core::Term aTerm, std::chrono::milliseconds aNow);
  void EndNumbers(const std::vector<std::uint64_t>& aNumbers);
  void Forget(std::chrono::milliseconds aLease);

  std::map<core::ServerId, OrdersOfServer> servers_;
  std::uint64_t lastNumber_ = 0;
  core::Term term_;
  std::chrono::milliseconds now_{ 0 };
  bool complete_ = false;
};

} // namespace crocusslip::state
