#include "serve/request_flow.h"

#include <algorithm>

namespace daisytack::entry {

namespace {

constexpr size_t UsualActionCount = 4;

/// True for refusals that every other server would repeat.
bool isFinalRefusal(ErrorKind kind) {
  switch (kind) {
  case ErrorKind::BadRequest:
  case ErrorKind::BodyTooLarge:
  case ErrorKind::Forbidden:
  case ErrorKind::KeyReused:
  case ErrorKind::TicketExpired:
  case ErrorKind::TicketUnknown:
  case ErrorKind::StillRunning:
  case ErrorKind::DeadlinePassed:
    return true;
  default:
    return false;
  }
}

/// True for errors after which the request is not retried: an operator stopped
/// it, or its deadline has passed.
bool isFinalEnd(ErrorKind kind) {
  return kind == ErrorKind::Cancelled || kind == ErrorKind::DeadlinePassed;
}

} // namespace

RequestFlow::RequestFlow(RequestSpec spec, FlowSettings settings,
                         FlowHooks hooks)
    : Spec(std::move(spec)), Settings(settings), Hooks(std::move(hooks)) {
  if (Spec.Resume)
    ChunksReceived = ChunksSent = Spec.Resume->FromIndex;
}

FlowActions RequestFlow::apply(const FlowInput &input,
                               const FlowContext &context) {
  Step step{context, {}};
  if (Phase == FlowPhase::Ended)
    return {};
  step.Out.reserve(UsualActionCount);
  std::visit([&](const auto &it) { on(it, step); }, input);
  if (Phase != FlowPhase::Ended)
    armTimer(step);
  return std::move(step.Out);
}

std::vector<std::string> RequestFlow::servers() const {
  std::vector<std::string> out;
  for (const AttemptState &attempt : Attempts)
    if (attempt.isOpen())
      out.push_back(attempt.Server);
  return out;
}

void RequestFlow::on(const FlowStarted & /*input*/, Step &step) {
  if (Phase != FlowPhase::Waiting)
    return;
  Phase = FlowPhase::Running;
  record(step, EventKind::RequestReceived, 0, ErrorKind::None,
         Spec.Offer.Organisation);
  if (step.Context.Now >= Spec.Deadline)
    return giveUp({ErrorKind::DeadlineTooShort, "no time is left"},
                  Outcome::NotRun, step);
  if (Spec.Resume)
    return resume(Spec.Resume->Server, Spec.FirstAttempt, step);
  std::optional<Candidate> first = pickServer(step.Context);
  if (!first)
    return giveUp({ErrorKind::NoServer, "no backend server is in service"},
                  Outcome::NotRun, step);
  offer(*first, step);
}

void RequestFlow::on(const ServerMessage &input, Step &step) {
  std::visit(
      [&](const auto &message) {
        if (message.Id != Spec.Offer.Id)
          return;
        AttemptState *attempt =
            findAttempt(message.AttemptNumber, input.Server);
        if (attempt == nullptr || !attempt->isOpen())
          return;
        using M = std::decay_t<decltype(message)>;
        if constexpr (std::is_same_v<M, wire::Accepted>)
          onAccepted(*attempt, message, step);
        else if constexpr (std::is_same_v<M, wire::Refused>)
          onRefused(*attempt, message, step);
        else if constexpr (std::is_same_v<M, wire::Chunk>)
          onChunk(*attempt, message, step);
        else
          onFinished(*attempt, message, step);
      },
      input.Body);
}

void RequestFlow::on(const LinkLost &input, Step &step) {
  auto it = std::find_if(
      Attempts.begin(), Attempts.end(), [&](const AttemptState &attempt) {
        return attempt.Number == input.AttemptNumber && attempt.isOpen();
      });
  if (it == Attempts.end())
    return;
  AttemptState &attempt = *it;
  Error reason{ErrorKind::ServerLost,
               "the connection to " + attempt.Server + " broke"};
  // A server that replied to the attempt has received its offer.
  bool hasReplied = attempt.Phase != AttemptPhase::Offered;
  if (input.MayBeDelivered || attempt.IsResume || hasReplied)
    return onAttemptLost(attempt, reason, step);
  attempt.MayHaveArrived = false;
  attempt.Phase = AttemptPhase::Closed;
  step.Out.emplace_back(
      ReportServer{attempt.Server, ReportServer::Result::Failed, {}, {}});
  retryOrGiveUp({ErrorKind::NoServer, "no connection to " + attempt.Server},
                step);
}

void RequestFlow::on(const TimerFired & /*input*/, Step &step) {
  ArmedTimer.reset();
  TimePoint now = step.Context.Now;
  if (Phase == FlowPhase::Held)
    return deliverOrHold(step);
  if (ResumeGraceEndsAt && now >= *ResumeGraceEndsAt) {
    cancelAll(step);
    return end(step);
  }
  if (now >= Spec.Deadline) {
    Outcome ran = mayHaveRun() ? Outcome::MayHaveRun : Outcome::NotRun;
    return giveUp({ErrorKind::DeadlinePassed, "no whole answer in time"}, ran,
                  step);
  }
  if (RetryAt && now >= *RetryAt) {
    RetryAt.reset();
    return retryOrGiveUp(LastReason, step);
  }
  hedge(step);
}

void RequestFlow::on(const CallerDisconnected & /*input*/, Step &step) {
  if (CallerLeft)
    return;
  CallerLeft = true;
  record(step, EventKind::RunCancelled, 0, ErrorKind::Cancelled);
  bool canResume = Spec.Stream && ChunksSent > 0 &&
                   Phase == FlowPhase::Running &&
                   Settings.ResumeGrace.count() > 0;
  if (canResume) {
    ResumeGraceEndsAt = step.Context.Now + Settings.ResumeGrace;
    return;
  }
  cancelAll(step);
  end(step);
}

void RequestFlow::on(const StopRequested & /*input*/, Step &step) {
  giveUp({ErrorKind::Cancelled, "stopped by an operator"},
         mayHaveRun() ? Outcome::MayHaveRun : Outcome::NotRun, step);
}

void RequestFlow::on(const ConfigChanged & /*input*/, Step &step) {
  if (Phase == FlowPhase::Held)
    deliverOrHold(step);
}

void RequestFlow::onAccepted(AttemptState &attempt,
                             const wire::Accepted &message, Step &step) {
  if (attempt.Phase != AttemptPhase::Offered)
    return;
  attempt.Phase = AttemptPhase::Accepted;
  WasAccepted = true;
  constexpr uint64_t MaxFirstTokenMicros = 3600ULL * 1'000'000;
  attempt.Predicted =
      Duration(std::min(message.FirstTokenMicros, MaxFirstTokenMicros));
  auto extra = std::chrono::duration_cast<Duration>(attempt.Predicted *
                                                    Settings.HedgeFactor);
  attempt.HedgeAt =
      step.Context.Now + attempt.Predicted + extra + Settings.HedgeMargin;
  if (attempt.IsResume || message.CompletionMicros == 0)
    attempt.HedgeAt = step.Context.Now + Settings.StallTimeout;
  record(step, EventKind::OfferAccepted, attempt.Number, ErrorKind::None,
         attempt.Server,
         {attempt.Predicted.count(),
          static_cast<int64_t>(message.CompletionMicros)});
}

void RequestFlow::onRefused(AttemptState &attempt, const wire::Refused &message,
                            Step &step) {
  Error reason{message.Kind, message.Detail,
               Duration(static_cast<int64_t>(
                   std::min<uint64_t>(message.RetryAfterMicros, INT64_MAX)))};
  record(step, EventKind::OfferRefused, attempt.Number, message.Kind,
         attempt.Server);
  if (attempt.IsResume && !Spec.Offer.Idempotent && !Spec.Resume) {
    attempt.Phase = AttemptPhase::Closed;
    return giveUp({ErrorKind::ServerLost, "its answer is no longer held"},
                  Outcome::MayHaveRun, step);
  }
  if (message.RunOutcome == Outcome::NotRun &&
      attempt.Phase != AttemptPhase::Streaming) {
    attempt.Refused = true;
    attempt.ExceededWaitLimit =
        attempt.HasWaitLimit && message.Kind == ErrorKind::Overloaded;
    attempt.Phase = AttemptPhase::Closed;
    if (isFinalRefusal(message.Kind) && !hasOpenAttempt())
      return giveUp(reason,
                    mayHaveRun() ? Outcome::MayHaveRun : message.RunOutcome,
                    step);
    return retryOrGiveUp(reason, step);
  }
  if (Spec.Resume || !Spec.Offer.Idempotent) {
    attempt.Phase = AttemptPhase::Closed;
    return giveUp(reason,
                  message.RunOutcome == Outcome::NotRun ? Outcome::MayHaveRun
                                                        : message.RunOutcome,
                  step);
  }
  onAttemptLost(attempt, reason, step);
}

void RequestFlow::onChunk(AttemptState &attempt, const wire::Chunk &message,
                          Step &step) {
  if (message.Index < ChunksReceived)
    return; // A duplicate, or a chunk that another attempt already sent.
  if (message.Index > ChunksReceived) {
    cancel(attempt, step);
    return onAttemptLost(
        attempt, {ErrorKind::ProtocolError, "a chunk is missing"}, step);
  }
  cancelOthers(attempt.Number, step);
  if (!FirstTokenAt) {
    FirstTokenAt = step.Context.Now;
    record(step, EventKind::FirstToken, attempt.Number, ErrorKind::None,
           attempt.Server, {(step.Context.Now - Spec.Arrived).count()});
    step.Out.emplace_back(ReportServer{
        attempt.Server, ReportServer::Result::Answered, attempt.Predicted,
        std::chrono::duration_cast<Duration>(step.Context.Now -
                                             attempt.SentAt)});
  }
  attempt.Phase = AttemptPhase::Streaming;
  attempt.HedgeAt = step.Context.Now + Settings.StallTimeout;
  LastServer = attempt.Server;
  ++ChunksReceived;
  Text += message.Text;
  if (Spec.Stream && !releaseTime(step.Context))
    sendParts(step);
}

void RequestFlow::onFinished(AttemptState &attempt,
                             const wire::Finished &message, Step &step) {
  bool whole = message.Kind == ErrorKind::None &&
               message.RunOutcome == Outcome::Completed;
  if (whole && message.Chunks == ChunksReceived)
    return completeAnswer(attempt, message, step);
  if (whole) {
    cancel(attempt, step);
    return onAttemptLost(
        attempt, {ErrorKind::ProtocolError, "the answer is not whole"}, step);
  }
  Error reason{message.Kind == ErrorKind::None ? ErrorKind::ServerFailed
                                               : message.Kind,
               message.Detail};
  if (isFinalEnd(message.Kind)) {
    attempt.Phase = AttemptPhase::Closed;
    return giveUp(reason, message.RunOutcome, step);
  }
  if (message.RunOutcome == Outcome::NotRun &&
      attempt.Phase != AttemptPhase::Streaming) {
    attempt.Refused = true;
    attempt.Phase = AttemptPhase::Closed;
    return retryOrGiveUp(reason, step);
  }
  onAttemptLost(attempt, reason, step);
}

} // namespace daisytack::entry
