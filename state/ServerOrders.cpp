#include "state/ServerOrders.hpp"

#include "state/SnapshotCodec.hpp"

#include <algorithm>
#include <set>

namespace crocusslip::state {

OrdersAnswer
ServerOrders::Record(core::Term aTerm, const RecordOrders& aCommand)
{
  End(aTerm, aCommand.end_);
  OrdersAnswer answer;
  for (const ServerOrder& order : aCommand.orders_) {
    const bool full = !servers_.contains(order.server_) &&
                      servers_.size() >= kMaxServersWithOrders;
    if (full || servers_[order.server_].open_.size() >= kMaxOpenServerOrders) {
      answer.numbers_.push_back(0);
      continue;
    }
    OrdersOfServer& server = servers_[order.server_];
    server.lastAt_ = now_;
    server.open_.push_back({ ++lastNumber_, aTerm, order });
    answer.numbers_.push_back(lastNumber_);
  }
  return answer;
}

OrdersAnswer
ServerOrders::End(core::Term aTerm, const EndOrders& aCommand)
{
  TakeTime(aTerm, aCommand.now_);
  complete_ = complete_ || aCommand.complete_;
  EndNumbers(aCommand.ended_);
  Forget(aCommand.lease_);
  return {};
}

void
ServerOrders::TakeTime(core::Term aTerm, std::chrono::milliseconds aNow)
{
  if (aTerm == term_) {
    now_ = std::max(now_, aNow);
    return;
  }
  term_ = aTerm;
  now_ = aNow;
  for (auto& [id, server] : servers_) {
    server.lastAt_ = aNow;
  }
}

void
ServerOrders::EndNumbers(const std::vector<std::uint64_t>& aNumbers)
{
  if (aNumbers.empty()) {
    return;
  }
  const std::set<std::uint64_t> numbers(aNumbers.begin(), aNumbers.end());
  for (auto& [id, server] : servers_) {
    const std::size_t ended =
      std::erase_if(server.open_, [&](const OpenServerOrder& aOrder) {
        return numbers.contains(aOrder.number_);
      });
    if (ended > 0) {
      server.lastAt_ = now_;
    }
  }
}

void
ServerOrders::Forget(std::chrono::milliseconds aLease)
{
  std::erase_if(servers_, [&](const auto& aEntry) {
    const OrdersOfServer& server = aEntry.second;
    return server.open_.empty() && now_ - server.lastAt_ >= aLease;
  });
}

void
ServerOrders::Write(SnapshotWriter& aWriter) const
{
  aWriter.Number(lastNumber_);
  aWriter.Id(term_);
  aWriter.Number(static_cast<std::uint64_t>(now_.count()));
  aWriter.Flag(complete_);
  aWriter.Number(servers_.size());
  for (const auto& [id, server] : servers_) {
    aWriter.Id(id);
    aWriter.Number(static_cast<std::uint64_t>(server.lastAt_.count()));
    aWriter.Number(server.open_.size());
    for (const OpenServerOrder& open : server.open_) {
      aWriter.Number(open.number_);
      aWriter.Id(open.term_);
      aWriter.Number(static_cast<std::uint64_t>(open.order_.startedAt_));
      aWriter.Number(static_cast<std::uint64_t>(open.order_.sequence_));
      aWriter.Flag(open.order_.load_);
      aWriter.Text(open.order_.target_);
    }
  }
}

void
ServerOrders::Read(SnapshotReader& aReader)
{
  const auto time = [&aReader] {
    return std::chrono::milliseconds(
      static_cast<std::int64_t>(aReader.Number()));
  };
  lastNumber_ = aReader.Number();
  term_ = aReader.Id<core::Term>();
  now_ = time();
  complete_ = aReader.Flag();
  for (std::size_t left = aReader.Count(); left > 0; --left) {
    const auto id = aReader.Id<core::ServerId>();
    OrdersOfServer& server = servers_[id];
    server.lastAt_ = time();
    for (std::size_t open = aReader.Count(); open > 0; --open) {
      OpenServerOrder& order = server.open_.emplace_back();
      order.number_ = aReader.Number();
      order.term_ = aReader.Id<core::Term>();
      order.order_.server_ = id;
      order.order_.startedAt_ = static_cast<std::int64_t>(aReader.Number());
      order.order_.sequence_ = static_cast<std::int64_t>(aReader.Number());
      order.order_.load_ = aReader.Flag();
      order.order_.target_ = aReader.Text();
    }
  }
}

} // namespace crocusslip::state
