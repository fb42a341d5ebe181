/// Timestamps of the messages between entry and agent. Each message is preceded
/// by the sender's hybrid logical time, so that the event of an effect sorts
/// after the event of its cause even if the clocks differ.
#pragma once

#include "daisytack/event.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack::wire {

/// Size of the timestamp in front of a message, in bytes.
constexpr size_t TimestampBytes = 12;

/// Access to the hybrid logical clock of a process. Without Now the timestamp
/// is zero, which advances no clock; without Observe received timestamps are
/// ignored.
struct HybridClockHooks {
  std::function<HybridTime()> Now;
  std::function<void(const HybridTime &)> Observe;
};

/// Returns the message with the current hybrid time in front of it.
std::string prependTimestamp(const HybridClockHooks &hooks,
                             std::string_view message);

/// Passes the timestamp to Observe and returns the message after it. Returns
/// nothing and sets the reason if the bytes are too short for a timestamp.
std::optional<std::string_view> stripTimestamp(const HybridClockHooks &hooks,
                                               std::string_view bytes,
                                               Error &reason);

} // namespace daisytack::wire
