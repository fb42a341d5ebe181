/// Pacing of long-polling calls to a server that can hold only a few of them
/// open at once, such as a context store's feed of changes.
///
/// The calling processes do not coordinate. Each one limits itself to its share
/// of the server's slots and adds jitter, so that the processes do not all call
/// again at the same moment after a change that ended all open calls. Uses no
/// socket, clock or thread.
#pragma once

#include "daisytack/types.h"

#include <cstdint>

namespace daisytack::direct {

struct CallPacingSettings {
  /// Bounds of how long the server may hold a call open while nothing changes.
  /// Shorter calls are charged like probes, and longer calls would outlast the
  /// time in which an unresponsive peer is detected.
  Duration MinWait{200'000};
  Duration MaxWait{1'000'000};
  /// Minimum time between the end of a call and the next call. Changes are
  /// fetched in batches, as each call costs processor time on both sides.
  Duration MinPause{400'000};
  /// Share of the server's slots that all processes together use on average.
  /// The rest absorbs random peaks.
  double SlotUtilization = 0.5;
  /// Maximum share of its time that one process spends in a call.
  double MaxTimeShare = 0.7;
  /// Random variation of pauses, as a share of the pause in either direction.
  double Jitter = 0.3;
  bool operator==(const CallPacingSettings &) const = default;
};

class CallPacing {
public:
  explicit CallPacing(CallPacingSettings settings) : Settings(settings) {}

  /// How long the server may hold a call open, given the number of calling
  /// processes and of the server's slots.
  Duration wait(size_t processes, uint32_t slots) const;
  /// Pause between the end of a call that took `call` and the next call. The
  /// random number determines the jitter.
  Duration pauseAfter(Duration call, size_t processes, uint32_t slots,
                      uint64_t random) const;
  /// Longest time between the answers of two calls that the server holds open
  /// for as long as requested.
  Duration maxInterval(size_t processes, uint32_t slots) const;

private:
  /// Pause after a call of that duration, without jitter.
  Duration meanPause(Duration call, size_t processes, uint32_t slots) const;
  /// Share of its time that one process may spend in calls.
  double timeShare(size_t processes, uint32_t slots) const;

  CallPacingSettings Settings;
};

} // namespace daisytack::direct
