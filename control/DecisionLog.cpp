#include "control/DecisionLog.hpp"

#include <utility>

namespace crocusslip::control {

DecisionLog::DecisionLog(std::size_t aLimit)
  : limit_(aLimit)
{
}

void
DecisionLog::Add(core::WallTime aAt, std::string aSubject, std::string aText)
{
  const std::lock_guard lock(mutex_);
  // A decision that is repeated while its cause lasts is kept once.
  for (const LoggedDecision& recent : decisions_) {
    if (recent.subject_ == aSubject) {
      if (recent.text_ == aText) {
        return;
      }
      break;
    }
  }
  decisions_.push_front({ aAt, std::move(aSubject), std::move(aText) });
  if (decisions_.size() > limit_) {
    decisions_.pop_back();
  }
}

std::vector<LoggedDecision>
DecisionLog::Find(const std::string& aSubject, std::size_t aMost) const
{
  const std::lock_guard lock(mutex_);
  std::vector<LoggedDecision> found;
  for (const LoggedDecision& decision : decisions_) {
    if (found.size() == aMost) {
      break;
    }
    if (aSubject.empty() || decision.subject_ == aSubject ||
        decision.text_.find(aSubject) != std::string::npos) {
      found.push_back(decision);
    }
  }
  return found;
}

} // namespace crocusslip::control
