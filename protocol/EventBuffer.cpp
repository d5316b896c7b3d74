#include "protocol/EventBuffer.hpp"

#include "protocol/StreamTracker.hpp"

#include <algorithm>
#include <utility>

namespace crocusslip::protocol {

namespace {

EventKind
KindOf(std::string_view aEvent)
{
  StreamTracker tracker;
  tracker.Add(aEvent);
  if (tracker.Closed()) {
    return EventKind::Closing;
  }
  return tracker.Events() > 0 ? EventKind::Data : EventKind::Other;
}

/// End of the blank line that follows the line break at aBreak; npos when
/// there is none.
std::size_t
EndOfBlankLine(std::string_view aText, std::size_t aBreak)
{
  const std::string_view rest = aText.substr(aBreak + 1);
  if (!rest.empty() && rest[0] == '\n') {
    return aBreak + 2;
  }
  return rest.substr(0, 2) == "\r\n" ? aBreak + 3 : std::string_view::npos;
}

} // namespace

std::vector<StreamEvent>
EventBuffer::Add(std::string_view aBytes)
{
  std::vector<StreamEvent> events;
  pending_.append(aBytes);
  std::size_t begin = 0;
  std::size_t at = searched_;
  while ((at = pending_.find('\n', at)) != std::string::npos) {
    const std::size_t end = EndOfBlankLine(pending_, at);
    if (end == std::string::npos) {
      ++at;
      continue;
    }
    std::string event = pending_.substr(begin, end - begin);
    const EventKind kind = KindOf(event);
    events.push_back({ std::move(event), kind });
    begin = end;
    at = end;
  }
  pending_.erase(0, begin);
  // The blank line may come in two parts of up to three bytes together.
  constexpr std::size_t kOverlap = 2;
  searched_ = pending_.size() - std::min(pending_.size(), kOverlap);
  return events;
}

std::string
EventBuffer::TakeUnfinished()
{
  searched_ = 0;
  return std::exchange(pending_, {});
}

} // namespace crocusslip::protocol
