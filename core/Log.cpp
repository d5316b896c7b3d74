#include "core/Log.hpp"

#include "core/LogBudget.hpp"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <atomic>
#include <memory>

namespace crocusslip::core {

namespace {

constexpr long kLogFileBytes = 64L * 1024 * 1024;
constexpr int kLogFilesKept = 5;

/// Lines of a process in a second; a host takes some 40 requests a second at
/// the two-year peak, with a few lines each.
constexpr std::uint32_t kLinesPerSecond = 400;

std::atomic<LogLevel> sLevel{ LogLevel::Info };

log4cplus::LogLevel
ToLibrary(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::Logger&
RootLogger()
{
  static log4cplus::Initializer sInitializer;
  static log4cplus::Logger sLogger = log4cplus::Logger::getRoot();
  return sLogger;
}

// Quotes values that contain spaces, quotes or control characters, so that a
// value from outside cannot forge a second line or field.
std::string
Quoted(const std::string& aValue)
{
  const bool plain = !aValue.empty() &&
                     aValue.find_first_of(" \"\\=") == std::string::npos &&
                     std::string::npos == aValue.find_first_of("\r\n\t");
  if (plain) {
    return aValue;
  }
  std::string quoted = "\"";
  for (const char letter : aValue) {
    if (letter == '"' || letter == '\\') {
      quoted += '\\';
    }
    quoted += static_cast<unsigned char>(letter) < 0x20 ? ' ' : letter;
  }
  return quoted + "\"";
}

} // namespace

void
StartLog(const LogSettings& aSettings)
{
  log4cplus::Logger& root = RootLogger();
  root.removeAllAppenders();
  log4cplus::SharedAppenderPtr appender;
  if (aSettings.file_.empty()) {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    appender = new log4cplus::RollingFileAppender(
      aSettings.file_, kLogFileBytes, kLogFilesKept);
  }
  const std::string pattern =
    "%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p host=" + Quoted(aSettings.host_) +
    " failure_domain=" + Quoted(aSettings.failureDomain_) + " %m%n";
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
  root.addAppender(appender);
  SetLogLevel(aSettings.level_);
}

void
SetLogLevel(LogLevel aLevel)
{
  sLevel.store(aLevel);
  RootLogger().setLogLevel(ToLibrary(aLevel));
}

bool
ParseLogLevel(std::string_view aName, LogLevel& aLevel)
{
  if (aName == "debug") {
    aLevel = LogLevel::Debug;
  } else if (aName == "info") {
    aLevel = LogLevel::Info;
  } else if (aName == "warning") {
    aLevel = LogLevel::Warning;
  } else if (aName == "error") {
    aLevel = LogLevel::Error;
  } else {
    return false;
  }
  return true;
}

bool
LogEnabled(LogLevel aLevel)
{
  return aLevel >= sLevel.load(std::memory_order_relaxed);
}

void
Log(LogLevel aLevel,
    std::string_view aMessage,
    std::initializer_list<LogField> aFields)
{
  if (!LogEnabled(aLevel)) {
    return;
  }
  static LogBudget sBudget(kLinesPerSecond);
  const LogBudget::Verdict verdict =
    sBudget.Admit(std::chrono::steady_clock::now());
  if (!verdict.write_) {
    return;
  }
  if (verdict.leftOut_ > 0) {
    RootLogger().log(ToLibrary(LogLevel::Warning),
                     "message=\"lines left out\" count=" +
                       std::to_string(verdict.leftOut_));
  }
  std::string line = "message=" + Quoted(std::string(aMessage));
  for (const LogField& field : aFields) {
    line += ' ';
    line += field.key_;
    line += '=';
    line += Quoted(field.value_);
  }
  RootLogger().log(ToLibrary(aLevel), line);
}

} // namespace crocusslip::core
