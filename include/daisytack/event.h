/// Typed events: the time line over all processes.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack {

/// Hybrid logical time: wall time in microseconds, and a counter that orders
/// events within one of them and across processes whose clocks differ.
struct HybridTime {
  uint64_t Wall = 0;
  uint32_t Logical = 0;
  auto operator<=>(const HybridTime &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Wall, Logical); }
};

/// The order is part of the wire protocol: append only.
enum class EventKind : uint8_t {
  ProcessStarted,
  ProcessReady,
  ProcessDraining,
  ProcessStopped,
  RequestReceived,
  RequestRefused,
  RequestRouted, ///< Scores: predicted first token of the candidates,
                 ///< microseconds.
  RequestOffered,
  OfferAccepted, ///< Scores: wait, fetch, prefill, decode, microseconds.
  OfferRefused,
  RunQueued,
  ContextPlanned, ///< Scores: cost of recompute, of the chosen prefix, pieces
                  ///< fetched, pieces in all.
  FetchStarted,
  FetchFinished,
  PieceRejected, ///< A torn, freed or mis-keyed piece was found and not used.
  PieceExported,
  PieceEvicted,
  RunStarted,
  FirstToken,
  RunFinished,
  RunCancelled,
  RunPreempted,
  AttemptLost,
  RequestRetried,
  StreamResumed,
  AnswerHeld,
  AnswerReleased,
  RequestAnswered,
  TicketIssued,
  TicketRecorded,
  TicketRefused,
  LimitGranted,
  LimitRefused,
  ServerEjected,
  ServerReturned,
  MemberChanged,
  ConfigApplied,
  CommandProposed,
  CommandApplied,
  CommandConflict,
  CommandUnknown,
  ServiceLost, ///< The key-value service stopped answering.
  ServiceBack,
  LeaseTaken,
  LeaseLost,
  OrderSent,
  OrderRefused,
  LoadStarted,
  LoadFinished,
  CacheGap,     ///< Cache events of the engine were missed; its state counts as
                ///< unknown.
  PeerRejected, ///< A message failed authentication, replay or length checks.
  CommandRefused, ///< Bad value, or the service can't be reached: not applied.
};

/// Stable lower-case name: "offer_accepted".
std::string_view eventName(EventKind kind);
/// Inverse of eventName; nothing when no kind has the name.
std::optional<EventKind> parseEventKind(std::string_view name);

/// One thing that happened. Holds no prompt, answer or key.
struct Event {
  static constexpr size_t MaxScores = 4;

  HybridTime At;
  EventKind Kind = EventKind::ProcessStarted;
  RequestId Request;
  Attempt AttemptNumber = 0;
  ErrorKind Reason = ErrorKind::None;
  std::array<int64_t, MaxScores> Scores{};
  std::string Subject; ///< Name of the organisation, server, object or member
                       ///< concerned.

  bool operator==(const Event &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(At, Kind, Request, AttemptNumber, Reason, Scores, Subject);
  }
};

/// Receives events from decision code; the daemons pass EventRing::record.
using EventSink = std::function<void(Event)>;

} // namespace daisytack
