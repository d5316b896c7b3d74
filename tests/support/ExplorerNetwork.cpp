#include "tests/support/ExplorerNetwork.hpp"

namespace crocusslip::tests {

void
ExplorerNetwork::Cut(core::MemberId aFrom, core::MemberId aTo)
{
  cut_.emplace(aFrom, aTo);
}

bool
ExplorerNetwork::IsCut(core::MemberId aFrom, core::MemberId aTo) const
{
  return cut_.contains({ aFrom, aTo });
}

std::vector<core::Duration>
ExplorerNetwork::Deliveries(core::MemberId aFrom, core::MemberId aTo)
{
  if (IsCut(aFrom, aTo) || random_.Chance(conditions_.loss_)) {
    return {};
  }
  std::vector<core::Duration> delays{ DrawDelay() };
  if (random_.Chance(conditions_.duplication_)) {
    delays.push_back(DrawDelay());
  }
  return delays;
}

core::Duration
ExplorerNetwork::DrawDelay()
{
  const core::Duration bound = random_.Chance(conditions_.slowShare_)
                                 ? conditions_.longDelay_
                                 : conditions_.delay_;
  return core::Duration(static_cast<core::Duration::rep>(
    random_.Below(static_cast<std::uint64_t>(bound.count()))));
}

} // namespace crocusslip::tests
