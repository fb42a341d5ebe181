/// Log lines of a daemon: log4cplus to standard error in one format,
/// "TIME LEVEL NAME MESSAGE" with the time in UTC. Lines are dropped when the
/// pipe is full; writing never blocks.
#pragma once

#include <string>
#include <string_view>

namespace daisytack::runtime {

/// Sets up the log. The level is "error", "warn", "info" or "debug". Modules
/// with a logger of their own use log4cplus::Logger::getInstance(NAME).
void openLog(const std::string &name, const std::string &level);

/// Write one line each; for changes of state only. Control characters are
/// replaced by spaces, so that a message is always one line.
void logInfo(std::string_view message);
void logWarning(std::string_view message);
void logError(std::string_view message);

} // namespace daisytack::runtime
