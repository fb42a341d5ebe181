/// Hybrid logical time before each message between entry and agent, so that an
/// effect's event sorts after its cause's though clocks differ.
#pragma once

#include "daisytack/event.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack::wire {

/// Bytes of the time before a message.
constexpr size_t TimestampBytes = 12;

/// Hooks to a process's hybrid clock. Empty ones stand for time zero, which
/// moves no clock.
struct HybridClockHooks {
  std::function<HybridTime()> Now;
  std::function<void(const HybridTime &)> Observe;
};

/// The message with the present hybrid time before it.
std::string prependTimestamp(const HybridClockHooks &hooks,
                             std::string_view message);

/// The message without its time, which is observed; nothing with the reason
/// when the bytes are too few.
std::optional<std::string_view> stripTimestamp(const HybridClockHooks &hooks,
                                               std::string_view bytes,
                                               Error &reason);

} // namespace daisytack::wire
