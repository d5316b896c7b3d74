#include "tests/support/ServerOrdersModel.hpp"

#include "state/CommandCodec.hpp"
#include "tests/support/StateReplica.hpp"

namespace crocusslip::tests {

using namespace state;

namespace {

constexpr double kRecordShare = 0.1;
constexpr double kAnsweredShare = 0.5;
constexpr std::uint64_t kServers = 4;
/// No new commands afterwards, so that all members can catch up.
constexpr std::chrono::seconds kActiveTime{ 15 };

} // namespace

std::unique_ptr<ExplorerStateMachine>
ServerOrdersModel::MakeMachine()
{
  return std::make_unique<StateReplica>(StateLimits(), nullptr);
}

ExplorerRequest
ServerOrdersModel::NextRequest(core::Random& aRandom)
{
  const std::chrono::milliseconds time(aRandom.Below(1000));
  return { false, Encode(Command(AdvanceTime{ AgreedTime(time) })) };
}

void
ServerOrdersModel::OnLeader(ExplorerLeader& aLeader, core::Random& aRandom)
{
  const auto& machine = static_cast<const StateReplica&>(aLeader.machine_);
  std::set<std::uint64_t>& sentNow = sentInTerm_[aLeader.term_];
  std::set<std::uint64_t> known;
  EndOrders end;
  end.now_ =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLeader.now_);
  end.lease_ = std::chrono::milliseconds(100);
  for (const auto& [id, server] : machine.State().OrdersToServers().Servers()) {
    for (const OpenServerOrder& order : server.open_) {
      known.insert(order.number_);
      if (order.term_ != aLeader.term_ ||
          !sentNow.insert(order.number_).second) {
        continue;
      }
      ++sent_;
      if (aRandom.Chance(kAnsweredShare)) {
        end.ended_.push_back(order.number_);
      } else {
        open_.insert(order.number_);
      }
    }
  }
  for (const std::uint64_t number : open_) {
    if (!known.contains(number)) {
      violation_ = "order " + std::to_string(number) +
                   " was sent, and a later leader doesn't know of it";
    }
  }
  if (aLeader.now_ > kActiveTime) {
    return;
  }
  if (!end.ended_.empty()) {
    aLeader.propose_(Encode(Command(end)));
  }
  if (open_.size() < kServers * kMaxOpenServerOrders / 2 &&
      aRandom.Chance(kRecordShare)) {
    end.ended_.clear();
    RecordOrders record{ end, {} };
    record.orders_.push_back(
      { core::ServerId("server-" + std::to_string(aRandom.Below(kServers))),
        1,
        static_cast<std::int64_t>(sent_),
        true,
        "model" });
    aLeader.propose_(Encode(Command(record)));
  }
}

std::optional<std::string>
ServerOrdersModel::CheckHistory(const std::vector<ExplorerOperation>&)
{
  return std::nullopt;
}

} // namespace crocusslip::tests
