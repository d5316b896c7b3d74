#pragma once

#include "core/Ids.hpp"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace crocusslip::state {

/// Keys of a table that commands changed, by the log index of the command, so
/// that a reader follows the table without copying it. Not replicated: a
/// member that restarts or restores a snapshot begins a new feed.
template<typename Key>
class ChangeFeed
{
public:
  /// Changes kept; a reader further behind reads the whole table.
  static constexpr std::size_t kKept = 16384;

  void Add(core::LogIndex aIndex, Key aKey)
  {
    changes_.emplace_back(aIndex, std::move(aKey));
    if (changes_.size() > kKept) {
      floor_ = changes_.front().first;
      changes_.pop_front();
    }
  }

  /// What changed up to this index is not known.
  void Restart(core::LogIndex aIndex)
  {
    changes_.clear();
    floor_ = aIndex;
  }

  /// Keys changed after this index, a key as often as it changed; nothing when
  /// the feed does not go back that far.
  std::optional<std::vector<Key>> Since(core::LogIndex aSeen) const
  {
    if (aSeen < floor_) {
      return std::nullopt;
    }
    const auto begin =
      std::upper_bound(changes_.begin(),
                       changes_.end(),
                       aSeen,
                       [](core::LogIndex aIndex, const auto& aChange) {
                         return aIndex < aChange.first;
                       });
    std::vector<Key> keys;
    keys.reserve(static_cast<std::size_t>(changes_.end() - begin));
    for (auto next = begin; next != changes_.end(); ++next) {
      keys.push_back(next->second);
    }
    return keys;
  }

private:
  std::deque<std::pair<core::LogIndex, Key>> changes_;
  core::LogIndex floor_;
};

} // namespace crocusslip::state
