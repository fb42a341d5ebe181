/// Log lines of a daemon: log4cplus to standard error in one format,
/// "TIME LEVEL NAME MESSAGE" with the time in UTC. A full pipe loses lines and
/// holds up nobody.
#pragma once

#include <string>
#include <string_view>

namespace daisytack::runtime {

/// Sets the log up; the level is "error", "warn", "info" or "debug". Modules
/// that want a logger of their own take log4cplus::Logger::getInstance(NAME).
void openLog(const std::string &name, const std::string &level);

/// One line each, for changes of state only. Control characters are replaced,
/// so that one message is one line.
void logInfo(std::string_view message);
void logWarning(std::string_view message);
void logError(std::string_view message);

} // namespace daisytack::runtime
