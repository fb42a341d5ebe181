// Preloaded into an entry by suspend_test.py: each SIGUSR1 makes the machine
// appear to have been suspended for ten seconds. CLOCK_BOOTTIME and
// CLOCK_REALTIME advance by them, CLOCK_MONOTONIC doesn't.
#include <csignal>
#include <ctime>
#include <dlfcn.h>

#include <atomic>

namespace {

constexpr time_t SuspendedSeconds = 10;
std::atomic<time_t> SuspensionOffset{0};

void addSuspension(int) { SuspensionOffset += SuspendedSeconds; }

__attribute__((constructor)) void installSignalHandler() {
  struct sigaction action = {};
  action.sa_handler = addSuspension;
  action.sa_flags = SA_RESTART;
  sigaction(SIGUSR1, &action, nullptr);
}

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec *out) noexcept {
  using Read = int(clockid_t, timespec *);
  static auto *read =
      reinterpret_cast<Read *>(dlsym(RTLD_NEXT, "clock_gettime"));
  int result = read(clock, out);
  if (result == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME))
    out->tv_sec += SuspensionOffset;
  return result;
}
