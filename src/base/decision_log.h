/// Structured log of a daemon: one JSON object a line on standard output, for
/// each decision that touches a request or changes what the process believes.
///
/// Writing never blocks and never grows: lines wait in a bounded buffer, lines
/// beyond a number per second are left out, and both losses are counted and
/// told. Lines about failures have a reserve that others can't use up.
#pragma once

#include "base/metrics.h"
#include "daisytack/types.h"

#include <boost/json/object.hpp>

#include <functional>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace daisytack {

/// Routine lines are left out first.
enum class LogPriority : uint8_t { Routine, Notable };

struct DecisionLogSettings {
  /// Lines a second; a share of them is kept for notable ones. At about 250
  /// bytes a line this bounds the output to 50 kB/s.
  uint32_t LinesPerSecond = 200;
  double NotableReserve = 0.5;
  /// Lines that wait for the pipe; about five seconds' worth.
  size_t BufferBytes = 256U << 10;
  bool operator==(const DecisionLogSettings &) const = default;
};

/// Thread-safe.
class DecisionLog {
public:
  /// Takes a block of whole lines and returns how many bytes were taken, at
  /// once; 0 when the pipe is full.
  using Sink = std::function<size_t(std::string_view)>;
  using Fields = boost::json::object;

  DecisionLog(DecisionLogSettings settings, std::string process, Sink sink,
              Metrics &metrics);
  /// Gives the sink what still waits: a process that ends before the next
  /// flush is told of by its last lines.
  ~DecisionLog();
  DecisionLog(const DecisionLog &) = delete;
  DecisionLog &operator=(const DecisionLog &) = delete;

  /// Adds "at_us" (monotonic), "process" and "event" to the fields.
  void write(LogPriority priority, std::string_view event, Fields fields,
             TimePoint now);
  /// Gives the sink what waits. Call several times a second.
  void flush(TimePoint now);

private:
  bool admitLocked(LogPriority priority, TimePoint now);
  void appendLocked(std::string_view event, Fields fields, TimePoint now);
  void reportDroppedLocked(TimePoint now);

  DecisionLogSettings Settings;
  std::string Process;
  Sink Write;
  Counter &Written;
  Counter &Dropped;
  std::mutex Lock;
  std::string Buffer;
  TimePoint SecondStart;
  uint32_t LinesInSecond = 0;
  uint64_t UnreportedDrops =
      0; ///< Lines left out since the last line that said so.
};

/// Writes to standard output, which it makes non-blocking.
DecisionLog::Sink standardOutputSink();

} // namespace daisytack
