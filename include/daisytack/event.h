/// Typed events, which form one timeline across all processes.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack {

/// Hybrid logical time: wall-clock time in microseconds and a counter that
/// orders events within one microsecond and across processes whose clocks
/// differ.
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
  RequestRouted, ///< Scores: predicted time to first token of each candidate,
                 ///< in microseconds.
  RequestOffered,
  OfferAccepted, ///< Scores: wait, fetch, prefill and decode, in microseconds.
  OfferRefused,
  RunQueued,
  ContextPlanned, ///< Scores: cost of recomputing, cost of the chosen prefix,
                  ///< pieces fetched, total pieces.
  FetchStarted,
  FetchFinished,
  PieceRejected, ///< A torn, freed or wrongly keyed piece was detected and not
                 ///< used.
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
  ServiceLost, ///< The key-value service stopped responding.
  ServiceBack,
  LeaseTaken,
  LeaseLost,
  OrderSent,
  OrderRefused,
  LoadStarted,
  LoadFinished,
  CacheGap, ///< Cache events of the engine were missed; the state of its cache
            ///< is treated as unknown.
  PeerRejected,   ///< A message failed the authentication, replay or length
                  ///< check.
  CommandRefused, ///< The command was not applied: bad value, or the key-value
                  ///< service is unreachable.
};

/// Stable lower-case name: "offer_accepted".
std::string_view eventName(EventKind kind);
/// Inverse of eventName; nullopt when no kind has the name.
std::optional<EventKind> parseEventKind(std::string_view name);

/// One recorded event. Contains no prompt, answer or key.
struct Event {
  static constexpr size_t MaxScores = 4;

  HybridTime At;
  EventKind Kind = EventKind::ProcessStarted;
  RequestId Request;
  Attempt AttemptNumber = 0;
  ErrorKind Reason = ErrorKind::None;
  std::array<int64_t, MaxScores> Scores{};
  std::string Subject; ///< Name of the organisation, server, object or member
                       ///< that the event concerns.

  bool operator==(const Event &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(At, Kind, Request, AttemptNumber, Reason, Scores, Subject);
  }
};

/// Receives events from decision code; the daemons pass EventRing::record.
using EventSink = std::function<void(Event)>;

} // namespace daisytack
