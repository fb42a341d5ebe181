/// The state machine of one request on the direct path, from its arrival to its
/// final answer: it chooses servers, retries failed attempts and answers the
/// caller. It uses no sockets, clocks or threads.
///
/// Guarantees:
/// - A non-idempotent request is only sent again after a server stated that it
///   did not run the request, or when no byte of it can have reached a server.
/// - The caller gets a status that promises "not run" only when this is known.
/// - The caller gets a single answer, which is either complete or visibly
///   aborted.
/// - After its first event, a stream goes on only on servers of the software
///   version that wrote it.
/// - A request that is given up is answered at once.
/// - No attempt goes on waiting for its server once the request must have begun
///   there.
#pragma once

#include "daisytack/error.h"
#include "direct/event_splitter.h"
#include "direct/exchange.h"
#include "direct/serving_config.h"
#include "direct/stream_origins.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

struct ForwardSettings {
  /// Answers other than streams are buffered up to this size until they are
  /// complete, so that the request can be retried if the answer breaks off.
  size_t MaxBufferedAnswerBytes = 256U << 10;
  /// How many times a request is sent to another server after a server rejected
  /// it without running it. These attempts don't count towards the route's
  /// attempts; each costs a round trip and draws from the retry budget.
  uint32_t MaxRejections = 2;
  /// An attempt at a repeatable request is given up, and the request is sent to
  /// another server, when no answer has begun after this multiple of the
  /// route's target latency; 0: never.
  double ResponseTimeoutFactor = 4;
  /// Retry-after time of a refused request when neither a server nor the reason
  /// for the refusal gives one.
  Duration DefaultRetryAfter{300'000};
  /// Minimum time before the request's deadline at which an attempt is started.
  Duration MinAttemptTime{20'000};
  bool operator==(const ForwardSettings &) const = default;
};

/// A checked and authenticated request. Immutable.
struct ForwardRequest {
  CallerHead Head;
  Route MatchedRoute;
  std::string Service; ///< One of the route's services, chosen by weight.
  std::string Organisation;
  AllowedRegions Regions{}; ///< Allowed by both the route and the organisation.
  uint32_t Priority = 0;    ///< 0 is the most urgent.
  TimePoint Arrived;
  TimePoint Deadline; ///< For the final answer.
};

/// Which servers an attempt may be sent to, beyond what the request itself
/// requires.
struct ServerCriteria {
  std::vector<std::string> Tried; ///< Ids of servers to leave out.
  /// Software version that began the stream to resume; empty: any.
  std::optional<std::string> SoftwareVersion{};
  /// Share of the queue limit of servers that is open to the request; see
  /// admission/organisation_shares.h.
  double LimitFactor = 1;
  bool operator==(const ServerCriteria &) const = default;
};

/// The server chosen for an attempt, and the order that is sent to it.
struct AttemptChoice {
  AttemptOrder Order;
  bool operator==(const AttemptChoice &) const = default;
};

/// How an attempt ended, as evidence about the state of its server.
enum class AttemptResult : uint8_t {
  Answered,    ///< With success, or with an error that the request caused.
  Failed,      ///< With a server error or a timeout.
  ServerLost,  ///< Cancelled: the server establishes no connections.
  BrokenOff,   ///< The connection ended before the answer was complete.
  TurnedAway,  ///< The server states that it did not run the request.
  Misdirected, ///< Not run: another instance answered, or other weights run.
  Unreached,   ///< Nothing was sent.
  Expired,     ///< Cancelled: it had not begun when it must have.
  Abandoned,   ///< Cancelled: the caller left, or the request was given up.
};

/// Stable lower-case name of the result, such as "turned_away".
std::string_view attemptResultName(AttemptResult result);

/// Side effects and decisions that the flow's owner provides. The flow calls
/// them from within its own member functions.
struct ForwardHooks {
  /// Chooses a server for the next attempt; empty, with the reason, if there is
  /// none. The choice consumes request quota of the server and plans which
  /// context the attempt saves.
  std::function<std::optional<AttemptChoice>(const ServerCriteria &,
                                             TimePoint now, Error &reason)>
      ChooseServer;
  /// Whether ChooseServer would find a server; has no side effects.
  std::function<bool(const ServerCriteria &, TimePoint now)> CanChooseServer;
  /// The caller gets the first event of a stream, from the server of the
  /// attempt. Returns the software version that wrote it; nullopt if that is
  /// not certain, so that the stream can't go on elsewhere.
  std::function<std::optional<std::string>(const AttemptOrder &)> BeginStream;
  /// When the answer of the attempt must have begun; nullopt: no limit. May get
  /// earlier while the attempt waits, see ForwardFlow::onBeginLimitsChanged().
  std::function<std::optional<TimePoint>(const AttemptOrder &)> BeginLimit;
  /// Takes one retry from the budget that all entries share; false if it is
  /// spent.
  std::function<bool()> TakeRetry;
  /// Limit on the buffered bytes of an answer, where it is lower than the
  /// setting; empty: the setting applies.
  std::function<size_t()> BufferLimit = {};
  std::function<void(uint32_t attempt, const AttemptOrder &)> SendAttempt;
  std::function<void(uint32_t attempt)> CancelAttempt;
  /// Records how an attempt ended; called once for each attempt sent.
  std::function<void(uint32_t attempt, const AttemptOrder &, AttemptResult,
                     TimePoint now)>
      RecordResult;
  /// Starts a streamed answer to the caller. WriteAnswer() then adds data, and
  /// EndAnswer() or AbortAnswer() ends it.
  std::function<void(const ServerHead &)> BeginAnswer;
  std::function<void(std::string)> WriteAnswer;
  std::function<void()> EndAnswer;
  std::function<void()> AbortAnswer;
  /// Sends a complete answer of a server to the caller.
  std::function<void(const ServerHead &, std::string body)> SendAnswer;
  /// Sends an error answer of the entry itself to the caller.
  std::function<void(unsigned status, const Error &)> SendError;
  /// Replaces the time at which onTimer() is to be called.
  std::function<void(TimePoint)> ArmTimer;
  /// The final answer was sent, or the caller has disconnected.
  std::function<void()> Ended;
};

/// The state machine of one request. Not thread-safe: its owner makes one call
/// at a time.
class ForwardFlow {
public:
  ForwardFlow(ForwardRequest request, ForwardSettings settings,
              ForwardHooks hooks);

  /// The request resumes a stream of this origin. Call before start().
  void resumeFrom(const StreamOrigin &origin);
  void start(TimePoint now);
  /// The head of an attempt's answer arrived. Calls for any attempt but the
  /// latest are ignored.
  void onHead(uint32_t attempt, const ServerHead &head, TimePoint now);
  /// Part of the body of an attempt's answer arrived.
  void onData(uint32_t attempt, std::string_view data, TimePoint now);
  /// The attempt's connection ended or completed the framing of its answer (no
  /// error), or it failed. unsent means that no byte of the request can have
  /// reached the server.
  void onDone(uint32_t attempt, const Error &error, bool unsent, TimePoint now);
  void onTimer(TimePoint now);
  /// The hook BeginLimit may return other times from now on.
  void onBeginLimitsChanged(TimePoint now);
  /// The server of the current attempt sends nothing and establishes no
  /// connections: the attempt is given up.
  void onServerLost(TimePoint now);
  void onCallerGone(TimePoint now);
  /// The process is about to end. A request whose answer has not begun gets its
  /// final answer now; an answer that has begun continues.
  void onProcessEnd(TimePoint now);
  /// The request must not run any more, for the given reason. A request whose
  /// answer has not begun gets its final answer now; an answer that has begun
  /// continues.
  void onBlocked(const Error &reason, TimePoint now);

  const ForwardRequest &request() const { return Request; }
  bool isEnded() const { return IsEnded; }
  /// Number of the latest attempt, counted from 1; 0 before the first one.
  uint32_t attempts() const { return AttemptNumber; }
  /// Bytes of answers that are buffered until they are complete.
  size_t bufferedBytes() const {
    return FailedBody.size() + (Current ? Current->Buffered.size() : 0);
  }

private:
  /// State of the attempt in progress.
  struct Attempt {
    AttemptOrder Order;
    TimePoint SentAt;
    ServerHead Head;
    bool HasHead = false;
    std::string Buffered; ///< Part of the answer that was not forwarded yet.
    EventSplitter Events;
  };

  size_t bufferLimit() const;
  /// Whether the current attempt's answer is a stream of events.
  bool isStream() const;
  /// Whether the attempt goes on with a stream that the caller has begun to
  /// get.
  bool isResumed() const;
  /// Whether the current attempt was to resume a stream of which the caller has
  /// events, and its answer is a success, but no stream.
  bool isUnfitToResume() const;
  /// Why the current attempt, which has ended, has no complete answer; no error
  /// if it has. The only place that decides on this.
  Error incompleteReason(const Error &error) const;

  /// Starts another attempt, or gives up with the reason if none is possible.
  void startNextAttempt(TimePoint now, const Error &reason,
                        bool usesRetryBudget);
  void sendAttempt(AttemptOrder order, TimePoint now);
  /// Records the result of the current attempt and discards its state.
  void closeAttempt(AttemptResult result, TimePoint now);
  void onRejected(const ServerHead &head, TimePoint now);
  void onFailed(const Error &error, TimePoint now);
  void onAnswerComplete(TimePoint now);
  /// Forwards part of the current attempt's answer to the caller, after the
  /// head if that was not sent yet.
  void forwardData(std::string bytes);
  /// When the current attempt must have begun; nullopt if it has or there is no
  /// limit.
  std::optional<TimePoint> beginLimit() const;
  /// Cancels the current attempt, which has not begun in time.
  void expireAttempt(TimePoint now);
  /// Whether the request may be sent again although a server may have run it.
  bool mayRunAgain() const;
  /// Whether the request itself caused the error status.
  bool isCallerError(unsigned status) const;
  void forwardAnswer(const ServerHead &head, std::string body);
  /// Ends the request without a successful answer of a server.
  void giveUp(const Error &reason, TimePoint now);
  void finish();
  void armTimer(TimePoint now);

  ForwardRequest Request;
  const ForwardSettings Settings;
  const ForwardHooks Hooks;

  std::optional<Attempt> Current;
  uint32_t AttemptNumber = 0; ///< Number of the latest attempt.
  uint32_t PossibleRuns = 0;  ///< Attempts that a server may have run.
  uint32_t Rejections = 0;
  /// Excludes the servers that were tried. Bound to a software version once a
  /// stream has begun.
  ServerCriteria Criteria;
  bool HasAnswerBegun = false; ///< The caller has the head of an answer.
  bool HasPartOfEvent = false; ///< The caller has part of the latest event.
  std::optional<std::string> DeliveredEventId; ///< Last event the caller has.
  /// Head of the latest server error. The caller gets it if all attempts fail.
  std::optional<ServerHead> FailedHead;
  std::string FailedBody; ///< Body that belongs to FailedHead.
  std::optional<Duration> SoonestRetryAfter; ///< Minimum over all rejections.
  bool IsEnded = false;
};

} // namespace daisytack::direct
