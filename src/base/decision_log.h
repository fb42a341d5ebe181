/// Structured log of a daemon: one JSON object per line on standard output, for
/// each decision that concerns a request or changes the process's view of the
/// system.
///
/// Writing never blocks and memory is bounded: lines are queued in a bounded
/// buffer, lines over a maximum per second are dropped, and drops of either
/// kind are counted and reported. Notable lines, such as those about failures,
/// have a reserved share of the rate that routine lines cannot use. Audit
/// lines, which show whether a promise was kept, have a rate of their own.
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

/// Routine lines are dropped first, and never because of audit lines.
enum class LogPriority : uint8_t { Routine, Notable, Audit };

struct DecisionLogSettings {
  /// Maximum lines per second, of which a share is reserved for notable lines.
  /// At about 250 bytes per line this bounds the output to 50 kB/s.
  uint32_t LinesPerSecond = 200;
  double NotableReserve = 0.5;
  /// Maximum audit lines per second, which LinesPerSecond doesn't include.
  uint32_t AuditLinesPerSecond = 150;
  /// Bytes of lines buffered for the pipe: about five seconds of output.
  size_t BufferBytes = 256U << 10;
  bool operator==(const DecisionLogSettings &) const = default;
};

/// Thread-safe.
class DecisionLog {
public:
  /// Writes a block of whole lines without blocking and returns the number of
  /// bytes written; 0 when the pipe is full.
  using Sink = std::function<size_t(std::string_view)>;
  using Fields = boost::json::object;

  DecisionLog(DecisionLogSettings settings, std::string process, Sink sink,
              Metrics &metrics);
  /// Passes buffered lines to the sink: the last lines of a process say why it
  /// ended, and no further flush follows.
  ~DecisionLog();
  DecisionLog(const DecisionLog &) = delete;
  DecisionLog &operator=(const DecisionLog &) = delete;

  /// Writes a line with "at_us" (monotonic), "process", "event" and the fields.
  void write(LogPriority priority, std::string_view event, Fields fields,
             TimePoint now);
  /// Passes buffered lines to the sink. Call several times per second.
  void flush(TimePoint now);

private:
  bool admitLocked(LogPriority priority, TimePoint now);
  /// Maximum lines per second of the priority.
  double maxLines(LogPriority priority) const;
  /// Lines of the current second that count towards that maximum.
  uint32_t &linesInSecond(LogPriority priority);
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
  uint32_t LinesInSecond = 0; ///< Without audit lines.
  uint32_t AuditLinesInSecond = 0;
  uint64_t UnreportedDrops = 0; ///< Dropped since the last report.
};

/// Sink for standard output, which it makes non-blocking.
DecisionLog::Sink standardOutputSink();

} // namespace daisytack
