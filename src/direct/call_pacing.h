/// How often one of many processes may call a server that holds only a few
/// waiting calls at once, such as a store's feed of changes.
///
/// The processes do not talk about it: each keeps to its share of the places,
/// and spreads its calls at random so that all of them do not call at the same
/// moment after a change that ended all their calls. Without a socket, clock or
/// thread.
#pragma once

#include "daisytack/types.h"

#include <cstdint>

namespace daisytack::direct {

struct CallPacingSettings {
  /// A call is kept waiting between these when nothing changes. Shorter ones
  /// are priced like probes, longer ones outlast a silent peer's detection.
  Duration LeastWait{200'000};
  Duration LongestWait{1'000'000};
  /// Between calls at least: changes are taken in batches, as each call costs
  /// processor time on both sides.
  Duration LeastPause{400'000};
  /// Of the places that a server has, all processes together use this much on
  /// average; the rest is room for chance.
  double ShareUsed = 0.5;
  /// A single process is never in a call for more of its time than this.
  double MostTime = 0.7;
  /// Pauses vary by so much to either side.
  double Jitter = 0.3;
  bool operator==(const CallPacingSettings &) const = default;
};

class CallPacing {
public:
  explicit CallPacing(CallPacingSettings settings) : Settings(settings) {}

  /// How long a call may be kept waiting, with so many calling processes and
  /// so many places.
  Duration wait(size_t processes, uint32_t places) const;
  /// From the end of a call that took so long until the next one. The random
  /// number spreads it.
  Duration pauseAfter(Duration call, size_t processes, uint32_t places,
                      uint64_t random) const;

private:
  /// Share of its time that one process may be in a call.
  double timeShare(size_t processes, uint32_t places) const;

  CallPacingSettings Settings;
};

} // namespace daisytack::direct
