#include "direct/forward_flow.h"
#include "base/duration.h"
#include "net/http_status.h"

#include <algorithm>
#include <utility>

namespace daisytack::direct {

namespace {

using net::isSuccess;

} // namespace

std::string_view attemptResultName(AttemptResult result) {
  switch (result) {
  case AttemptResult::Answered:
    return "answered";
  case AttemptResult::Failed:
    return "failed";
  case AttemptResult::TurnedAway:
    return "turned_away";
  case AttemptResult::Misdirected:
    return "misdirected";
  case AttemptResult::Unreached:
    return "unreached";
  case AttemptResult::Abandoned:
    return "abandoned";
  }
  return "unknown";
}

ForwardFlow::ForwardFlow(ForwardRequest request, ForwardSettings settings,
                         ForwardHooks hooks)
    : Request(std::move(request)), Settings(settings), Hooks(std::move(hooks)),
      LastEvent(Request.Head.LastEventId) {}

void ForwardFlow::start(TimePoint now) { next(now, {}, false); }

void ForwardFlow::next(TimePoint now, const Error &reason, bool drawsBudget) {
  if (IsEnded)
    return;
  if (now + Settings.LeastTime >= Request.Deadline)
    return giveUp(
        reason ? reason
               : Error{ErrorKind::DeadlinePassed, "the request's time is over"},
        now);
  Error none;
  std::optional<AttemptChoice> choice = Hooks.ChooseServer(Tried, now, none);
  if (!choice) {
    Error told = reason ? reason : none;
    // When a server may be asked again is known best by who chooses; else by
    // those that turned the request away.
    told.RetryAfter = std::max(told.RetryAfter, none.RetryAfter);
    if (told.RetryAfter <= Duration::zero())
      told.RetryAfter = RetryAfter.value_or(Duration::zero());
    return giveUp(told, now);
  }
  if (drawsBudget && !Hooks.TakeRetry())
    return giveUp(reason, now);
  send(std::move(choice->Order), now);
}

void ForwardFlow::send(AttemptOrder order, TimePoint now) {
  ++Number;
  Tried.push_back(order.ServerId);
  order.TimeLeft = Request.Deadline - now;
  order.LastEventId = LastEvent;
  Current.emplace(Try{});
  Current->Order = std::move(order);
  Current->SentAt = now;
  arm(now);
  Hooks.SendAttempt(Number, Current->Order);
}

void ForwardFlow::close(AttemptResult result, TimePoint now) {
  Hooks.RecordResult(Number, Current->Order, result, now);
  Current.reset();
}

void ForwardFlow::onHead(uint32_t attempt, const ServerHead &head,
                         TimePoint now) {
  if (IsEnded || !Current || attempt != Number)
    return;
  Current->Head = head;
  Current->HasHead = true;
  arm(now);
}

void ForwardFlow::onData(uint32_t attempt, std::string_view data,
                         TimePoint now) {
  if (IsEnded || !Current || attempt != Number || !Current->HasHead)
    return;
  Try &current = *Current;
  bool isStream = Request.MatchedRoute.Kind == RouteKind::Stream &&
                  isSuccess(current.Head.Status);
  if (isStream)
    return passEvents(current.Events.feed(data));
  current.Held += data;
  if (current.Held.size() <= Settings.MaxHeldAnswer)
    return;
  if (!isSuccess(current.Head.Status)) {
    ++Runs;
    Hooks.CancelAttempt(attempt);
    return onFailed({ErrorKind::ServerFailed, "a failure too long to pass on"},
                    now);
  }
  passEvents(std::exchange(current.Held, {}));
  arm(now);
}

void ForwardFlow::passEvents(std::string events) {
  if (events.empty())
    return;
  if (!std::exchange(HasBegun, true))
    Hooks.BeginAnswer(Current->Head);
  if (Current->Events.lastId())
    LastEvent = Current->Events.lastId();
  Hooks.WriteAnswer(std::move(events));
}

void ForwardFlow::onDone(uint32_t attempt, const Error &error, bool unsent,
                         TimePoint now) {
  if (IsEnded || !Current || attempt != Number)
    return;
  if (unsent) {
    close(AttemptResult::Unreached, now);
    return next(now, error, false);
  }
  if (error || !Current->HasHead) {
    ++Runs;
    return onFailed(error, now);
  }
  if (Current->Head.WasNotRun)
    return onRejected(ServerHead(Current->Head), now);
  ++Runs;
  onWhole(now);
}

void ForwardFlow::onRejected(const ServerHead &head, TimePoint now) {
  ++Rejections;
  if (head.RetryAfter)
    RetryAfter =
        std::min(RetryAfter.value_or(*head.RetryAfter), *head.RetryAfter);
  close(head.Status == net::StatusMisdirected ? AttemptResult::Misdirected
                                              : AttemptResult::TurnedAway,
        now);
  Error reason{ErrorKind::Overloaded,
               "a server turned the request away with status " +
                   std::to_string(head.Status)};
  if (Rejections > Settings.MaxRejections)
    return giveUp(reason, now);
  next(now, reason, true);
}

void ForwardFlow::onFailed(const Error &error, TimePoint now) {
  Error reason = error ? error
                       : Error{ErrorKind::ServerLost,
                               "the server ended without an answer"};
  close(AttemptResult::Failed, now);
  if (mayRunAgain())
    return next(now, reason, true);
  giveUp(reason, now);
}

bool ForwardFlow::isOwnFault(unsigned status) const {
  return !net::isServerError(status) && !promisesNotRun(status);
}

void ForwardFlow::onWhole(TimePoint now) {
  ServerHead head = std::move(Current->Head);
  std::string body = std::move(Current->Held);
  std::string rest = Current->Events.takeRest();
  if (isSuccess(head.Status) || isOwnFault(head.Status)) {
    close(AttemptResult::Answered, now);
    if (!HasBegun)
      return answerServer(head, body + rest);
    if (!isSuccess(head.Status)) {
      Hooks.AbortAnswer(); // A resumed stream whose second part failed.
      return end();
    }
    if (!rest.empty())
      Hooks.WriteAnswer(std::move(rest));
    Hooks.EndAnswer();
    return end();
  }
  close(AttemptResult::Failed, now);
  Error reason{ErrorKind::ServerFailed,
               "the server answered " + std::to_string(head.Status)};
  FailedHead = std::move(head);
  FailedBody = std::move(body);
  if (mayRunAgain())
    return next(now, reason, true);
  giveUp(reason, now);
}

bool ForwardFlow::mayRunAgain() const {
  bool canContinue =
      !HasBegun ||
      (Request.MatchedRoute.Kind == RouteKind::Stream && LastEvent.has_value());
  return Request.MatchedRoute.mayRepeat() && canContinue &&
         Runs < Request.MatchedRoute.Attempts;
}

void ForwardFlow::answerServer(const ServerHead &head, std::string body) {
  Hooks.SendAnswer(head, std::move(body));
  end();
}

void ForwardFlow::giveUp(const Error &reason, TimePoint now) {
  if (Current) {
    uint32_t attempt = Number;
    ++Runs;
    close(AttemptResult::Abandoned, now);
    Hooks.CancelAttempt(attempt);
  }
  if (HasBegun) {
    Hooks.AbortAnswer();
    return end();
  }
  bool hasRun = Runs > 0;
  if (FailedHead && !promisesNotRun(FailedHead->Status))
    return answerServer(*FailedHead, std::move(FailedBody));
  Error told = reason;
  if (hasRun) {
    bool isLate = reason.Kind == ErrorKind::DeadlinePassed;
    Hooks.SendError(isLate ? net::StatusGatewayTimeout : net::StatusBadGateway,
                    told);
    return end();
  }
  if (told.RetryAfter <= Duration::zero())
    told.RetryAfter = Settings.RetryAfter;
  Hooks.SendError(net::StatusUnavailable, told);
  end();
}

void ForwardFlow::end() {
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
  Duration silence =
      scaled(Request.MatchedRoute.TargetLatency, Settings.SilenceFactor);
  bool isSilent = !Current->HasHead && silence > Duration::zero() &&
                  now >= Current->SentAt + silence;
  // Another server is asked only while there is one left to ask.
  bool canMove = Request.MatchedRoute.mayRepeat() &&
                 Runs + 1 < Request.MatchedRoute.Attempts;
  if (!isSilent || !canMove)
    return arm(now);
  if (!Hooks.CanChooseServer(Tried, now))
    return arm(now);
  ++Runs;
  uint32_t attempt = Number;
  // First, so that the next attempt may save what this one was to save.
  close(AttemptResult::Failed, now);
  Hooks.CancelAttempt(attempt);
  next(now, {ErrorKind::ServerLost, "the server was silent for too long"},
       true);
}

void ForwardFlow::onCallerGone(TimePoint now) {
  if (IsEnded)
    return;
  if (Current) {
    uint32_t attempt = Number;
    close(AttemptResult::Abandoned, now);
    Hooks.CancelAttempt(attempt);
  }
  end();
}

void ForwardFlow::onProcessEnd(TimePoint now) {
  onBlocked({ErrorKind::Draining, "the entry ends before the answer"}, now);
}

void ForwardFlow::onBlocked(const Error &reason, TimePoint now) {
  if (IsEnded || HasBegun)
    return;
  giveUp(reason, now);
}

void ForwardFlow::arm(TimePoint now) {
  TimePoint at = Request.Deadline;
  Duration silence =
      scaled(Request.MatchedRoute.TargetLatency, Settings.SilenceFactor);
  bool mayMove = Request.MatchedRoute.mayRepeat() &&
                 Runs + 1 < Request.MatchedRoute.Attempts;
  if (Current && !Current->HasHead && mayMove && silence > Duration::zero()) {
    TimePoint late = Current->SentAt + silence;
    if (late > now)
      at = std::min(at, late);
  }
  Hooks.ArmTimer(at);
}

} // namespace daisytack::direct
