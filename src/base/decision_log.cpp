#include "base/decision_log.h"

#include <boost/json/serialize.hpp>

#include <fcntl.h>
#include <unistd.h>

namespace daisytack {

namespace {

constexpr Duration OneSecond{1'000'000};
/// Longest text in a line, in bytes: keys of records and reasons may be as long
/// as a message of a peer or of a service.
constexpr size_t MaxTextBytes = 4096;

boost::json::value withBoundedText(boost::json::value value) {
  if (!value.is_string() || value.get_string().size() <= MaxTextBytes)
    return value;
  boost::json::string &text = value.get_string();
  // Not inside a character of UTF-8, so that the line stays valid.
  size_t n = MaxTextBytes;
  while (n > 0 && (static_cast<uint8_t>(text[n]) & 0xC0U) == 0x80U)
    --n;
  text.resize(n);
  text += "...";
  return value;
}

} // namespace

DecisionLog::DecisionLog(DecisionLogSettings settings, std::string process,
                         Sink sink, Metrics &metrics)
    : Settings(settings), Process(std::move(process)), Write(std::move(sink)),
      Written(metrics.counter("daisytack_log_lines_total",
                              "Structured log lines written")),
      Dropped(metrics.counter("daisytack_log_lines_left_out_total",
                              "Structured log lines over the bound")) {}

DecisionLog::~DecisionLog() {
  if (!Buffer.empty())
    Write(Buffer);
}

double DecisionLog::maxLines(LogPriority priority) const {
  switch (priority) {
  case LogPriority::Routine:
    return Settings.LinesPerSecond * (1 - Settings.NotableReserve);
  case LogPriority::Notable:
    return Settings.LinesPerSecond;
  case LogPriority::Audit:
    return Settings.AuditLinesPerSecond;
  }
  return 0;
}

uint32_t &DecisionLog::linesInSecond(LogPriority priority) {
  return priority == LogPriority::Audit ? AuditLinesInSecond : LinesInSecond;
}

bool DecisionLog::admitLocked(LogPriority priority, TimePoint now) {
  if (now >= SecondStart + OneSecond) {
    SecondStart = now;
    LinesInSecond = 0;
    AuditLinesInSecond = 0;
    reportDroppedLocked(now);
  }
  uint32_t &lines = linesInSecond(priority);
  if (lines >= maxLines(priority) || Buffer.size() >= Settings.BufferBytes) {
    Dropped.add();
    ++UnreportedDrops;
    return false;
  }
  ++lines;
  return true;
}

void DecisionLog::reportDroppedLocked(TimePoint now) {
  if (UnreportedDrops == 0 || Buffer.size() >= Settings.BufferBytes)
    return;
  Fields fields{{"lines", UnreportedDrops}};
  UnreportedDrops = 0;
  appendLocked("log_lines_left_out", std::move(fields), now);
}

void DecisionLog::appendLocked(std::string_view event, Fields fields,
                               TimePoint now) {
  Fields line{{"at_us", now.time_since_epoch().count()},
              {"process", Process},
              {"event", event}};
  for (auto &field : fields)
    line[field.key()] = withBoundedText(std::move(field.value()));
  Buffer += boost::json::serialize(line);
  Buffer += '\n';
  Written.add();
}

void DecisionLog::write(LogPriority priority, std::string_view event,
                        Fields fields, TimePoint now) {
  std::lock_guard guard(Lock);
  if (admitLocked(priority, now))
    appendLocked(event, std::move(fields), now);
}

void DecisionLog::flush(TimePoint now) {
  std::lock_guard guard(Lock);
  if (now >= SecondStart + OneSecond)
    reportDroppedLocked(now);
  if (Buffer.empty())
    return;
  Buffer.erase(0, Write(Buffer));
}

DecisionLog::Sink standardOutputSink() {
  int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0)
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  return [](std::string_view block) -> size_t {
    ssize_t n = ::write(STDOUT_FILENO, block.data(), block.size());
    return n > 0 ? static_cast<size_t>(n) : 0;
  };
}

} // namespace daisytack
