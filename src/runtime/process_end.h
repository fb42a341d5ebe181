/// The last line of a process that ends by a fault of its own.
#pragma once

#include <cstdint>
#include <string>

namespace daisytack::runtime {

/// Makes an unhandled exception, such as that of a failed allocation, write one
/// line to standard error before the process ends by SIGABRT. The line names
/// the exception's type and text, the resident memory and the memory limit, in
/// the format of the log. `name` is the daemon's. Call once, at the start.
void reportAbnormalEnd(const std::string &name);

/// Sets the memory limit that the line names; 0: not known. Thread-safe.
void setMemoryLimit(uint64_t bytes);

} // namespace daisytack::runtime
