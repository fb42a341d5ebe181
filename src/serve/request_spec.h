/// A validated and authenticated request of a caller, and the settings by which
/// an entry processes requests.
#pragma once

#include "context/reuse_policy.h"
#include "daisytack/types.h"
#include "decide/backoff.h"
#include "wire/messages.h"

#include <optional>
#include <string>

namespace daisytack::entry {

/// Position from which a broken stream is resumed.
struct ResumePoint {
  std::string Server;     ///< Instance name of the agent that holds the answer.
  uint32_t FromIndex = 0; ///< Index of the first chunk that the caller lacks.
  auto operator<=>(const ResumePoint &) const = default;
};

/// A request as its flow processes it. Immutable once the flow has started.
struct RequestSpec {
  /// The offer to backend servers. Each attempt fills in its number, the
  /// remaining time and the text generated so far.
  wire::Offer Offer;
  std::string Service; ///< Name of the plain service; empty for a prompt.
  PieceScope Scope;    ///< Scope of the offer's piece keys.
  bool Stream = false; ///< True if the caller requested a stream.
  TimePoint Arrived;   ///< When the entry received the request.
  TimePoint Deadline;
  /// Number of the first attempt. Flows of one process for the same request id
  /// (a repeated request, a resumed stream) must not share attempt numbers.
  Attempt FirstAttempt = 1;
  /// Unset: the request is not a resumption.
  std::optional<ResumePoint> Resume;
};

/// Settings of an entry, from section [requests].
struct FlowSettings {
  uint32_t Attempts = MaxAttempts; ///< Limit on the attempts of a request.
  /// Time without a reply to an offer after which an idempotent request is
  /// hedged.
  Duration OfferTimeout{500'000};
  /// An idempotent request is hedged when its first token is overdue by
  /// HedgeFactor times the predicted time, plus HedgeMargin.
  double HedgeFactor = 0.5;
  Duration HedgeMargin{100'000};
  /// Time without a new chunk after which an idempotent request is hedged.
  Duration StallTimeout{3'000'000};
  /// Time for which a stream continues after its caller disconnected, so that
  /// the caller can resume it at any entry. Zero: the run is cancelled at once.
  Duration ResumeGrace{3'000'000};
  /// Longest interval between checks of the wall clock while an answer is held,
  /// as the clock may be stepped.
  Duration ReleaseCheckInterval{1'000'000};
  /// Share of the remaining time that the first offer reserves for a re-run.
  double ReserveShare = 0.5;
  /// Delays before an accepted request is offered again when every server
  /// refuses it or the retry budget is spent: full jitter, at least
  /// MinRetryDelay.
  BackoffSettings Backoff{Duration(100'000), Duration(2'000'000)};
  Duration MinRetryDelay{10'000};
  /// Lower bound of the retry-after time in errors sent to callers.
  Duration MinRetryAfter{1'000'000};
  /// Limit on reconnections to an agent after the connection broke during a
  /// non-idempotent or resumed request.
  uint32_t MaxReconnects = 1;
  bool operator==(const FlowSettings &) const = default;
};

} // namespace daisytack::entry
