#pragma once

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace crocusslip::fakes {

/// What a stand-in did, one JSON object a line; tests judge by it.
class EventLog
{
public:
  /// An empty file name logs nothing.
  explicit EventLog(const std::string& aFile);

  /// aFields is the inside of a JSON object, e.g. `"model":"a"`.
  void Add(const std::string& aEvent, const std::string& aFields);

private:
  std::mutex mutex_;
  std::ofstream file_;
};

} // namespace crocusslip::fakes
