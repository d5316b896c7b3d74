#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocusslip::protocol {

enum class EventKind : std::uint8_t
{
  /// A comment or an event without data.
  Other,
  Data,
  /// The closing event of the OpenAI dialect.
  Closing,
};

/// One whole event, with the blank line that ends it.
struct StreamEvent
{
  std::string bytes_;
  EventKind kind_ = EventKind::Other;
};

/// Divides a server-sent event stream into whole events, so that a stream that
/// breaks inside an event can be continued with this event.
class EventBuffer
{
public:
  /// Returns the events that the bytes complete.
  std::vector<StreamEvent> Add(std::string_view aBytes);
  /// Bytes of the event that is not complete yet.
  std::size_t Unfinished() const { return pending_.size(); }
  /// Takes the bytes of the unfinished event out.
  std::string TakeUnfinished();

private:
  std::string pending_;
  /// Length of the part of pending_ that holds no end of an event.
  std::size_t searched_ = 0;
};

} // namespace crocusslip::protocol
