#include "runtime/process_usage.h"

#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace daisytack::runtime {

namespace {

constexpr int64_t MicrosPerSecond = 1'000'000;

uint64_t microsOf(const timeval &time) {
  return static_cast<uint64_t>(time.tv_sec * MicrosPerSecond + time.tv_usec);
}

} // namespace

ProcessUsage processUsage() {
  ProcessUsage out;
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0)
    out.CpuMicros = microsOf(usage.ru_utime) + microsOf(usage.ru_stime);
  uint64_t pages = 0;
  uint64_t resident = 0;
  if (std::ifstream("/proc/self/statm") >> pages >> resident)
    out.ResidentBytes = resident * static_cast<uint64_t>(getpagesize());
  return out;
}

} // namespace daisytack::runtime
