#include "fakes/EventLog.hpp"

#include <chrono>

namespace crocusslip::fakes {

EventLog::EventLog(const std::string& aFile)
{
  if (!aFile.empty()) {
    file_.open(aFile, std::ios::app);
  }
}

void
EventLog::Add(const std::string& aEvent, const std::string& aFields)
{
  if (!file_.is_open()) {
    return;
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto at =
    std::chrono::duration_cast<std::chrono::microseconds>(now).count();
  const std::lock_guard lock(mutex_);
  // Flushed line by line: the process may be killed at any time.
  file_ << "{\"at_us\":" << at << ",\"event\":\"" << aEvent << "\"";
  if (!aFields.empty()) {
    file_ << "," << aFields;
  }
  file_ << "}" << std::endl;
}

} // namespace crocusslip::fakes
