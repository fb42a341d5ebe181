#include "runtime/process_end.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <cxxabi.h>
#include <exception>
#include <fcntl.h>
#include <new>
#include <string_view>
#include <typeinfo>
#include <unistd.h>

namespace daisytack::runtime {

namespace {

constexpr size_t MaxLineBytes = 1024;
constexpr size_t MaxNameBytes = 64;
constexpr size_t MaxTimeBytes = 32;
constexpr size_t MaxSizeBytes = 32;
constexpr size_t MaxStatmBytes = 128;
constexpr double BytesPerMb = 1e6;
constexpr long NanosPerMilli = 1'000'000;
constexpr unsigned char FirstPrintable = 0x20;

// The handlers run when no memory may be left, so that what they use is
// allocated beforehand or on the stack.
std::array<char, MaxNameBytes> &processName() {
  static std::array<char, MaxNameBytes> name{};
  return name;
}
std::atomic<uint64_t> MemoryLimit{0};
std::atomic_flag HasEnded;

using SizeText = std::array<char, MaxSizeBytes>;

SizeText sizeText(uint64_t bytes) {
  SizeText out{"unknown"};
  if (bytes != 0)
    std::snprintf(out.data(), out.size(), "%.1f MB",
                  static_cast<double>(bytes) / BytesPerMb);
  return out;
}

/// Returns 0 if the system does not report it. Does not allocate, unlike
/// processUsage().
uint64_t residentBytes() {
  int file = ::open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
  if (file < 0)
    return 0;
  std::array<char, MaxStatmBytes> text{};
  ssize_t size = ::read(file, text.data(), text.size() - 1);
  ::close(file);
  if (size <= 0)
    return 0;
  char *rest = nullptr;
  std::strtoull(text.data(), &rest, 10);
  return std::strtoull(rest, nullptr, 10) *
         static_cast<uint64_t>(::getpagesize());
}

/// Writes the line. Threads that fail while the first one writes wait for its
/// end of the process, so that its line is whole and the only one.
void writeEnd(const char *cause, const char *type, const char *text) {
  if (HasEnded.test_and_set()) {
    ::sleep(1);
    std::abort();
  }
  timespec now{};
  ::clock_gettime(CLOCK_REALTIME, &now);
  tm utc{};
  ::gmtime_r(&now.tv_sec, &utc);
  std::array<char, MaxTimeBytes> time{};
  std::strftime(time.data(), time.size(), "%Y-%m-%dT%H:%M:%S", &utc);
  std::array<char, MaxLineBytes> line{};
  int size = std::snprintf(
      line.data(), line.size() - 1,
      "%s.%03ldZ ERROR %s ends by %s%s%.200s%s%.400s; resident memory %s, "
      "memory limit %s",
      time.data(), now.tv_nsec / NanosPerMilli, processName().data(), cause,
      *type ? " of type " : "", type, *text ? ": " : "", text,
      sizeText(residentBytes()).data(), sizeText(MemoryLimit).data());
  size = std::clamp(size, 0, static_cast<int>(line.size()) - 2);
  for (char &c : line)
    if (c != '\0' && static_cast<unsigned char>(c) < FirstPrintable)
      c = ' ';
  line[static_cast<size_t>(size)] = '\n';
  // A full pipe loses the line: nothing is left to do about it.
  [[maybe_unused]] ssize_t written =
      ::write(STDERR_FILENO, line.data(), static_cast<size_t>(size) + 1);
}

[[noreturn]] void onTerminate() {
  const std::type_info *type = abi::__cxa_current_exception_type();
  if (type == nullptr) {
    writeEnd("std::terminate without an exception", "", "");
    std::abort();
  }
  char *demangled =
      abi::__cxa_demangle(type->name(), nullptr, nullptr, nullptr);
  const char *name = demangled ? demangled : type->name();
  try {
    throw;
  } catch (const std::bad_alloc &) {
    writeEnd("a failed allocation", "", "");
  } catch (const std::exception &error) {
    writeEnd("an unhandled exception", name, error.what());
  } catch (...) {
    writeEnd("an unhandled exception", name, "");
  }
  std::abort();
}

} // namespace

void reportAbnormalEnd(const std::string &name) {
  std::snprintf(processName().data(), processName().size(), "%s", name.c_str());
  std::set_terminate(onTerminate);
}

void setMemoryLimit(uint64_t bytes) { MemoryLimit = bytes; }

} // namespace daisytack::runtime
