/// The frame of a daemon's main(): command line, settings, log, threads,
/// signals and exit code.
///
/// Threads of a daemon: [process] threads run the I/O context, the main thread
/// among them; nothing else of ours starts one. Four more, of the log library,
/// start while the program is loaded, before main, and idle for ever: we log
/// through no queue. The library offers no way to run without them, so nothing
/// may wait for them; see endProcess.
#pragma once

#include "base/settings.h"
#include "daisytack/error.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace daisytack::runtime {

/// Exit codes of the daemons.
enum class ExitCode : int {
  Done = 0,        ///< Drained and stopped, or nothing was to be started.
  CommandLine = 1, ///< Unknown flag or argument.
  Settings = 2,    ///< A mistake in the settings; all are printed.
  Start = 3,       ///< An address can't be had, or a like cause.
  DrainTimeout =
      4,           ///< Accepted work was cut off after [process] drain_timeout.
  Interrupted = 5, ///< SIGINT came while draining.
};

/// What one daemon adds to the frame.
struct ProcessInit {
  std::string Name;    ///< "daisytack-entry".
  std::string Summary; ///< One sentence for --help.
  /// Reads every setting but [process]; keeps the values for Start.
  std::function<void(Settings &)> ReadSettings;
  /// Builds the daemon over the context; false with the reason when it can't.
  std::function<bool(boost::asio::io_context &, Error &reason)> Start;
  /// Called once on an I/O thread, after SIGTERM or SIGINT: refuses new work,
  /// finishes what was accepted, then calls done, and tells whether accepted
  /// work was cut off. The process ends at the given time whatever is left.
  std::function<void(TimePoint end, std::function<void(bool isWhole)> done)>
      Drain;
  /// Called with no I/O thread left running; frees what Start built.
  std::function<void()> Stop;
  /// Called on an I/O thread after SIGHUP, and when the file has changed, with
  /// settings that hold no mistake. ReadSettings was called with them before.
  /// Empty: SIGHUP is ignored.
  std::function<void()> Reload = {};
};

/// Runs the daemon to its end. Flags: --config, --check, --version, --help.
/// Settings: [process] threads, log_level, drain_timeout and kill_after.
int runProcess(int argc, char **argv, const ProcessInit &init);

/// Ends the process with runProcess' result. Everything that the daemon built
/// was freed and every log line was written before; destructors of static
/// objects and handlers of atexit don't run, as those of a library may wait for
/// threads that nothing can wake any more.
[[noreturn]] void endProcess(int code);

/// The text that --help prints.
std::string processUsage(const ProcessInit &init);

} // namespace daisytack::runtime
