#pragma once

// Asio 1.74 uses std::exchange without this header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>

/// Coroutines on one event loop. Everything that runs on a loop runs on its
/// one thread, so that its objects need no locks.
namespace crocusslip::transport {

namespace asio = boost::asio;

template<typename T>
using Task = asio::awaitable<T>;

/// Completion token that reports failure in aError instead of throwing.
inline auto
Catch(boost::system::error_code& aError)
{
  return asio::redirect_error(asio::use_awaitable, aError);
}

/// Waits on aTimer; true when its time came, false when it was cancelled.
inline Task<bool>
Sleep(asio::steady_timer& aTimer, std::chrono::nanoseconds aTime)
{
  aTimer.expires_after(
    std::chrono::duration_cast<asio::steady_timer::duration>(aTime));
  boost::system::error_code error;
  co_await aTimer.async_wait(Catch(error));
  co_return !error;
}

/// Logs an exception that nothing else has handled; null is none.
void
LogUnexpected(const std::exception_ptr& aError);

/// Starts a coroutine that nobody waits for. An exception ends only this
/// coroutine.
template<typename Function>
void
Spawn(asio::io_context& aLoop, Function aFunction)
{
  asio::co_spawn(
    aLoop, std::move(aFunction), [](const std::exception_ptr& aError) {
      LogUnexpected(aError);
    });
}

/// Runs the loop until it is stopped, also after a handler has thrown.
void
RunLoop(asio::io_context& aLoop);

} // namespace crocusslip::transport
