#pragma once

#include "transport/Coroutine.hpp"

#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>

namespace crocusslip::transport {

/// Cancels what is waited for on a socket after some time. Unlike the timeout
/// of tcp_stream it leaves the connection open.
class CancelTimer
{
public:
  CancelTimer(boost::beast::tcp_stream& aStream, std::chrono::nanoseconds aTime)
    : timer_(aStream.get_executor())
  {
    timer_.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(aTime));
    timer_.async_wait(
      [&aStream, wait = wait_](const boost::system::error_code& aError) {
        if (!aError && !wait->over_) {
          wait->expired_ = true;
          boost::system::error_code ignored;
          aStream.socket().cancel(ignored);
        }
      });
  }
  // The timer's handler may run after the wait is over.
  ~CancelTimer() { wait_->over_ = true; }
  CancelTimer(const CancelTimer&) = delete;
  CancelTimer& operator=(const CancelTimer&) = delete;

  bool Expired() const { return wait_->expired_; }

private:
  struct Wait
  {
    bool over_ = false;
    bool expired_ = false;
  };
  const std::shared_ptr<Wait> wait_ = std::make_shared<Wait>();
  asio::steady_timer timer_;
};

} // namespace crocusslip::transport
