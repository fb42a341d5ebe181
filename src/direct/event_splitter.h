/// Splits a stream of server-sent events into complete events, so that a caller
/// never receives part of an event. Performs no I/O.
#pragma once

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
  /// Removes and returns the buffered bytes of an incomplete event.
  std::string takeRest();
  /// Id of the last event that feed() returned; empty if none had an id.
  const std::optional<std::string> &lastId() const { return LastId; }

private:
  /// Sets LastId to the last id in the events, if they have any.
  void updateLastId(std::string_view events);

  std::string Buffer;
  std::optional<std::string> LastId;
};

} // namespace daisytack::direct
