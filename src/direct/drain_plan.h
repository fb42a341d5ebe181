/// What an entry that was told to stop still does, and until when.
///
/// Its moments are fixed when the signal is seen, and asked of each request and
/// of each attempt: closing what was idle at one moment let requests in on
/// connections that became idle later.
#pragma once

#include "daisytack/types.h"

namespace daisytack::direct {

struct DrainSettings {
  /// New connections are accepted for so long, until the balancer has noticed:
  /// it asks once a second and believes the second miss.
  Duration NoticePeriod{2'500'000};
  /// Before the end every request whose answer has not begun gets a final one:
  /// the entry's processor and the way to the caller take tens of
  /// milliseconds, with hundreds of answers at once a few hundred.
  Duration FinalAnswerLead{500'000};
  /// After the listener is closed, requests that were on their way are still
  /// taken for so long: some round trips to callers.
  Duration LateRequestGrace{250'000};
  /// No attempt begins with less time than this before the last word: without
  /// one a caller is told truly that its request has not run. A short answer
  /// takes 10 to 200 ms.
  Duration LeastAttempt{200'000};
  bool operator==(const DrainSettings &) const = default;
};

/// Immutable.
class DrainPlan {
public:
  /// The signal was seen at one moment and sent no sooner than at another. A
  /// process that saw it when it was sent ends at the third, whatever is left;
  /// one that saw it late ends so much sooner.
  DrainPlan(DrainSettings settings, TimePoint sent, TimePoint seen,
            TimePoint end);

  /// Since the signal was seen.
  Duration elapsed(TimePoint now) const { return now - Seen; }
  /// Whether new connections are still taken.
  bool isListening(TimePoint now) const { return now < CloseAt; }
  /// Requests that are whole later are refused.
  TimePoint acceptsRequestsUntil() const { return TakesUntil; }
  /// Whether a request may still be passed on to a backend server.
  bool mayAttempt(TimePoint now) const { return now < AttemptsUntil; }
  /// Whether requests without an answer have to be told that there will be
  /// none.
  bool isFinalAnswerDue(TimePoint now) const { return now >= LastWordAt; }
  /// Whether the process ends with what is left.
  bool isOver(TimePoint now) const { return now >= End; }
  TimePoint end() const { return End; }

private:
  TimePoint Seen;
  TimePoint End;
  TimePoint LastWordAt;
  TimePoint AttemptsUntil;
  TimePoint TakesUntil;
  TimePoint CloseAt;
};

} // namespace daisytack::direct
