#include "state/StringPool.hpp"

namespace crocusslip::state {

StringPool::Id
StringPool::Acquire(std::string_view aText)
{
  if (const auto found = index_.find(aText); found != index_.end()) {
    ++entries_[found->second].users_;
    return found->second;
  }
  Id id = 0;
  if (free_.empty()) {
    id = static_cast<Id>(entries_.size());
    entries_.emplace_back();
  } else {
    id = free_.back();
    free_.pop_back();
  }
  Entry& entry = entries_[id];
  entry.text_ = aText;
  entry.users_ = 1;
  index_.emplace(entry.text_, id);
  return id;
}

void
StringPool::Release(Id aId)
{
  Entry& entry = entries_[aId];
  if (--entry.users_ != 0) {
    return;
  }
  index_.erase(entry.text_);
  entry.text_ = std::string();
  free_.push_back(aId);
}

StringPool::Id
StringPool::Find(std::string_view aText) const
{
  const auto found = index_.find(aText);
  return found == index_.end() ? kNone : found->second;
}

} // namespace crocusslip::state
