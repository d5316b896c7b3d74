#include "transport/Timer.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <thread>
#include <utility>

namespace crocusslip::transport {

namespace {

class TimerHandle final : public Timer::Handle
{
public:
  TimerHandle(boost::asio::io_context& aContext,
              std::function<void()> aCallback)
    : timer_(aContext)
    , callback_(std::move(aCallback))
  {
  }

  void Cancel() override { cancelled_.store(true); }

  static void Arm(const std::shared_ptr<TimerHandle>& aSelf,
                  std::chrono::nanoseconds aDelay)
  {
    aSelf->timer_.expires_after(aDelay);
    aSelf->timer_.async_wait([aSelf](const boost::system::error_code& aError) {
      const std::function<void()> callback = std::move(aSelf->callback_);
      if (!aError && !aSelf->cancelled_.load()) {
        callback();
      }
    });
  }

private:
  boost::asio::steady_timer timer_;
  std::function<void()> callback_;
  std::atomic<bool> cancelled_{ false };
};

} // namespace

struct Timer::Content
{
  boost::asio::io_context context_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    work_ = boost::asio::make_work_guard(context_);
  std::thread thread_{ [this] { context_.run(); } };
};

Timer::Timer()
  : content_(std::make_unique<Content>())
{
}

Timer::~Timer()
{
  content_->context_.stop();
  content_->thread_.join();
}

std::shared_ptr<Timer::Handle>
Timer::After(std::chrono::nanoseconds aDelay, std::function<void()> aCallback)
{
  auto handle =
    std::make_shared<TimerHandle>(content_->context_, std::move(aCallback));
  TimerHandle::Arm(handle, aDelay);
  return handle;
}

Timer&
SharedTimer()
{
  // Never destroyed: callbacks may run until the process ends.
  static Timer* sTimer = new Timer;
  return *sTimer;
}

} // namespace crocusslip::transport
