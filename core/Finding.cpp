#include "core/Finding.hpp"

namespace crocusslip::core {

std::string
Finding::Text() const
{
  std::string text = file_;
  if (line_ != 0) {
    text += ":" + std::to_string(line_);
  }
  if (!key_.empty()) {
    text += (text.empty() ? "" : ": ") + key_;
  }
  return text + (text.empty() ? "" : ": ") + message_;
}

} // namespace crocusslip::core
