#include "transport/Coroutine.hpp"

#include "core/Log.hpp"

namespace crocusslip::transport {

void
LogUnexpected(const std::exception_ptr& aError)
{
  if (!aError) {
    return;
  }
  std::string what = "not a standard exception";
  try {
    std::rethrow_exception(aError);
  } catch (const std::exception& error) {
    what = error.what();
  } catch (...) {
    // Has no text.
  }
  core::Log(core::LogLevel::Error, "unexpected error", { { "error", what } });
}

void
RunLoop(asio::io_context& aLoop)
{
  while (true) {
    try {
      aLoop.run();
      return;
    } catch (...) {
      LogUnexpected(std::current_exception());
    }
  }
}

} // namespace crocusslip::transport
