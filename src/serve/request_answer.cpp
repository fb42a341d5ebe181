/// The part of RequestFlow that delivers or holds the final answer, and its
/// timers.
#include "serve/request_flow.h"

#include <algorithm>

namespace daisytack::entry {

namespace {

template <class T> void setToEarlier(std::optional<T> &out, const T &value) {
  if (!out || value < *out)
    out = value;
}

} // namespace

/// Future release time of the class; std::nullopt if answers need not be held.
std::optional<WallTime>
RequestFlow::releaseTime(const FlowContext &context) const {
  const RequestClass *it = context.Config.requestClass(Spec.Offer.Class);
  if (it == nullptr || !it->ReleaseAt || *it->ReleaseAt <= context.Wall)
    return std::nullopt;
  return it->ReleaseAt;
}

/// Sends the caller all chunks that have not been sent yet.
void RequestFlow::sendParts(Step &step) {
  if (ChunksSent == ChunksReceived)
    return;
  ChunksSent = ChunksReceived;
  if (!CallerLeft)
    step.Out.emplace_back(
        AnswerPart{LastServer, ChunksReceived - 1, Text.substr(BytesSent)});
  // Text that was sent is needed only for a re-run on another server.
  if (!Spec.Offer.Idempotent || Spec.Resume)
    Text.clear();
  BytesSent = Text.size();
}

void RequestFlow::completeAnswer(AttemptState &attempt,
                                 const wire::Finished &message, Step &step) {
  cancelOthers(attempt.Number, step);
  attempt.Phase = AttemptPhase::Closed;
  LastServer = attempt.Server;
  Summary.FinishReason = message.FinishReason;
  Summary.PromptTokens = message.PromptTokens;
  Summary.RecomputedTokens = message.RecomputedTokens;
  Summary.GeneratedTokens = message.GeneratedTokens;
  TimePoint first = FirstTokenAt.value_or(step.Context.Now);
  Summary.FirstToken =
      std::chrono::duration_cast<Duration>(first - Spec.Arrived);
  Summary.ServiceStatus = message.ServiceStatus;
  Summary.ServiceHeaders = message.ServiceHeaders;
  record(step, EventKind::RunFinished, attempt.Number, ErrorKind::None,
         attempt.Server, {message.GeneratedTokens, message.RecomputedTokens});
  if (CallerLeft)
    return end(step);
  Phase = FlowPhase::Held;
  deliverOrHold(step);
  if (Phase == FlowPhase::Held)
    record(step, EventKind::AnswerHeld, attempt.Number, ErrorKind::None,
           Spec.Offer.Class);
}

void RequestFlow::deliverOrHold(Step &step) {
  std::optional<WallTime> release = releaseTime(step.Context);
  // The deadline applies even if the wall clock was set back or the release
  // time was moved past it.
  TimePoint now = step.Context.Now;
  if (!release || now >= Spec.Deadline)
    return deliverAnswer(step);
  auto left =
      std::chrono::duration_cast<Duration>(*release - step.Context.Wall);
  NextReleaseCheckAt = std::min(
      now + std::min(left, Settings.ReleaseCheckInterval), Spec.Deadline);
}

void RequestFlow::deliverAnswer(Step &step) {
  if (NextReleaseCheckAt)
    record(step, EventKind::AnswerReleased, 0, ErrorKind::None,
           Spec.Offer.Class);
  record(step, EventKind::RequestAnswered, Attempts.back().Number,
         ErrorKind::None, LastServer,
         {(step.Context.Now - Spec.Arrived).count()});
  if (!Spec.Stream) {
    step.Out.emplace_back(WholeAnswer{std::move(Text), std::move(Summary)});
    return end(step);
  }
  sendParts(step);
  step.Out.emplace_back(AnswerEnd{std::move(Summary)});
  end(step);
}

void RequestFlow::giveUp(Error reason, Outcome ran, Step &step) {
  cancelAll(step);
  // The ticket may have been presented before; only its agent has a record of
  // that.
  bool isKnown = Spec.Offer.Ticket.empty() ||
                 (!Attempts.empty() && Attempts.back().Refused);
  if (!isKnown && ran == Outcome::NotRun)
    ran = Outcome::MayHaveRun;
  reason.RetryAfter = std::max(reason.RetryAfter, Settings.MinRetryAfter);
  record(step, EventKind::RequestRefused, 0, reason.Kind,
         Spec.Offer.Organisation);
  if (!CallerLeft)
    step.Out.emplace_back(AnswerError{std::move(reason), ran});
  end(step);
}

void RequestFlow::end(Step &step) {
  Phase = FlowPhase::Ended;
  step.Out.emplace_back(FlowEnded{});
}

std::optional<TimePoint> RequestFlow::earliestTimer() const {
  if (Phase == FlowPhase::Held)
    return NextReleaseCheckAt;
  std::optional<TimePoint> out = Spec.Deadline;
  if (ResumeGraceEndsAt)
    setToEarlier(out, *ResumeGraceEndsAt);
  if (RetryAt)
    setToEarlier(out, *RetryAt);
  std::optional<TimePoint> late;
  bool canHelp = Spec.Offer.Idempotent && !Spec.Resume && !CallerLeft &&
                 countedAttempts() < Settings.Attempts;
  for (const AttemptState &attempt : Attempts)
    if (canHelp && attempt.isOpen() && (!late || attempt.HedgeAt > *late))
      late = attempt.HedgeAt;
  if (late)
    setToEarlier(out, *late);
  return out;
}

void RequestFlow::armTimer(Step &step) {
  std::optional<TimePoint> earliest = earliestTimer();
  // A timer that fires early is harmless, and cheaper than moving the timer
  // with every chunk.
  if (!earliest || (ArmedTimer && *ArmedTimer <= *earliest))
    return;
  ArmedTimer = earliest;
  step.Out.emplace_back(ArmTimer{*earliest});
}

void RequestFlow::record(Step &step, EventKind kind, Attempt attempt,
                         ErrorKind reason, std::string subject,
                         std::array<int64_t, Event::MaxScores> scores) const {
  Event event;
  event.Kind = kind;
  event.Request = Spec.Offer.Id;
  event.AttemptNumber = attempt;
  event.Reason = reason;
  event.Subject = std::move(subject);
  event.Scores = scores;
  step.Out.emplace_back(RecordEvent{std::move(event)});
}

} // namespace daisytack::entry
