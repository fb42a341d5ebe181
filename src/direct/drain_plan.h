/// Schedule of an entry that got the signal to stop: what the entry still does,
/// and until when.
///
/// All times are fixed when the stop signal is seen, and checked for each
/// request and each attempt. Closing the idle connections only once is not
/// enough: connections that become idle later would still take requests.
#pragma once

#include "daisytack/types.h"

namespace daisytack::direct {

struct DrainSettings {
  /// How long new connections are still accepted, so that the load balancer can
  /// notice the drain: it probes once a second and reacts to the second failed
  /// probe. It is shorter only if the final answers are due before.
  Duration NoticePeriod{2'500'000};
  /// How long before the end of the process every request whose answer has not
  /// begun gets its final answer. Processing and the path to the caller take
  /// tens of milliseconds, and a few hundred when hundreds of answers are due
  /// at once.
  Duration FinalAnswerLead{500'000};
  /// How long after the listener is closed requests that were already in flight
  /// are still accepted: a few round trips to callers.
  Duration LateRequestGrace{250'000};
  /// Minimum time that an attempt must have before the final answers are due,
  /// however short its answer is expected to be. A request that was not
  /// attempted can still be answered with a status that promises that it did
  /// not run. A short answer takes 10 to 200 ms.
  Duration MinAttemptTime{200'000};
  bool operator==(const DrainSettings &) const = default;
};

/// Immutable.
class DrainPlan {
public:
  /// The process handled the signal at `seen`; it was sent no earlier than at
  /// `sent`. `end` is when a process that handles the signal at once ends, even
  /// if work is unfinished; TimePoint::max() means never. A process that
  /// handled the signal late ends earlier by that delay.
  DrainPlan(DrainSettings settings, TimePoint sent, TimePoint seen,
            TimePoint end);

  /// Time since the signal was seen.
  Duration elapsed(TimePoint now) const { return now - SignalSeen; }
  /// Whether the request came before the signal was seen.
  bool isBeforeSignal(TimePoint arrived) const { return arrived < SignalSeen; }
  /// Whether new connections are still accepted, also those whose requests can
  /// only be refused: a caller learns from a refusal that nothing has run.
  bool isListening(TimePoint now) const { return now < CloseAt; }
  /// Time from which on newly completed requests are refused.
  TimePoint acceptsRequestsUntil() const { return AcceptsUntil; }
  /// Whether a request may still be sent to a backend server if its answer is
  /// expected to be complete at `expectedEnd`. An attempt that can't end before
  /// the final answers are due would run for nothing, and perhaps again at
  /// another entry.
  bool mayAttempt(TimePoint now, TimePoint expectedEnd) const {
    return now < AttemptsUntil && expectedEnd <= FinalAnswersAt;
  }
  /// Whether all requests whose answer has not begun must get their final
  /// answer now.
  bool isFinalAnswerDue(TimePoint now) const { return now >= FinalAnswersAt; }
  /// Whether the process must end now, even with unfinished requests.
  bool isOver(TimePoint now) const { return now >= End; }
  /// Time at which the process ends; TimePoint::max() if there is no limit.
  TimePoint end() const { return End; }

private:
  TimePoint SignalSeen;
  TimePoint End;
  TimePoint FinalAnswersAt;
  TimePoint AttemptsUntil;
  TimePoint AcceptsUntil;
  TimePoint CloseAt; ///< The listener is closed at this time.
};

} // namespace daisytack::direct
