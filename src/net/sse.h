/// Server-Sent Events: an incremental scanner for the ends of lines and events,
/// a parser and a formatter. Does no I/O.
#pragma once

#include <cstddef>
#include <cstdint>
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

/// What one byte of an event stream is.
enum class SseMark : uint8_t {
  Byte,     ///< Part of a line.
  LineEnd,  ///< Ends a line that is not empty.
  EventEnd, ///< Ends an empty line, and with it an event.
  Tail,     ///< The LF of a CRLF whose CR has ended the line.
  Held,     ///< The CR of an empty line whose LF is still to come.
};

/// Finds where lines and events end. A line ends with LF, CRLF or CR, and an
/// event with an empty line. This is the only definition of both.
class SseScanner {
public:
  struct Step {
    /// An event ended before this byte: the LF that was still to come after a
    /// Held byte does not follow.
    bool HasEventEndedBefore = false;
    SseMark Mark = SseMark::Byte;
  };

  Step next(char c);
  /// Whether the stream is broken off if it ends here.
  bool isInsideEvent() const { return HasEventBytes; }

private:
  SseMark endLine();

  /// The current event has bytes other than those of empty lines.
  bool HasEventBytes = false;
  bool HasLineBytes = false;
  bool AfterCarriageReturn =
      false; ///< The last byte was a CR that ended a line.
  bool IsCarriageReturnHeld = false; ///< The last byte's mark was Held.
  bool HasLineEndedWithCrLf = false; ///< The previous line did.
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
  void processLine();
  void endEvent(const Sink &sink);
  void processField(std::string_view name, std::string_view value);

  size_t MaxEventBytes;
  std::string Line;
  SseEvent Current;
  size_t EventBytes = 0;
  bool HasData = false;
  bool Failed = false;
  SseScanner Scanner;
};

/// Formats the event for the stream, including the blank line that ends it.
std::string formatSse(const SseEvent &event);

} // namespace daisytack::net
