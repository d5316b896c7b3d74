#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace crocusslip::core {

/// One mistake found in input, with its place.
struct Finding
{
  std::string file_;
  std::uint32_t line_ = 0;
  std::string key_;
  std::string message_;

  /// "file:line: key: message".
  std::string Text() const;
};

using Findings = std::vector<Finding>;

} // namespace crocusslip::core
