/// The part of RequestFlow that chooses servers, sends offers, and retries or
/// gives up after failed attempts.
#include "serve/request_flow.h"

#include <algorithm>

namespace daisytack::entry {

RequestFlow::AttemptState *RequestFlow::findAttempt(Attempt number,
                                                    std::string_view server) {
  for (auto it = Attempts.rbegin(); it != Attempts.rend(); ++it)
    if (it->Number == number && it->Server == server)
      return &*it;
  return nullptr;
}

bool RequestFlow::hasOpenAttempt() const {
  return std::any_of(Attempts.begin(), Attempts.end(),
                     [](const AttemptState &it) { return it.isOpen(); });
}

bool RequestFlow::mayHaveRun() const {
  return std::any_of(
      Attempts.begin(), Attempts.end(),
      [](const AttemptState &it) { return it.MayHaveArrived && !it.Refused; });
}

std::optional<Candidate>
RequestFlow::pickServer(const FlowContext &context) const {
  // A server that refused an accepted request may accept it after a delay.
  auto isExcluded = [&](const Candidate &it) {
    return std::any_of(
        Attempts.begin(), Attempts.end(), [&](const AttemptState &attempt) {
          bool mayAskAgain = (HasWaitedForRetry && attempt.Refused) ||
                             (!HasWaitLimit && attempt.ExceededWaitLimit);
          return attempt.Server == it.Server && !mayAskAgain;
        });
  };
  for (Candidate &it : Hooks.Rank(Spec, context))
    if (!isExcluded(it))
      return std::move(it);
  return std::nullopt;
}

void RequestFlow::offer(const Candidate &candidate, Step &step) {
  TimePoint now = step.Context.Now;
  AttemptState attempt;
  attempt.Number = Spec.FirstAttempt + attempts();
  attempt.Server = candidate.Server;
  attempt.SentAt = now;
  attempt.HedgeAt = now + Settings.OfferTimeout;
  attempt.HasWaitLimit = HasWaitLimit && Spec.Offer.Idempotent &&
                         candidate.WaitLimit > Duration{0};
  auto left = std::chrono::duration_cast<Duration>(Spec.Deadline - now);

  wire::Offer out = Spec.Offer;
  out.AttemptNumber = attempt.Number;
  out.RemainingMicros =
      static_cast<uint64_t>(std::max<int64_t>(left.count(), 0));
  if (attempt.HasWaitLimit)
    out.WaitLimitMicros = static_cast<uint64_t>(candidate.WaitLimit.count());
  bool mayRunAgain = out.Idempotent && countedAttempts() == 0;
  out.ReserveMicros =
      mayRunAgain
          ? static_cast<uint64_t>(static_cast<double>(out.RemainingMicros) *
                                  Settings.ReserveShare)
          : 0;
  out.Generated = out.Idempotent ? Text : std::string();
  out.GeneratedChunks = ChunksReceived;
  if (Hooks.Refresh)
    Hooks.Refresh(out, Spec, step.Context);

  record(step, EventKind::RequestOffered, attempt.Number, ErrorKind::None,
         attempt.Server, {candidate.FirstToken.count()});
  step.Out.emplace_back(SendOffer{attempt.Server, std::move(out)});
  Attempts.push_back(std::move(attempt));
}

void RequestFlow::resume(const std::string &server, Attempt number,
                         Step &step) {
  AttemptState attempt;
  attempt.Number = number;
  attempt.Server = server;
  attempt.IsResume = true;
  attempt.SentAt = step.Context.Now;
  attempt.HedgeAt = step.Context.Now + Settings.StallTimeout;
  record(step, EventKind::StreamResumed, number, ErrorKind::None, server,
         {ChunksReceived});
  step.Out.emplace_back(SendResume{
      server,
      {Spec.Offer.Id, number, Spec.Offer.Organisation, ChunksReceived}});
  Attempts.push_back(std::move(attempt));
}

/// True if another attempt is allowed, apart from the retry budget.
bool RequestFlow::canRetry(const FlowContext &context) const {
  if (countedAttempts() >= Settings.Attempts || context.Now >= Spec.Deadline ||
      Spec.Resume || CallerLeft)
    return false;
  return Spec.Offer.Idempotent || !mayHaveRun();
}

uint32_t RequestFlow::countedAttempts() const {
  return static_cast<uint32_t>(std::count_if(
      Attempts.begin(), Attempts.end(),
      [](const AttemptState &it) { return !it.ExceededWaitLimit; }));
}

bool RequestFlow::takeRetry() const {
  return !Hooks.TakeRetry || Hooks.TakeRetry();
}

/// Schedules a retry of a request that was once accepted, which is not dropped
/// before its deadline. Returns false if no retry is possible.
bool RequestFlow::waitForRetry(const FlowContext &context) {
  if (!WasAccepted || !canRetry(context))
    return false;
  auto left = std::chrono::duration_cast<Duration>(Spec.Deadline - context.Now);
  std::optional<Duration> pause = retryDelay(
      attempts(), LastReason.RetryAfter, left, Settings.MinRetryDelay,
      Settings.Backoff,
      Hooks.Random ? Hooks.Random : [] { return uint64_t{0}; });
  if (!pause)
    return false;
  HasWaitedForRetry = true;
  RetryAt = context.Now + std::max(*pause, Settings.MinRetryDelay);
  return true;
}

void RequestFlow::retryOrGiveUp(const Error &reason, Step &step) {
  // Keeps the shortest retry-after time, when the first server may accept.
  if (LastReason.RetryAfter.count() == 0 ||
      (reason.RetryAfter.count() > 0 &&
       reason.RetryAfter < LastReason.RetryAfter))
    LastReason.RetryAfter = reason.RetryAfter;
  LastReason.Kind = reason.Kind;
  LastReason.Detail = reason.Detail;
  if (hasOpenAttempt())
    return;
  std::optional<Candidate> candidate;
  if (canRetry(step.Context))
    candidate = pickServer(step.Context);
  if (!candidate && HasWaitLimit && canRetry(step.Context)) {
    // Offers to all servers had a wait limit; repeat them without one.
    HasWaitLimit = false;
    candidate = pickServer(step.Context);
  }
  if (candidate && (Attempts.back().ExceededWaitLimit || takeRetry())) {
    record(step, EventKind::RequestRetried, Attempts.back().Number, reason.Kind,
           candidate->Server);
    return offer(*candidate, step);
  }
  if (waitForRetry(step.Context))
    return;
  giveUp(LastReason, mayHaveRun() ? Outcome::MayHaveRun : Outcome::NotRun,
         step);
}

void RequestFlow::onAttemptLost(AttemptState &attempt, const Error &reason,
                                Step &step) {
  attempt.Phase = AttemptPhase::Closed;
  record(step, EventKind::AttemptLost, attempt.Number, reason.Kind,
         attempt.Server);
  std::string server = attempt.Server;
  Attempt number = attempt.Number;
  step.Out.emplace_back(
      ReportServer{server, ReportServer::Result::Failed, {}, {}});
  if (Spec.Offer.Idempotent && !Spec.Resume)
    return retryOrGiveUp(reason, step);
  if (hasOpenAttempt())
    return;
  // The run may continue after the connection broke. Reading its answer again
  // starts no second run.
  bool canReconnect = reason.Kind == ErrorKind::ServerLost &&
                      ReconnectCount < Settings.MaxReconnects && !CallerLeft;
  if (!canReconnect)
    return giveUp(reason, Outcome::MayHaveRun, step);
  ++ReconnectCount;
  resume(server, number, step);
}

/// Offers the request to one more server if all open attempts are late. The
/// first to send the next chunk wins.
void RequestFlow::hedge(Step &step) {
  TimePoint now = step.Context.Now;
  uint32_t openCount = 0;
  bool late = true;
  for (const AttemptState &attempt : Attempts) {
    if (!attempt.isOpen())
      continue;
    ++openCount;
    late = late && now >= attempt.HedgeAt;
  }
  if (openCount == 0 || !late)
    return;
  for (AttemptState &attempt : Attempts)
    if (attempt.isOpen())
      attempt.HedgeAt = now + Settings.StallTimeout;
  if (!Spec.Offer.Idempotent || Spec.Resume || openCount > 1)
    return;
  if (!canRetry(step.Context))
    return;
  std::optional<Candidate> candidate = pickServer(step.Context);
  if (!candidate || !takeRetry())
    return;
  record(step, EventKind::RequestRetried, Attempts.back().Number,
         ErrorKind::Overloaded, candidate->Server);
  offer(*candidate, step);
}

void RequestFlow::cancel(AttemptState &attempt, Step &step) {
  if (!attempt.isOpen())
    return;
  attempt.Phase = AttemptPhase::Closed;
  step.Out.emplace_back(
      SendCancel{attempt.Server, {Spec.Offer.Id, attempt.Number}});
}

void RequestFlow::cancelOthers(const Attempt winner, Step &step) {
  for (AttemptState &attempt : Attempts)
    if (attempt.Number != winner)
      cancel(attempt, step);
}

void RequestFlow::cancelAll(Step &step) { cancelOthers(0, step); }

} // namespace daisytack::entry
