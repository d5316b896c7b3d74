#pragma once

#include "core/Clock.hpp"

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace crocusslip::control {

/// One decision with the figures that led to it.
struct LoggedDecision
{
  core::WallTime at_;
  /// Deployment, server or host that it is about.
  std::string subject_;
  std::string text_;
};

/// The most recent decisions of this member, for `crocusslip why`.
class DecisionLog
{
public:
  explicit DecisionLog(std::size_t aLimit = 2000);

  void Add(core::WallTime aAt, std::string aSubject, std::string aText);
  /// Newest first; an empty subject means all.
  std::vector<LoggedDecision> Find(const std::string& aSubject,
                                   std::size_t aMost) const;

private:
  const std::size_t limit_;
  /// Innermost lock.
  mutable std::mutex mutex_;
  std::deque<LoggedDecision> decisions_;
};

} // namespace crocusslip::control
