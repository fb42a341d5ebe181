/// Cuts a stream of server-sent events into whole events, so that nothing of an
/// event is passed on before all of it is there. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::direct {

/// Not thread-safe. Bytes are kept as they are.
class EventSplitter {
public:
  /// An event longer than this is passed on in pieces.
  static constexpr size_t MaxHeldBytes = 256U << 10;

  /// The bytes that may be passed on now: those of whole events.
  std::string feed(std::string_view data);
  /// What is left of an event whose end has not come.
  std::string takeRest();
  /// Id of the last event that was passed on.
  const std::optional<std::string> &lastId() const { return LastId; }

private:
  void noteIds(std::string_view events);

  std::string Held;
  std::optional<std::string> LastId;
};

} // namespace daisytack::direct
