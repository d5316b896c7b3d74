#include "placement/AdapterRoom.hpp"

#include <algorithm>

namespace crocusslip::placement {

std::optional<std::vector<UnusedAdapter>>
AdaptersToUnload(std::vector<UnusedAdapter> aUnused,
                 std::uint32_t aMissingMb,
                 std::size_t aMissingSlots)
{
  std::ranges::sort(aUnused, {}, &UnusedAdapter::usedAt_);
  std::vector<UnusedAdapter> chosen;
  std::uint64_t freed = 0;
  for (UnusedAdapter& adapter : aUnused) {
    if (freed >= aMissingMb && chosen.size() >= aMissingSlots) {
      break;
    }
    freed += adapter.sizeMb_;
    chosen.push_back(std::move(adapter));
  }
  if (freed < aMissingMb || chosen.size() < aMissingSlots) {
    return std::nullopt;
  }
  // The last one may be large enough for all.
  for (std::size_t i = chosen.size(); i-- > 0;) {
    const std::uint64_t rest = freed - chosen[i].sizeMb_;
    if (rest >= aMissingMb && chosen.size() > aMissingSlots) {
      freed = rest;
      chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(i));
    }
  }
  return chosen;
}

} // namespace crocusslip::placement
