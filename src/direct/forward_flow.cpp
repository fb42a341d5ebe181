#include "direct/forward_flow.h"
#include "base/duration.h"
#include "net/http_status.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

namespace {

using net::isSuccess;

Error unfitAnswerError() {
  return {ErrorKind::ServerFailed,
          "the server resumed the stream with something else"};
}

} // namespace

std::string_view attemptResultName(AttemptResult result) {
  switch (result) {
  case AttemptResult::Answered:
    return "answered";
  case AttemptResult::Failed:
    return "failed";
  case AttemptResult::ServerLost:
    return "server_lost";
  case AttemptResult::BrokenOff:
    return "broken_off";
  case AttemptResult::TurnedAway:
    return "turned_away";
  case AttemptResult::Misdirected:
    return "misdirected";
  case AttemptResult::Unreached:
    return "unreached";
  case AttemptResult::Expired:
    return "expired";
  case AttemptResult::Abandoned:
    return "abandoned";
  }
  return "unknown";
}

ForwardFlow::ForwardFlow(ForwardRequest request, ForwardSettings settings,
                         ForwardHooks hooks)
    : Request(std::move(request)), Settings(settings), Hooks(std::move(hooks)),
      DeliveredEventId(Request.Head.LastEventId) {}

void ForwardFlow::resumeFrom(const StreamOrigin &origin) {
  Request.Service = origin.Service;
  Criteria.SoftwareVersion = origin.SoftwareVersion;
}

void ForwardFlow::start(TimePoint now) { startNextAttempt(now, {}, false); }

void ForwardFlow::startNextAttempt(TimePoint now, const Error &reason,
                                   bool usesRetryBudget) {
  if (IsEnded)
    return;
  if (now + Settings.MinAttemptTime >= Request.Deadline)
    return giveUp(
        reason ? reason
               : Error{ErrorKind::DeadlinePassed, "the request's time is over"},
        now);
  Error noServer;
  std::optional<AttemptChoice> choice =
      Hooks.ChooseServer(Criteria, now, noServer);
  if (!choice) {
    Error finalError = reason ? reason : noServer;
    // The hook that chooses servers knows best when one becomes available; next
    // best are the times given by the servers that rejected the request.
    finalError.RetryAfter =
        std::max(finalError.RetryAfter, noServer.RetryAfter);
    if (finalError.RetryAfter <= Duration::zero())
      finalError.RetryAfter = SoonestRetryAfter.value_or(Duration::zero());
    return giveUp(finalError, now);
  }
  if (usesRetryBudget && !Hooks.TakeRetry())
    return giveUp(reason, now);
  sendAttempt(std::move(choice->Order), now);
}

void ForwardFlow::sendAttempt(AttemptOrder order, TimePoint now) {
  ++AttemptNumber;
  Criteria.Tried.push_back(order.ServerId);
  order.TimeLeft = Request.Deadline - now;
  order.LastEventId = DeliveredEventId;
  Current.emplace(Attempt{});
  Current->Order = std::move(order);
  Current->SentAt = now;
  armTimer(now);
  Hooks.SendAttempt(AttemptNumber, Current->Order);
}

void ForwardFlow::closeAttempt(AttemptResult result, TimePoint now) {
  Hooks.RecordResult(AttemptNumber, Current->Order, result, now);
  Current.reset();
}

void ForwardFlow::onHead(uint32_t attempt, const ServerHead &head,
                         TimePoint now) {
  if (IsEnded || !Current || attempt != AttemptNumber)
    return;
  Current->Head = head;
  Current->HasHead = true;
  armTimer(now);
}

void ForwardFlow::onData(uint32_t attempt, std::string_view data,
                         TimePoint now) {
  if (IsEnded || !Current || attempt != AttemptNumber || !Current->HasHead)
    return;
  Attempt &current = *Current;
  if (isStream()) {
    std::string events = current.Events.feed(data);
    // Bytes that are no events must not follow those of another server.
    if (isResumed() && current.Events.hasReturnedPart()) {
      ++PossibleRuns;
      Hooks.CancelAttempt(attempt);
      return onFailed(unfitAnswerError(), now);
    }
    return forwardData(std::move(events));
  }
  current.Buffered += data;
  if (current.Buffered.size() <= bufferLimit())
    return;
  if (isUnfitToResume()) {
    ++PossibleRuns;
    Hooks.CancelAttempt(attempt);
    return onFailed(unfitAnswerError(), now);
  }
  if (!isSuccess(current.Head.Status)) {
    ++PossibleRuns;
    Hooks.CancelAttempt(attempt);
    return onFailed({ErrorKind::ServerFailed, "a failure too long to pass on"},
                    now);
  }
  forwardData(std::exchange(current.Buffered, {}));
  armTimer(now);
}

size_t ForwardFlow::bufferLimit() const {
  // An error can't be passed on in parts.
  if (!Hooks.BufferLimit || !isSuccess(Current->Head.Status))
    return Settings.MaxBufferedAnswerBytes;
  return std::min(Settings.MaxBufferedAnswerBytes, Hooks.BufferLimit());
}

void ForwardFlow::forwardData(std::string bytes) {
  if (bytes.empty())
    return;
  if (!std::exchange(HasAnswerBegun, true)) {
    if (isStream())
      Criteria.SoftwareVersion = Hooks.BeginStream(Current->Order);
    Hooks.BeginAnswer(Current->Head);
  }
  if (Current->Events.lastId())
    DeliveredEventId = Current->Events.lastId();
  HasPartOfEvent = Current->Events.hasReturnedPart();
  Hooks.WriteAnswer(std::move(bytes));
}

bool ForwardFlow::isStream() const {
  return Request.MatchedRoute.Kind == RouteKind::Stream &&
         Current->Head.IsEventStream && isSuccess(Current->Head.Status);
}

bool ForwardFlow::isResumed() const {
  return HasAnswerBegun && Current->Order.LastEventId;
}

bool ForwardFlow::isUnfitToResume() const {
  return isResumed() && isSuccess(Current->Head.Status) && !isStream();
}

Error ForwardFlow::incompleteReason(const Error &error) const {
  if (error)
    return error;
  if (!Current->HasHead)
    return {ErrorKind::ServerLost, "the server ended without an answer"};
  if (isUnfitToResume())
    return unfitAnswerError();
  if (!isStream())
    return {};
  if (Current->Events.isInsideEvent())
    return {ErrorKind::ServerLost, "the stream ended inside an event"};
  if (Current->Head.IsCloseDelimited && Current->Events.isEmpty())
    return {ErrorKind::ServerLost,
            "the connection ended before the first event"};
  return {};
}

void ForwardFlow::onDone(uint32_t attempt, const Error &error, bool unsent,
                         TimePoint now) {
  if (IsEnded || !Current || attempt != AttemptNumber)
    return;
  if (unsent) {
    closeAttempt(AttemptResult::Unreached, now);
    return startNextAttempt(now, error, false);
  }
  if (Error incomplete = incompleteReason(error)) {
    ++PossibleRuns;
    return onFailed(incomplete, now);
  }
  if (Current->Head.WasNotRun)
    return onRejected(ServerHead(Current->Head), now);
  ++PossibleRuns;
  onAnswerComplete(now);
}

void ForwardFlow::onRejected(const ServerHead &head, TimePoint now) {
  ++Rejections;
  if (head.RetryAfter)
    SoonestRetryAfter = std::min(SoonestRetryAfter.value_or(*head.RetryAfter),
                                 *head.RetryAfter);
  closeAttempt(head.Status == net::StatusMisdirected
                   ? AttemptResult::Misdirected
                   : AttemptResult::TurnedAway,
               now);
  Error reason{ErrorKind::Overloaded,
               "a server turned the request away with status " +
                   std::to_string(head.Status)};
  if (Rejections > Settings.MaxRejections)
    return giveUp(reason, now);
  startNextAttempt(now, reason, true);
}

void ForwardFlow::onFailed(const Error &error, TimePoint now) {
  closeAttempt(error.Kind == ErrorKind::ServerLost ? AttemptResult::BrokenOff
                                                   : AttemptResult::Failed,
               now);
  if (mayRunAgain())
    return startNextAttempt(now, error, true);
  giveUp(error, now);
}

bool ForwardFlow::isCallerError(unsigned status) const {
  return !net::isServerError(status) && !promisesNotRun(status);
}

void ForwardFlow::onAnswerComplete(TimePoint now) {
  ServerHead head = std::move(Current->Head);
  std::string body = std::move(Current->Buffered);
  // The part of a long answer that came after the last one passed on. It is
  // passed on as part of the attempt, which may pause for it.
  if (HasAnswerBegun && isSuccess(head.Status) && !body.empty())
    Hooks.WriteAnswer(std::exchange(body, {}));
  if (isSuccess(head.Status) || isCallerError(head.Status)) {
    closeAttempt(AttemptResult::Answered, now);
    if (!HasAnswerBegun)
      return forwardAnswer(head, std::move(body));
    if (!isSuccess(head.Status)) {
      Hooks.AbortAnswer(); // The attempt to resume the stream failed.
      return finish();
    }
    Hooks.EndAnswer();
    return finish();
  }
  closeAttempt(AttemptResult::Failed, now);
  Error reason{ErrorKind::ServerFailed,
               "the server answered " + std::to_string(head.Status)};
  FailedHead = std::move(head);
  FailedBody = std::move(body);
  if (mayRunAgain())
    return startNextAttempt(now, reason, true);
  giveUp(reason, now);
}

bool ForwardFlow::mayRunAgain() const {
  bool canContinue =
      !HasAnswerBegun || (Request.MatchedRoute.Kind == RouteKind::Stream &&
                          DeliveredEventId.has_value() && !HasPartOfEvent &&
                          Criteria.SoftwareVersion.has_value());
  return Request.MatchedRoute.mayRepeat() && canContinue &&
         PossibleRuns < Request.MatchedRoute.Attempts;
}

void ForwardFlow::forwardAnswer(const ServerHead &head, std::string body) {
  Hooks.SendAnswer(head, std::move(body));
  finish();
}

void ForwardFlow::giveUp(const Error &reason, TimePoint now) {
  if (Current) {
    uint32_t attempt = AttemptNumber;
    ++PossibleRuns;
    closeAttempt(AttemptResult::Abandoned, now);
    Hooks.CancelAttempt(attempt);
  }
  if (HasAnswerBegun) {
    Hooks.AbortAnswer();
    return finish();
  }
  bool hasRun = PossibleRuns > 0;
  if (FailedHead && !promisesNotRun(FailedHead->Status))
    return forwardAnswer(*FailedHead, std::move(FailedBody));
  Error finalError = reason;
  if (hasRun) {
    bool hasTimedOut = reason.Kind == ErrorKind::DeadlinePassed;
    Hooks.SendError(hasTimedOut ? net::StatusGatewayTimeout
                                : net::StatusBadGateway,
                    finalError);
    return finish();
  }
  if (finalError.RetryAfter <= Duration::zero())
    finalError.RetryAfter = Settings.DefaultRetryAfter;
  Hooks.SendError(net::StatusUnavailable, finalError);
  finish();
}

void ForwardFlow::finish() {
  IsEnded = true;
  Hooks.Ended();
}

void ForwardFlow::onTimer(TimePoint now) {
  if (IsEnded)
    return;
  if (now >= Request.Deadline)
    return giveUp({ErrorKind::DeadlinePassed, "the request's time is over"},
                  now);
  if (!Current)
    return;
  std::optional<TimePoint> limit = beginLimit();
  if (limit && now >= *limit)
    return expireAttempt(now);
  Duration silenceLimit = scaled(Request.MatchedRoute.TargetLatency,
                                 Settings.ResponseTimeoutFactor);
  bool isSilent = !Current->HasHead && silenceLimit > Duration::zero() &&
                  now >= Current->SentAt + silenceLimit;
  // An attempt without an answer is given up only while another server is left
  // to try.
  bool canRetry = Request.MatchedRoute.mayRepeat() &&
                  PossibleRuns + 1 < Request.MatchedRoute.Attempts;
  if (!isSilent || !canRetry)
    return armTimer(now);
  if (!Hooks.CanChooseServer(Criteria, now))
    return armTimer(now);
  ++PossibleRuns;
  uint32_t attempt = AttemptNumber;
  // The result is recorded before the next choice of a server, so that the next
  // attempt may save the context that this one was to save.
  closeAttempt(AttemptResult::Failed, now);
  Hooks.CancelAttempt(attempt);
  startNextAttempt(
      now, {ErrorKind::ServerLost, "the server was silent for too long"}, true);
}

void ForwardFlow::onBeginLimitsChanged(TimePoint now) {
  if (!IsEnded && Current)
    armTimer(now);
}

std::optional<TimePoint> ForwardFlow::beginLimit() const {
  bool isWaiting = Current && !Current->HasHead;
  return isWaiting ? Hooks.BeginLimit(Current->Order) : std::nullopt;
}

void ForwardFlow::expireAttempt(TimePoint now) {
  ++PossibleRuns;
  uint32_t attempt = AttemptNumber;
  closeAttempt(AttemptResult::Expired, now);
  Hooks.CancelAttempt(attempt);
  Error reason{ErrorKind::WeightsOutdated,
               "the request did not begin before the server's weights had been "
               "outdated for too long"};
  if (mayRunAgain())
    return startNextAttempt(now, reason, true);
  giveUp(reason, now);
}

void ForwardFlow::onServerLost(TimePoint now) {
  if (IsEnded || !Current)
    return;
  ++PossibleRuns;
  uint32_t attempt = AttemptNumber;
  closeAttempt(AttemptResult::ServerLost, now);
  Hooks.CancelAttempt(attempt);
  Error reason{ErrorKind::ServerLost,
               "the server sends nothing and establishes no connections"};
  if (mayRunAgain())
    return startNextAttempt(now, reason, true);
  giveUp(reason, now);
}

void ForwardFlow::onCallerGone(TimePoint now) {
  if (IsEnded)
    return;
  if (Current) {
    uint32_t attempt = AttemptNumber;
    closeAttempt(AttemptResult::Abandoned, now);
    Hooks.CancelAttempt(attempt);
  }
  finish();
}

void ForwardFlow::onProcessEnd(TimePoint now) {
  onBlocked({ErrorKind::Draining, "the entry ends before the answer"}, now);
}

void ForwardFlow::onBlocked(const Error &reason, TimePoint now) {
  if (IsEnded || HasAnswerBegun)
    return;
  giveUp(reason, now);
}

void ForwardFlow::armTimer(TimePoint now) {
  TimePoint at = Request.Deadline;
  Duration silenceLimit = scaled(Request.MatchedRoute.TargetLatency,
                                 Settings.ResponseTimeoutFactor);
  bool mayRetry = Request.MatchedRoute.mayRepeat() &&
                  PossibleRuns + 1 < Request.MatchedRoute.Attempts;
  if (Current && !Current->HasHead && mayRetry &&
      silenceLimit > Duration::zero()) {
    TimePoint silentAt = Current->SentAt + silenceLimit;
    if (silentAt > now)
      at = std::min(at, silentAt);
  }
  if (std::optional<TimePoint> limit = beginLimit())
    at = std::min(at, *limit);
  Hooks.ArmTimer(at);
}

} // namespace daisytack::direct
