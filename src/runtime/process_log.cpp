#include "runtime/process_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

namespace daisytack::runtime {

namespace {

constexpr const char *LinePattern = "%d{%Y-%m-%dT%H:%M:%S.%q}Z %p %c %m%n";
constexpr unsigned char FirstPrintable = 0x20;

std::string &loggerName() {
  static std::string name = "daisytack";
  return name;
}

log4cplus::Logger logger() {
  return log4cplus::Logger::getInstance(loggerName());
}

std::string oneLine(std::string_view message) {
  std::string out(message);
  for (char &c : out)
    if (static_cast<unsigned char>(c) < FirstPrintable)
      c = ' ';
  return out;
}

log4cplus::LogLevel levelOf(const std::string &name) {
  if (name == "error")
    return log4cplus::ERROR_LOG_LEVEL;
  if (name == "warn")
    return log4cplus::WARN_LOG_LEVEL;
  return name == "debug" ? log4cplus::DEBUG_LOG_LEVEL
                         : log4cplus::INFO_LOG_LEVEL;
}

} // namespace

void openLog(const std::string &name, const std::string &level) {
  // The library can't be initialised twice in one program.
  static log4cplus::Initializer library;
  loggerName() = name;
  log4cplus::SharedAppenderPtr console(
      new log4cplus::ConsoleAppender(true, true));
  console->setLayout(std::make_unique<log4cplus::PatternLayout>(LinePattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(console);
  root.setLogLevel(levelOf(level));
}

void logInfo(std::string_view message) {
  LOG4CPLUS_INFO(logger(), oneLine(message));
}
void logWarning(std::string_view message) {
  LOG4CPLUS_WARN(logger(), oneLine(message));
}
void logError(std::string_view message) {
  LOG4CPLUS_ERROR(logger(), oneLine(message));
}

} // namespace daisytack::runtime
