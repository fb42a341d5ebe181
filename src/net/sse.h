/// Server-Sent Events: an incremental parser and the matching writer. Pure.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace daisytack::net {

/// One event as dispatched by the blank line after it.
struct SseEvent {
  std::string Event; ///< Empty for the default "message".
  std::string Id;    ///< Of this event only; empty when it names none.
  std::string Data;  ///< Lines joined by '\n'.
  auto operator<=>(const SseEvent &) const = default;
};

/// Takes the bytes of a stream in parts of any size and reports whole events.
class SseParser {
public:
  using Sink = std::function<void(SseEvent)>;
  static constexpr size_t DefaultMaxEventBytes = 1U << 20;

  explicit SseParser(size_t maxEventBytes = DefaultMaxEventBytes)
      : MaxEventBytes(maxEventBytes) {}

  /// False once an event has exceeded the bound; nothing is reported after
  /// that.
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

/// The event as bytes of a stream, with its final blank line.
std::string formatSse(const SseEvent &event);

} // namespace daisytack::net
