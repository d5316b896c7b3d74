#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace crocusslip::state {

/// Stores each distinct text once, with a count of its users; texts without
/// users are dropped and their numbers used again.
class StringPool
{
public:
  using Id = std::uint32_t;
  static constexpr Id kNone = 0xFFFFFFFF;

  /// Adds one user of the text.
  Id Acquire(std::string_view aText);
  void Release(Id aId);
  /// The number of a stored text, or kNone.
  Id Find(std::string_view aText) const;
  const std::string& Text(Id aId) const { return entries_[aId].text_; }
  std::size_t Size() const { return index_.size(); }

private:
  struct Entry
  {
    std::string text_;
    std::uint32_t users_ = 0;
  };

  std::deque<Entry> entries_;
  std::vector<Id> free_;
  std::unordered_map<std::string_view, Id> index_;
};

} // namespace crocusslip::state
