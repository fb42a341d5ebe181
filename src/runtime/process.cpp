#include "runtime/process.h"

#include "base/clock.h"
#include "net/timer.h"
#include "runtime/process_end.h"
#include "runtime/process_log.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <sys/stat.h>
#include <thread>
#include <unistd.h>

DEFINE_string(config, "", "settings file (INI); else that of DAISYTACK_CONFIG");
DEFINE_bool(check, false, "check the settings and exit");
DECLARE_bool(help);
DECLARE_bool(helpshort);
DECLARE_bool(helpfull);
DECLARE_bool(version);

namespace daisytack::runtime {

namespace {

constexpr int64_t MaxThreads = 256;
/// Interval between checks of the settings file for changes.
constexpr std::chrono::seconds FileCheckInterval{1};
/// The process ends by itself this long before the platform would kill it, so
/// that its last bytes are sent and its exit code is its own.
constexpr Duration KillMargin{200'000};

/// A daemon that has not ended its drain by itself is stopped this long after
/// the end of the drain.
constexpr Duration DrainEndMargin{100'000};

/// Size of blocks from which on each is mapped by itself; the initial value of
/// the threshold in glibc.
constexpr int LargeBlockBytes = 128 << 10;

/// Settings section [process].
struct ProcessSettings {
  unsigned Threads = 1;
  std::string LogLevel;
  Duration DrainTimeout{0};
  /// Delay after its signal at which the platform kills the process; zero: it
  /// never does.
  Duration KillAfter{0};
};

ProcessSettings readProcessSettings(Settings &settings) {
  ProcessSettings out;
  out.Threads = static_cast<unsigned>(
      settings.integer("process.threads", 2, 1, MaxThreads));
  out.LogLevel = settings.choice("process.log_level", "info",
                                 {"error", "warn", "info", "debug"});
  out.DrainTimeout =
      settings.duration("process.drain_timeout", std::chrono::minutes(2),
                        Duration(0), std::chrono::hours(24));
  out.KillAfter = settings.duration("process.kill_after", Duration(0),
                                    Duration(0), std::chrono::hours(24));
  return out;
}

/// Blocks or unblocks SIGTERM, SIGINT and SIGHUP. They are blocked until their
/// handlers are installed, because by default each of them would end a process
/// that is starting.
void maskSignals(int how) {
  sigset_t handled;
  sigemptyset(&handled);
  for (int number : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&handled, number);
  pthread_sigmask(how, &handled, nullptr);
}

/// Whether the signal was sent and is blocked.
bool isPending(int number) {
  sigset_t pending;
  sigemptyset(&pending);
  sigpending(&pending);
  return sigismember(&pending, number) == 1;
}

/// Runs the I/O context until the daemon has drained.
class ProcessRunner {
public:
  /// StartedAt: start time of the process.
  ProcessRunner(const ProcessInit &init, const ProcessSettings &settings,
                TimePoint startedAt)
      : Init(init), Config(settings), StartedAt(startedAt),
        Io(static_cast<int>(settings.Threads)), Signals(Io, SIGTERM, SIGINT),
        Timer(Io), ReloadStrand(boost::asio::make_strand(Io)),
        Hangups(ReloadStrand, SIGHUP), FileTimer(ReloadStrand),
        LastFileState(fileState()) {}

  ExitCode run() {
    WasSignalPending = isPending(SIGTERM) || isPending(SIGINT);
    waitForSignal();
    waitForHangup();
    maskSignals(SIG_UNBLOCK);
    watchFile();
    Error reason;
    if (!Init.Start(Io, reason)) {
      logError("can't start: " + std::string(errorName(reason.Kind)) + ": " +
               reason.Detail);
      return ExitCode::Start;
    }
    logInfo("started, version " DAISYTACK_VERSION);
    runThreads();
    logInfo("stopped");
    if (Init.Stop)
      Init.Stop();
    return Result;
  }

private:
  void waitForSignal() {
    Signals.async_wait([this](boost::system::error_code ec, int number) {
      if (!ec)
        onSignal(number);
    });
  }

  void waitForHangup() {
    Hangups.async_wait([this](boost::system::error_code ec, int) {
      if (ec)
        return;
      reload();
      waitForHangup();
    });
  }

  /// Number that changes with the size or modification time of the settings
  /// file.
  static uint64_t fileState() {
    struct stat info {};
    if (::stat(FLAGS_config.c_str(), &info) != 0)
      return 0;
    constexpr uint64_t NanosPerSecond = 1'000'000'000;
    return static_cast<uint64_t>(info.st_mtim.tv_sec) * NanosPerSecond +
           static_cast<uint64_t>(info.st_mtim.tv_nsec) +
           static_cast<uint64_t>(info.st_size);
  }

  /// Reloads the settings when their file changes, as this may happen without a
  /// signal.
  void watchFile() {
    if (!Init.Reload)
      return;
    FileTimer.expires_after(FileCheckInterval);
    FileTimer.async_wait([this](boost::system::error_code ec) {
      if (ec)
        return;
      if (fileState() != LastFileState)
        reload();
      watchFile();
    });
  }

  void reload() {
    if (!Init.Reload || IsDraining)
      return;
    LastFileState = fileState();
    Settings settings = Settings::fromFile(FLAGS_config);
    readProcessSettings(settings);
    Init.ReadSettings(settings);
    std::vector<SettingError> errors = settings.finish();
    for (const SettingError &error : errors)
      logError("settings not reloaded: " + toString(error));
    if (!errors.empty())
      return;
    logInfo("settings reloaded");
    Init.Reload();
  }

  /// Time limit of a drain that begins now.
  TimePoint drainEnd(TimePoint now) const {
    TimePoint end = now + Config.DrainTimeout;
    if (Config.KillAfter == Duration::zero())
      return end;
    // A signal that was blocked may have been sent as early as the start of the
    // process.
    TimePoint sent = WasSignalPending ? StartedAt : now;
    return std::clamp(sent + Config.KillAfter - KillMargin, now, end);
  }

  void onSignal(int number) {
    bool isRepeated = IsDraining.exchange(true);
    waitForSignal();
    if (isRepeated)
      return onRepeatedSignal(number);
    TimePoint now = monotonicNow();
    TimePoint end = drainEnd(now);
    logInfo("draining, for at most " + toString(end - now));
    Timer.expires_after(end - now + DrainEndMargin);
    Timer.async_wait([this](boost::system::error_code ec) {
      if (!ec)
        stop(ExitCode::DrainTimeout);
    });
    Init.Drain(end, [this](bool isWhole) {
      stop(isWhole ? ExitCode::Done : ExitCode::DrainTimeout);
    });
  }

  /// A repeated SIGTERM is ignored, because a platform may repeat its signal
  /// and accepted work must not be cut off. SIGINT while draining ends the
  /// process: it comes from a person at a terminal who interrupts it a second
  /// time.
  void onRepeatedSignal(int number) {
    if (number == SIGINT)
      return stop(ExitCode::Interrupted);
    logInfo("draining already");
  }

  void stop(ExitCode code) {
    if (IsStopped.exchange(true))
      return;
    Result = code;
    Io.stop();
  }

  void runThreads() {
    std::vector<std::jthread> threads;
    for (unsigned i = 1; i < Config.Threads; ++i)
      threads.emplace_back([this] { Io.run(); });
    Io.run();
  }

  const ProcessInit &Init;
  ProcessSettings Config;
  TimePoint StartedAt;
  bool WasSignalPending = false; ///< A stop signal came before its handler.
  boost::asio::io_context Io;
  boost::asio::signal_set Signals;
  net::Timer Timer;
  /// A hangup and the check of the file reload one after the other.
  boost::asio::strand<boost::asio::io_context::executor_type> ReloadStrand;
  boost::asio::signal_set Hangups;
  net::Timer FileTimer;
  uint64_t LastFileState; ///< State of the settings file when it was last read.
  std::atomic<bool> IsDraining{false};
  std::atomic<bool> IsStopped{false};
  ExitCode Result = ExitCode::Done;
};

int asInt(ExitCode code) { return static_cast<int>(code); }

void printErrors(const std::vector<SettingError> &errors) {
  for (const SettingError &error : errors)
    std::cerr << toString(error) << "\n";
}

int runConfigured(const ProcessInit &init, TimePoint startedAt) {
  Settings settings = Settings::fromFile(FLAGS_config);
  ProcessSettings process = readProcessSettings(settings);
  init.ReadSettings(settings);
  std::vector<SettingError> errors = settings.finish();
  if (!errors.empty()) {
    printErrors(errors);
    return asInt(ExitCode::Settings);
  }
  if (FLAGS_check) {
    std::cout << FLAGS_config << ": no mistakes\n";
    return asInt(ExitCode::Done);
  }
  if (init.MemoryLimit)
    setMemoryLimit(init.MemoryLimit());
  openLog(init.Name, process.LogLevel);
  return asInt(ProcessRunner(init, process, startedAt).run());
}

} // namespace

std::string processUsage(const ProcessInit &init) {
  return init.Summary + "\n\nusage: " + init.Name +
         " --config=FILE [--check]\n\n"
         "  --config=FILE  settings file (INI); by default the one that the\n"
         "                 variable DAISYTACK_CONFIG names\n"
         "  --check        check the settings, print every mistake and exit\n"
         "  --version      print the version and exit\n"
         "  --help         print this and exit\n\n"
         "SIGHUP, and a change of the file, reads the settings again.\n"
         "SIGTERM or SIGINT drains: no new work, what was accepted "
         "finishes.\n\n"
         "exit codes: 0 done, 1 command line, 2 settings, 3 can't start,\n"
         "            4 drain timeout, 5 SIGINT while draining\n";
}

void mapLargeBlocks() { ::mallopt(M_MMAP_THRESHOLD, LargeBlockBytes); }

void endProcess(int code) {
  std::cout.flush();
  std::cerr.flush();
  std::fflush(nullptr);
  // The destructor of the log library waits for the end of its four threads.
  // Some platforms do not deliver the wake-up to threads that were started
  // before main, so the threads never end, and a stopped entry hangs until it
  // is killed at the end of the grace period, 6 s later.
  ::_exit(code);
}

int runProcess(int argc, char **argv, const ProcessInit &init) {
  reportAbnormalEnd(init.Name);
  maskSignals(SIG_BLOCK);
  TimePoint startedAt = monotonicNow();
  gflags::SetUsageMessage(processUsage(init));
  gflags::SetVersionString(DAISYTACK_VERSION);
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  if (FLAGS_help || FLAGS_helpshort || FLAGS_helpfull) {
    std::cout << processUsage(init);
    return asInt(ExitCode::Done);
  }
  if (FLAGS_version) {
    std::cout << init.Name << " " << DAISYTACK_VERSION << "\n";
    return asInt(ExitCode::Done);
  }
  const char *fromEnvironment = std::getenv("DAISYTACK_CONFIG");
  if (FLAGS_config.empty() && fromEnvironment)
    FLAGS_config = fromEnvironment;
  if (argc > 1 || FLAGS_config.empty()) {
    std::cerr << (argc > 1
                      ? "unexpected argument '" + std::string(argv[1]) + "'"
                      : std::string("--config is missing"))
              << "; see --help\n";
    return asInt(ExitCode::CommandLine);
  }
  return runConfigured(init, startedAt);
}

} // namespace daisytack::runtime
