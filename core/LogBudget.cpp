#include "core/LogBudget.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::core {

LogBudget::LogBudget(std::uint32_t aLinesPerSecond)
  : linesPerSecond_(aLinesPerSecond)
  , lines_(aLinesPerSecond)
{
}

LogBudget::Verdict
LogBudget::Admit(Time aNow)
{
  const std::lock_guard lock(mutex_);
  const double elapsed = std::chrono::duration<double>(aNow - at_).count();
  at_ = aNow;
  lines_ = std::min(linesPerSecond_,
                    lines_ + linesPerSecond_ * std::max(0.0, elapsed));
  if (lines_ < 1) {
    ++leftOut_;
    return {};
  }
  lines_ -= 1;
  return { true, std::exchange(leftOut_, 0) };
}

} // namespace crocusslip::core
