#pragma once

#include "core/Finding.hpp"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

/// Structured logs through log4cplus.
namespace crocusslip::core {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/// One `key=value` of a log line.
struct LogField
{
  std::string_view key_;
  std::string value_;
};

struct LogSettings
{
  LogLevel level_ = LogLevel::Info;
  /// Empty: standard error.
  std::string file_;
  std::string host_;
  std::string failureDomain_;
};

void
StartLog(const LogSettings& aSettings);

void
SetLogLevel(LogLevel aLevel);

/// False when the name is not a level.
bool
ParseLogLevel(std::string_view aName, LogLevel& aLevel);

bool
LogEnabled(LogLevel aLevel);

void
Log(LogLevel aLevel,
    std::string_view aMessage,
    std::initializer_list<LogField> aFields = {});

} // namespace crocusslip::core
