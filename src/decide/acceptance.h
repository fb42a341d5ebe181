/// Whether an agent accepts an offer: only when the whole answer is predicted
/// to be there before the deadline, without breaking a promise already made.
/// See docs/ACCEPTANCE.md.
#pragma once

#include "daisytack/error.h"
#include "decide/run_queue.h"

#include <array>
#include <cstdint>

namespace daisytack {

struct AcceptanceSettings {
  /// A request above its organisation's share must fit with room for what
  /// others will put before it while it waits: their recent demand, taken as
  /// between these shares of the server, and so many standard deviations.
  double LeastDemand = 0.2;
  double MostDemand = 0.8;
  double Deviations = 3.0;
  double LowestPriorityBound = 0.5; ///< Of MaxWait, for priority 0; rises
                                    ///< evenly to the whole for priority 9.
  bool operator==(const AcceptanceSettings &) const = default;
};

/// The answer to one offer, with all scores. Reason.Kind is None when accepted.
struct AcceptanceDecision {
  Error Reason;     ///< Its detail is empty; RetryAfter is set.
  Duration Wait{0}; ///< Before the prefill starts.
  Duration Prefill{0};
  Duration Decode{0};
  Duration FirstToken{0}; ///< Predicted, from now.
  Duration Completion{0}; ///< Predicted, from now, at a high percentile.
  Duration Slack{0};      ///< Deadline less completion; negative when refused
                          ///< for it.
  RequestId Broken;       ///< The accepted request that this one would break.

  bool accepted() const { return Reason.Kind == ErrorKind::None; }
  /// Wait, prefill, decode and slack in microseconds, for OfferAccepted and
  /// OfferRefused events.
  std::array<int64_t, 4> scores() const {
    return {Wait.count(), Prefill.count(), Decode.count(), Slack.count()};
  }
  bool operator==(const AcceptanceDecision &) const = default;
};

/// Decides on one request; the queue is not changed. Refusals: DeadlineTooShort
/// when even an idle server would be too late (time can't cure it),
/// OrganisationLimit when the organisation fills its part of the queue, and
/// Overloaded otherwise, with the predicted time until it would fit.
AcceptanceDecision decideAcceptance(const RunQueue &queue,
                                    const RunQueueSettings &queueSettings,
                                    const AcceptanceSettings &settings,
                                    const RunRequest &request, TimePoint now);

/// What an entry keeps back from the time left, so that a failed attempt can be
/// run once more elsewhere: the predicted time of an undisturbed run, at most
/// half of what is left. Zero for a request that may not be repeated.
Duration rerunReserve(bool idempotent, Duration remaining,
                      Duration undisturbed);

} // namespace daisytack
