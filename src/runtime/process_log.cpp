#include "runtime/process_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <fcntl.h>
#include <iostream>
#include <mutex>
#include <unistd.h>

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

/// Makes standard error non-blocking, so that a log reader that has stopped
/// cannot block the daemon. Otherwise a daemon could not drain, because it
/// would wait for its log line about draining to be written.
void dropLinesWhenFull() {
  int flags = ::fcntl(STDERR_FILENO, F_GETFL);
  if (flags >= 0)
    ::fcntl(STDERR_FILENO, F_SETFL, flags | O_NONBLOCK);
}

/// Clears the error state of the stream first: it would otherwise drop all
/// lines after one that could not be written because the pipe was full.
void writeLine(log4cplus::LogLevel level, const std::string &line) {
  static std::mutex lock;
  std::lock_guard guard(lock);
  std::cerr.clear();
  logger().log(level, line);
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
  // The library can be initialised only once in a program.
  static log4cplus::Initializer library;
  loggerName() = name;
  dropLinesWhenFull();
  log4cplus::SharedAppenderPtr console(
      new log4cplus::ConsoleAppender(true, true));
  console->setLayout(std::make_unique<log4cplus::PatternLayout>(LinePattern));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(console);
  root.setLogLevel(levelOf(level));
}

void logInfo(std::string_view message) {
  writeLine(log4cplus::INFO_LOG_LEVEL, oneLine(message));
}
void logWarning(std::string_view message) {
  writeLine(log4cplus::WARN_LOG_LEVEL, oneLine(message));
}
void logError(std::string_view message) {
  writeLine(log4cplus::ERROR_LOG_LEVEL, oneLine(message));
}

} // namespace daisytack::runtime
