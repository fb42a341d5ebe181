/// Admission control of an agent. An offered request is accepted only if its
/// whole answer is predicted to finish before its deadline and no request
/// accepted earlier is made to miss its own. See docs/ACCEPTANCE.md.
#pragma once

#include "daisytack/error.h"
#include "decide/run_queue.h"

#include <array>
#include <cstdint>

namespace daisytack {

struct AcceptanceSettings {
  /// A request of an organisation above its fair share needs headroom for the
  /// work that other organisations may get queued in front of it while it
  /// waits. The headroom is computed from their recent demand, as a share of
  /// the server clamped to [MinDemand, MaxDemand].
  double MinDemand = 0.2;
  double MaxDemand = 0.8;
  /// Standard deviations of that work that the headroom adds to its mean.
  double HeadroomDeviations = 3.0;
  /// Longest predicted wait of a request of priority 0, as a share of
  /// RunQueueSettings::MaxWait. The share rises linearly to 1 at priority 9.
  double LowestPriorityWaitShare = 0.5;
  bool operator==(const AcceptanceSettings &) const = default;
};

/// The decision on one offer, with the predictions that it is based on.
struct AcceptanceDecision {
  /// Why the offer is refused, without a detail; its kind is None when the
  /// offer is accepted. RetryAfter is zero when retrying later can't help.
  Error Reason;
  Duration Wait{0};       ///< Predicted time before the prefill starts.
  Duration Prefill{0};    ///< Predicted duration of the prefill.
  Duration Decode{0};     ///< Predicted duration of the decode.
  Duration FirstToken{0}; ///< Predicted time to the first token, from now.
  Duration Completion{0}; ///< Predicted time to the end of the answer, from
                          ///< now, at a high percentile.
  Duration Slack{0};      ///< Time from the predicted end to the deadline;
                          ///< negative when the answer would be late.
  /// The accepted request that would miss its deadline because of this one;
  /// invalid if there is none.
  RequestId LateRequest;

  bool accepted() const { return Reason.Kind == ErrorKind::None; }
  /// Wait, Prefill, Decode and Slack in microseconds, as logged by the
  /// OfferAccepted and OfferRefused events.
  std::array<int64_t, 4> scores() const {
    return {Wait.count(), Prefill.count(), Decode.count(), Slack.count()};
  }
  bool operator==(const AcceptanceDecision &) const = default;
};

/// Decides whether to accept one request, without changing the queue. A refusal
/// has one of these kinds:
/// - DeadlineTooShort: an idle server would be too slow as well, so that a
///   later retry can't succeed.
/// - OrganisationLimit: the organisation's queued work has reached the part of
///   the queue that it may fill.
/// - Overloaded: every other case.
/// RetryAfter of the last two is the predicted time until the request fits.
AcceptanceDecision decideAcceptance(const RunQueue &queue,
                                    const RunQueueSettings &queueSettings,
                                    const AcceptanceSettings &settings,
                                    const RunRequest &request, TimePoint now);

/// The part of the remaining time that an entry reserves, so that a failed
/// attempt can be run once more on another server: the predicted time of a run
/// on an idle server, and at most half of the remaining time. Zero for a
/// request that is not idempotent.
Duration rerunReserve(bool idempotent, Duration remaining,
                      Duration idleServerTime);

} // namespace daisytack
