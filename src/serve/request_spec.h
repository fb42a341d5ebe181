/// What one caller asked of an entry, checked and authenticated, and the
/// settings by which an entry pursues it.
#pragma once

#include "context/reuse_policy.h"
#include "daisytack/types.h"
#include "decide/backoff.h"
#include "wire/messages.h"

#include <optional>
#include <string>

namespace daisytack::entry {

/// Where a stream that broke off is to be taken up again.
struct ResumePoint {
  std::string Server;     ///< Instance name of the agent that holds the answer.
  uint32_t FromIndex = 0; ///< First chunk that the caller has not seen.
  auto operator<=>(const ResumePoint &) const = default;
};

/// Immutable once its flow has started.
struct RequestSpec {
  /// What is offered. Attempt number, remaining time and generated text are
  /// filled in for each attempt.
  wire::Offer Offer;
  std::string Service; ///< Name of the plain service; empty for a prompt.
  PieceScope Scope;    ///< That the offer's piece keys were made for.
  bool Stream = false; ///< The caller takes parts of the answer as they come.
  TimePoint Arrived;
  TimePoint Deadline;
  /// Number of the first attempt. Flows of one process under the same request
  /// id (a repeat, a resumed stream) must not share attempt numbers.
  Attempt FirstAttempt = 1;
  std::optional<ResumePoint> Resume;
};

/// Settings of an entry, section [requests].
struct FlowSettings {
  uint32_t Attempts = MaxAttempts;
  /// Wait for an agent's word on an offer before another one is tried.
  Duration OfferTimeout{500'000};
  /// A first token is late after the predicted time, this share of it and this
  /// time on top.
  double HedgeFactor = 0.5;
  Duration HedgeMargin{100'000};
  /// A stream that stands still so long is taken up elsewhere.
  Duration StallTimeout{3'000'000};
  /// A stream whose caller has gone runs on for so long, so that the caller can
  /// take it up on any entry.
  Duration ResumeGrace{3'000'000};
  /// A held answer looks at the wall clock at least so often, as clocks step.
  Duration ReleaseCheckInterval{1'000'000};
  /// Share of the time left that a first offer leaves over for a re-run.
  double ReserveShare = 0.5;
  /// Waits of an accepted request that no server takes or no retry is left
  /// for: full jitter above the least.
  BackoffSettings Backoff{Duration(100'000), Duration(2'000'000)};
  Duration MinRetryDelay{10'000};
  /// Named in refusals that carry no better time to come back.
  Duration MinRetryAfter{1'000'000};
  /// Connections to an agent tried for a broken non-idempotent answer.
  uint32_t MaxReconnects = 1;
  bool operator==(const FlowSettings &) const = default;
};

} // namespace daisytack::entry
