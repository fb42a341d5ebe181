/// One request on the direct path, from its arrival to its final answer: which
/// server is asked, what is done when an attempt fails, and what the caller is
/// told. Without a socket, clock or thread.
///
/// What it keeps to:
/// - A non-idempotent request is sent again only after a server said that it
///   did not run it, or when nothing can have reached one.
/// - A status that promises "not run" is given only when that is known.
/// - The caller sees one answer: whole, or visibly broken off.
/// - A request that is given up is answered at once.
#pragma once

#include "daisytack/error.h"
#include "direct/event_splitter.h"
#include "direct/exchange.h"
#include "direct/serving_config.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

struct ForwardSettings {
  /// Answers of unary calls up to this size are held until they are whole, so
  /// that a broken one can be repeated.
  size_t MaxHeldAnswer = 256U << 10;
  /// Attempts beyond the route's number that servers may turn away unrun; each
  /// costs a trip, and is drawn from the retry budget.
  uint32_t MaxRejections = 2;
  /// An idempotent request without the first byte of an answer after this
  /// multiple of its target latency is tried elsewhere.
  double SilenceFactor = 4;
  /// Told to callers of a refused request when neither a server nor the reason
  /// names a time.
  Duration RetryAfter{300'000};
  /// Least time worth starting an attempt for.
  Duration LeastTime{20'000};
  bool operator==(const ForwardSettings &) const = default;
};

/// The request, checked and authenticated. Immutable.
struct ForwardRequest {
  CallerHead Head;
  Route MatchedRoute;
  std::string Service; ///< The route's share that the request fell to.
  std::string Organisation;
  bool IsIsolated = false;
  AllowedRegions Regions{}; ///< Of the route and of the organisation.
  uint32_t Priority = 0;
  TimePoint Arrived;
  TimePoint Deadline; ///< Of the final answer.
};

/// A server chosen for an attempt.
struct AttemptChoice {
  AttemptOrder Order;
  bool operator==(const AttemptChoice &) const = default;
};

/// How an attempt ended, for the view of the servers.
enum class AttemptResult : uint8_t {
  Answered,    ///< With a success or an answer that is the request's own fault.
  Failed,      ///< With a server error, broken off or silent.
  TurnedAway,  ///< Surely not run, by the server's word.
  Misdirected, ///< The same, as another instance or other weights were asked.
  Unreached,   ///< Nothing was sent.
  Abandoned,   ///< The caller left, or the answer came from elsewhere.
};

/// Stable lower-case name: "turned_away".
std::string_view attemptResultName(AttemptResult result);

/// Effects and decisions of its owner. Called during the flow's commands.
struct ForwardHooks {
  /// A server for the next attempt; nothing, with the reason, when there is
  /// none. Servers that were tried are not to be named again. The choice counts
  /// against what the server takes, and plans what the attempt saves.
  std::function<std::optional<AttemptChoice>(
      const std::vector<std::string> &tried, TimePoint now, Error &reason)>
      ChooseServer;
  /// Whether there is such a server; without effect.
  std::function<bool(const std::vector<std::string> &tried, TimePoint now)>
      CanChooseServer;
  /// Draws one repeat from the budget that all entries share.
  std::function<bool()> TakeRetry;
  std::function<void(uint32_t attempt, const AttemptOrder &)> SendAttempt;
  std::function<void(uint32_t attempt)> CancelAttempt;
  std::function<void(uint32_t attempt, const AttemptOrder &, AttemptResult,
                     TimePoint now)>
      RecordResult;
  std::function<void(const ServerHead &)> BeginAnswer;
  std::function<void(std::string)> WriteAnswer;
  std::function<void()> EndAnswer;
  std::function<void()> AbortAnswer;
  std::function<void(const ServerHead &, std::string body)> SendAnswer;
  std::function<void(unsigned status, const Error &)> SendError;
  std::function<void(TimePoint)> ArmTimer;
  /// The final answer was given, or the caller is gone.
  std::function<void()> Ended;
};

/// Not thread-safe: one thread at a time calls its commands.
class ForwardFlow {
public:
  ForwardFlow(ForwardRequest request, ForwardSettings settings,
              ForwardHooks hooks);

  void start(TimePoint now);
  void onHead(uint32_t attempt, const ServerHead &head, TimePoint now);
  void onData(uint32_t attempt, std::string_view data, TimePoint now);
  /// The attempt's answer is whole (no error), or will not become so. Unsent:
  /// no byte of the request can have reached the server.
  void onDone(uint32_t attempt, const Error &error, bool unsent, TimePoint now);
  void onTimer(TimePoint now);
  void onCallerGone(TimePoint now);
  /// The process is about to end: without an answer that has begun there will
  /// be none, and the caller is told what is known. One that has begun goes on.
  void onProcessEnd(TimePoint now);
  /// The request is not to run any more: the same, with this reason.
  void onBlocked(const Error &reason, TimePoint now);

  const ForwardRequest &request() const { return Request; }
  bool isEnded() const { return IsEnded; }
  uint32_t attempts() const { return Number; }

private:
  /// The attempt under way.
  struct Try {
    AttemptOrder Order;
    TimePoint SentAt;
    ServerHead Head;
    bool HasHead = false;
    std::string Held; ///< The answer so far, until it is whole.
    EventSplitter Events;
  };

  void next(TimePoint now, const Error &reason, bool drawsBudget);
  void send(AttemptOrder order, TimePoint now);
  /// The attempt is over: notes how, and forgets it.
  void close(AttemptResult result, TimePoint now);
  void onRejected(const ServerHead &head, TimePoint now);
  void onFailed(const Error &error, TimePoint now);
  void onWhole(TimePoint now);
  void passEvents(std::string events);
  bool mayRunAgain() const;
  bool isOwnFault(unsigned status) const;
  void answerServer(const ServerHead &head, std::string body);
  /// Ends the request without an answer of a server.
  void giveUp(const Error &reason, TimePoint now);
  void end();
  void arm(TimePoint now);

  const ForwardRequest Request;
  const ForwardSettings Settings;
  const ForwardHooks Hooks;

  std::optional<Try> Current;
  uint32_t Number = 0; ///< Of the latest attempt.
  uint32_t Runs = 0;   ///< Attempts that a server may have run.
  uint32_t Rejections = 0;
  std::vector<std::string> Tried;
  bool HasBegun = false; ///< The caller has the head of an answer.
  std::optional<std::string> LastEvent; ///< That the caller has.
  std::optional<ServerHead> FailedHead; ///< A server's failure, as the answer
  std::string FailedBody;               ///< if no attempt does better.
  std::optional<Duration> RetryAfter;   ///< The soonest by a server's word.
  bool IsEnded = false;
};

} // namespace daisytack::direct
