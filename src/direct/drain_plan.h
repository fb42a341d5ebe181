/// What an entry that was told to stop still does, and until when.
///
/// Asked at each place where something is taken or kept, so that no state of a
/// connection is left out: closing what is idle at one moment let requests in
/// on connections that became idle later.
#pragma once

#include "daisytack/types.h"

namespace daisytack::direct {

struct DrainSettings {
  /// New connections are accepted for so long, until the balancer has noticed:
  /// it asks once a second and believes the second miss.
  Duration Notice{2'500'000};
  /// Before the end every request whose answer has not begun gets a final one:
  /// the entry's processor and the way to the caller take tens of
  /// milliseconds, with hundreds of answers at once a few hundred.
  Duration LastWord{500'000};
  bool operator==(const DrainSettings &) const = default;
};

/// Immutable.
class DrainPlan {
public:
  /// The signal was seen at one moment and sent no sooner than at another; the
  /// process ends at the third whatever is left, or never.
  DrainPlan(DrainSettings settings, TimePoint sent, TimePoint seen,
            TimePoint end);

  /// Since the signal was seen.
  Duration age(TimePoint now) const { return now - Seen; }
  /// Whether new connections and new requests are still taken.
  bool isListening(TimePoint now) const { return now < CloseAt; }
  /// Whether requests without an answer have to be told that there will be
  /// none.
  bool isLastWord(TimePoint now) const { return now >= LastWordAt; }
  TimePoint end() const { return End; }

private:
  TimePoint Seen;
  TimePoint End;
  TimePoint LastWordAt;
  TimePoint CloseAt;
};

} // namespace daisytack::direct
