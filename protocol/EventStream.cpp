#include "protocol/EventStream.hpp"

#include <algorithm>
#include <charconv>

namespace crocusslip::protocol {

namespace {

struct EventEnd
{
  std::size_t position_;
  std::size_t length_;
};

/// The blank line that ends the first event.
std::optional<EventEnd>
FindEnd(std::string_view aText)
{
  const auto plain = aText.find("\n\n");
  const auto withReturn = aText.find("\r\n\r\n");
  if (plain == std::string_view::npos && withReturn == plain) {
    return std::nullopt;
  }
  if (plain < withReturn) {
    return EventEnd{ plain, 2 };
  }
  return EventEnd{ withReturn, 4 };
}

std::optional<std::uint64_t>
IdOf(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    const auto end = std::min(aEvent.find('\n'), aEvent.size());
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    if (std::from_chars(line.data(), line.data() + line.size(), id).ec ==
        std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

} // namespace

void
EventSplitter::Add(std::string_view aBytes)
{
  pending_ += aBytes;
}

std::string
EventSplitter::TakeWhole()
{
  std::string whole;
  std::size_t begin = 0;
  const std::string_view text = pending_;
  while (const auto end = FindEnd(text.substr(begin))) {
    const std::size_t size = end->position_ + end->length_;
    const std::string_view event = text.substr(begin, size);
    begin += size;
    begun_ = true;
    const auto id = IdOf(event);
    if (id && skipThrough_ && *id <= *skipThrough_) {
      continue;
    }
    gap_ = gap_ || (id && lastId_ && *id != *lastId_ + 1);
    if (id) {
      lastId_ = id;
    }
    ++taken_;
    whole += event;
  }
  pending_.erase(0, begin);
  return whole;
}

} // namespace crocusslip::protocol
