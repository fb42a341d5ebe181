/// Server-Sent Events: an incremental parser and a formatter. Does no I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace daisytack::net {

/// One complete event.
struct SseEvent {
  std::string Event; ///< Empty for the default "message".
  std::string Id;    ///< Id field of this event; empty if it has none.
  std::string Data;  ///< Lines joined by '\n'.
  auto operator<=>(const SseEvent &) const = default;
};

/// Parses a stream that is passed in pieces of any size, and reports complete
/// events.
class SseParser {
public:
  using Sink = std::function<void(SseEvent)>;
  static constexpr size_t DefaultMaxEventBytes = 1U << 20;

  explicit SseParser(size_t maxEventBytes = DefaultMaxEventBytes)
      : MaxEventBytes(maxEventBytes) {}

  /// Returns false once an event has exceeded MaxEventBytes; no events are
  /// reported after that.
  bool feed(std::string_view data, const Sink &sink);

private:
  void processLine(const Sink &sink);
  void processField(std::string_view name, std::string_view value);

  size_t MaxEventBytes;
  std::string Line;
  SseEvent Current;
  size_t EventBytes = 0;
  bool HasData = false;
  bool AfterCarriageReturn = false;
  bool Failed = false;
};

/// Formats the event for the stream, including the blank line that ends it.
std::string formatSse(const SseEvent &event);

} // namespace daisytack::net
