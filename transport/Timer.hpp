#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace crocusslip::transport {

/// Runs callbacks after a delay, on a thread of its own; callbacks are short.
class Timer
{
public:
  class Handle
  {
  public:
    virtual ~Handle() = default;
    virtual void Cancel() = 0;
  };

  Timer();
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  std::shared_ptr<Handle> After(std::chrono::nanoseconds aDelay,
                                std::function<void()> aCallback);

private:
  struct Content;
  std::unique_ptr<Content> content_;
};

/// The process's timer.
Timer&
SharedTimer();

} // namespace crocusslip::transport
