/// Splits a stream of server-sent events into complete events, so that a caller
/// never receives part of an event. Performs no I/O.
#pragma once

#include "net/sse.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::direct {

/// Not thread-safe. Bytes are not changed.
class EventSplitter {
public:
  /// An event longer than this is returned in pieces.
  static constexpr size_t MaxBufferedBytes = 256U << 10;

  /// Adds received data and returns the complete events that are now available;
  /// empty if there are none.
  std::string feed(std::string_view data);
  /// Whether the stream is broken off if it ends here.
  bool isInsideEvent() const { return Scanner.isInsideEvent(); }
  /// Whether what feed() has returned ends inside an event.
  bool hasReturnedPart() const { return HasReturnedPart; }
  /// Whether feed() has got no byte yet.
  bool isEmpty() const { return !HasData; }
  /// Id of the last complete event that feed() returned; empty if none had an
  /// id.
  const std::optional<std::string> &lastId() const { return LastId; }

private:
  void endLine();
  void endEvent();
  /// Removes and returns the first bytes of the buffer.
  std::string take(size_t n);

  net::SseScanner Scanner;
  std::string Buffer;
  size_t LineStart = 0;  ///< Begin of the current line in the buffer.
  size_t EventsSize = 0; ///< Size of the complete events in the buffer.
  std::optional<std::string> CurrentId; ///< Id of the current event.
  std::optional<std::string> LastId;
  bool HasData = false;
  bool HasReturnedPart = false;
  bool IsLineCut = false; ///< The begin of the current line was returned.
};

} // namespace daisytack::direct
