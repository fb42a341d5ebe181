#include "runtime/process_usage.h"

#include <fstream>
#include <limits>
#include <string>
#include <sys/resource.h>

namespace daisytack::runtime {

namespace {

constexpr int64_t MicrosPerSecond = 1'000'000;
constexpr uint64_t BytesPerKibibyte = 1024;

uint64_t microsOf(const timeval &time) {
  return static_cast<uint64_t>(time.tv_sec * MicrosPerSecond + time.tv_usec);
}

} // namespace

ProcessUsage processUsage() {
  ProcessUsage out;
  rusage usage{};
  if (getrusage(RUSAGE_SELF, &usage) == 0)
    out.CpuMicros = microsOf(usage.ru_utime) + microsOf(usage.ru_stime);
  // The peak of getrusage() includes that of the program which started this
  // one.
  std::ifstream status("/proc/self/status");
  for (std::string name; status >> name;) {
    uint64_t kibibytes = 0;
    if (name == "VmHWM:" && status >> kibibytes)
      out.PeakResidentBytes = kibibytes * BytesPerKibibyte;
    if (name == "VmRSS:" && status >> kibibytes)
      out.ResidentBytes = kibibytes * BytesPerKibibyte;
    status.ignore(std::numeric_limits<std::streamsize>::max(), '\n');
  }
  return out;
}

} // namespace daisytack::runtime
