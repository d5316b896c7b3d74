#include "protocol/StreamTracker.hpp"

#include <algorithm>

namespace crocusslip::protocol {

namespace {

constexpr std::string_view kData = "data:";
constexpr std::string_view kDone = "[DONE]";
/// Enough to recognise a line; the rest of a long one is not kept.
constexpr std::size_t kLineKept = 64;

} // namespace

void
StreamTracker::Add(std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const std::size_t end = std::min(aBytes.find('\n'), aBytes.size());
    const std::size_t kept =
      std::min(end, kLineKept - std::min(kLineKept, line_.size()));
    line_.append(aBytes.substr(0, kept));
    if (end == aBytes.size()) {
      return;
    }
    EndLine();
    aBytes.remove_prefix(end + 1);
  }
}

void
StreamTracker::EndLine()
{
  std::string_view line = line_;
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (line.substr(0, kData.size()) == kData) {
    line.remove_prefix(kData.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    if (line == kDone) {
      closed_ = true;
    } else {
      ++events_;
    }
  }
  line_.clear();
}

std::string
ErrorEvent(std::string_view aProblemJson)
{
  return "event: error\ndata: " + std::string(aProblemJson) + "\n\n";
}

} // namespace crocusslip::protocol
