/// Common part of the daemons' main(): command line, settings, log, threads,
/// signals and exit code.
///
/// Threads of a daemon: as many threads as [process] threads says run the I/O
/// context, the main thread among them; our code starts no other thread. The
/// log library starts four threads while the program is loaded, before main.
/// They stay idle because no log line goes through a queue. The library cannot
/// run without them, so nothing may wait for them; see endProcess.
#pragma once

#include "base/settings.h"
#include "daisytack/error.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace daisytack::runtime {

/// Exit codes of the daemons.
enum class ExitCode : int {
  Done = 0, ///< Drained and stopped, or --check, --help or --version succeeded.
  CommandLine = 1, ///< Unknown flag or argument.
  Settings = 2,    ///< An error in the settings; all errors are printed.
  Start = 3,       ///< For example, an address cannot be bound.
  DrainTimeout =
      4,           ///< Accepted work was cut off after [process] drain_timeout.
  Interrupted = 5, ///< SIGINT came while draining.
};

/// Name and hooks of a daemon.
struct ProcessInit {
  std::string Name;    ///< "daisytack-entry".
  std::string Summary; ///< One sentence for --help.
  /// Reads all settings except section [process], and keeps the values for
  /// Start.
  std::function<void(Settings &)> ReadSettings;
  /// Builds the daemon on the I/O context. Returns false and sets the reason if
  /// it cannot.
  std::function<bool(boost::asio::io_context &, Error &reason)> Start;
  /// Called once on an I/O thread after SIGTERM or SIGINT. Refuses new work,
  /// finishes accepted work, then calls done with false if accepted work was
  /// cut off. The process stops at the given end even if work is left.
  std::function<void(TimePoint end, std::function<void(bool isWhole)> done)>
      Drain;
  /// Called after all I/O threads have ended. Frees what Start has built.
  std::function<void()> Stop;
  /// Called on an I/O thread after SIGHUP or a change of the settings file, if
  /// the settings are valid. ReadSettings has been called with them before. A
  /// reload begins only after the one before it has ended.
  /// Empty: SIGHUP and changes of the file are ignored.
  std::function<void()> Reload = {};
  /// Returns the memory limit of the process in bytes; 0: not known. Called
  /// after ReadSettings. Empty: not known.
  std::function<uint64_t()> MemoryLimit = {};
};

/// Runs the daemon to its end. Flags: --config, --check, --version, --help.
/// Settings: [process] threads, log_level, drain_timeout and kill_after.
int runProcess(int argc, char **argv, const ProcessInit &init);

/// Makes large blocks return their memory to the system as soon as they are
/// freed. Otherwise the allocator raises its threshold with the first of them,
/// and takes later ones from the heap, where small blocks behind them keep
/// their memory resident. Call it first in main().
void mapLargeBlocks();

/// Ends the process with the result of runProcess(), after the daemon has been
/// freed and all log lines have been written. Destructors of static objects and
/// atexit handlers do not run, because those of a library may wait for threads
/// that cannot be woken up any more.
[[noreturn]] void endProcess(int code);

/// The text that --help prints.
std::string processUsage(const ProcessInit &init);

} // namespace daisytack::runtime
