#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace crocusslip::protocol {

/// Follows a server-sent event stream of the OpenAI dialect while its bytes
/// pass through: whether the closing event has come, and how many data events
/// came before it.
class StreamTracker
{
public:
  void Add(std::string_view aBytes);
  bool Closed() const { return closed_; }
  std::uint64_t Events() const { return events_; }
  /// Whether the bytes so far end between two events.
  bool BetweenEvents() const { return line_.empty(); }

private:
  void EndLine();

  /// The unfinished line, up to kLineKept bytes.
  std::string line_;
  std::uint64_t events_ = 0;
  bool closed_ = false;
};

/// A server-sent error event with a problem document.
std::string
ErrorEvent(std::string_view aProblemJson);

} // namespace crocusslip::protocol
