#pragma once

#include "core/Clock.hpp"
#include "core/Ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocusslip::placement {

/// An adapter that no request needs at present.
struct UnusedAdapter
{
  core::ModelName model_;
  std::string adapter_;
  std::uint32_t sizeMb_ = 0;
  core::MonotonicTime usedAt_;
};

/// The adapters to unload so that so much memory and so many slots are free:
/// the least recently used ones, without those that the others make
/// unnecessary. Nothing if all of them don't suffice. Load: adapters of models
/// of different size on one server, where one unloaded adapter may be smaller
/// than the one to load.
std::optional<std::vector<UnusedAdapter>>
AdaptersToUnload(std::vector<UnusedAdapter> aUnused,
                 std::uint32_t aMissingMb,
                 std::size_t aMissingSlots);

} // namespace crocusslip::placement
