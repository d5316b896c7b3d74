#pragma once

#include <chrono>

namespace crocusslip::admission {

/// How far the requests of a tenant may exceed its quota: in each window at
/// most (rate x window + burst) x (1 + overshoot) + slack units are served.
struct QuotaBound
{
  std::chrono::milliseconds window_{ 8000 };
  double overshoot_ = 0;
  double slack_ = 0;
};

} // namespace crocusslip::admission
