/// AgentCore: accepting and refusing offers.
#include "base/digest.h"
#include "base/settings.h"
#include "serve/agent_impl.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

namespace {

constexpr size_t MaxRefusalsShown = 256;
/// Limit of the remaining time in an offer, so that the deadline cannot
/// overflow.
constexpr uint64_t MaxRemainingMicros = 365ULL * 24 * 3600 * 1'000'000;
constexpr Duration NotReadyRetryAfter{1'000'000};

/// Hash that distinguishes a repeated offer from another request with the same
/// id. Only requests of one organisation are compared, so a forged collision
/// harms only the organisation that forged it.
uint64_t hashRequest(const wire::Offer &offer) {
  return hashName(offer.Body) ^ mix64(hashName(offer.Call.Target)) ^
         mix64(hashName(offer.Call.Method) + 1);
}

std::string describePrediction(const AcceptanceDecision &decision) {
  return "predicted wait " + daisytack::toString(decision.Wait) +
         ", completion " + daisytack::toString(decision.Completion) +
         ", slack " + daisytack::toString(decision.Slack);
}

Duration remainingTime(const wire::Offer &offer) {
  return Duration(std::min(offer.RemainingMicros, MaxRemainingMicros));
}

} // namespace

void AgentCore::Impl::onOffer(LinkHandle link, const wire::Offer &offer,
                              Step &step) {
  if (!offer.Idempotent)
    return onTicketOffer(link, offer, step);
  Run *run = Runs.find(offer.Id);
  if (run) {
    Error why = checkRepeatedOffer(*run, offer);
    if (why)
      return refuse(link, offer, why, Outcome::NotRun, step);
    if (!run->Final || run->Final->Kind == ErrorKind::None)
      return join(*run, link, offer, step);
    if (run->wasNotified({link, offer.AttemptNumber}))
      return;
    HeldBytes -= run->Answer.bytes();
    Runs.erase(offer.Id);
  }
  decideOffer(link, offer, std::nullopt, step);
}

void AgentCore::Impl::onTicketOffer(LinkHandle link, const wire::Offer &offer,
                                    Step &step) {
  TicketVerdict verdict =
      Tickets.present(presentationOf(offer, link.Index), step.Now);
  switch (verdict.Decision) {
  case TicketVerdict::Action::Ignore:
    return;
  case TicketVerdict::Action::Refuse:
    return refuse(link, offer, verdict.Reason, verdict.RunOutcome, step);
  case TicketVerdict::Action::Run:
    if (!decideOffer(link, offer, verdict.Key, step))
      Tickets.withdraw(verdict.Key, step.Now);
    return;
  case TicketVerdict::Action::Replay:
    wire::Accepted accepted;
    accepted.Id = offer.Id;
    accepted.AttemptNumber = offer.AttemptNumber;
    accepted.Load = loadReport(step.Now);
    send(step, link, std::move(accepted));
    for (wire::Message &it :
         replayAnswer(*verdict.Answer, offer.Id, offer.AttemptNumber))
      send(step, link, std::move(it));
    return;
  }
}

bool AgentCore::Impl::decideOffer(LinkHandle link, const wire::Offer &offer,
                                  std::optional<TicketKey> ticket, Step &step) {
  Error why = checkOffer(offer, step);
  if (why) {
    refuse(link, offer, why, Outcome::NotRun, step);
    return false;
  }
  auto run = std::make_unique<Run>(
      std::make_shared<const wire::Offer>(withUsablePieces(offer)),
      Settings.MaxAnswerBytes);
  run->Ticket = ticket;
  run->RequestHash = hashRequest(offer);
  run->Arrived = step.Now;
  run->Deadline = step.Now + remainingTime(offer);
  run->Version = version();
  run->ExpectedPrefill = tokensToPrefill(*run->Request);
  RunRequest request = queueRequest(*run, step.Now);
  AcceptanceDecision decision = decideByLoad(request, step);
  if (!decision.accepted()) {
    Queue.recordRefused(request, step.Now);
    decision.Reason.Detail = describePrediction(decision);
    refuse(link, offer, decision.Reason, Outcome::NotRun, step,
           decision.scores());
    return false;
  }
  accept(link, std::move(run), request, decision, step);
  return true;
}

wire::Offer AgentCore::Impl::withUsablePieces(wire::Offer offer) const {
  if (offer.Version != version())
    offer.Pieces.clear();
  return offer;
}

Error AgentCore::Impl::checkRepeatedOffer(const Run &run,
                                          const wire::Offer &offer) const {
  if (run.Organisation != offer.Organisation)
    return {ErrorKind::Forbidden, "request id of another organisation"};
  if (run.RequestHash != hashRequest(offer))
    return {ErrorKind::KeyReused, "same request id with another body"};
  return {};
}

Error AgentCore::Impl::checkOffer(const wire::Offer &offer, Step &step) const {
  if (Runs.find(offer.Id))
    return {ErrorKind::KeyReused, "the request is known under another ticket"};
  bool isServiceCall = !offer.Call.Method.empty();
  if (isServiceCall != Settings.IsService ||
      (!isServiceCall && offer.Model != Settings.Serves))
    return {isServiceCall ? ErrorKind::UnknownService : ErrorKind::UnknownModel,
            "this agent serves " + Settings.Serves};
  if (isLeaving())
    return {ErrorKind::Draining, "the server is leaving"};
  if (!isStatusFresh(step.Now))
    return {ErrorKind::NotReady, "the engine does not answer",
            NotReadyRetryAfter};
  if (Swap.refusesNewRequests())
    return {ErrorKind::NotReady, "the server changes its version",
            NotReadyRetryAfter};
  if (isClosed(offer, step.Now))
    return {ErrorKind::Cancelled, "the attempt is over"};
  if (offer.RemainingMicros <= offer.ReserveMicros)
    return {ErrorKind::DeadlineTooShort, "no time is left"};
  if (Queue.waiting() >= Settings.MaxWaiting)
    return {ErrorKind::Overloaded, "the queue is full", NotReadyRetryAfter};
  return {};
}

AcceptanceDecision AgentCore::Impl::decideByLoad(const RunRequest &request,
                                                 Step &step) {
  AcceptanceDecision out = decideAcceptance(
      Queue, Settings.Queue, Settings.Acceptance, request, step.Now);
  // Don't preempt while the entry may still place the request elsewhere.
  if (out.Reason.Kind != ErrorKind::Overloaded ||
      request.WaitLimit > Duration{0})
    return out;
  auto victim = Queue.preemptionVictim(request, step.Now);
  if (!victim)
    return out;
  RunQueue queueWithoutVictim = Queue;
  queueWithoutVictim.suspend(victim->Id, victim->AttemptNumber, step.Now);
  AcceptanceDecision decisionWithoutVictim =
      decideAcceptance(queueWithoutVictim, Settings.Queue, Settings.Acceptance,
                       request, step.Now);
  if (!decisionWithoutVictim.accepted())
    return out;
  suspend(*Runs.find(victim->Id), step);
  return decisionWithoutVictim;
}

void AgentCore::Impl::accept(LinkHandle link, std::unique_ptr<Run> newRun,
                             const RunRequest &request,
                             const AcceptanceDecision &decision, Step &step) {
  Run &run = Runs.insert(std::move(newRun));
  run.PredictedFirstToken = decision.FirstToken;
  run.PredictedCompletion = decision.Completion;
  Reader reader{link, run.Token.AttemptNumber};
  Runs.addReader(run, reader);
  Runs.schedule(run);
  Queue.push(request, step.Now);
  Dirty = true;
  record(step, EventKind::OfferAccepted, run, ErrorKind::None,
         decision.scores());
  sendAccepted(run, reader, step);
  fetchContext(run, decision, step);
  startWaiting(step);
}

void AgentCore::Impl::refuse(LinkHandle link, const wire::Offer &offer,
                             const Error &why, Outcome ran, Step &step,
                             std::array<int64_t, Event::MaxScores> scores) {
  wire::Refused out;
  out.Id = offer.Id;
  out.AttemptNumber = offer.AttemptNumber;
  out.Kind = why.Kind;
  out.RunOutcome = ran;
  out.RetryAfterMicros = static_cast<uint64_t>(why.RetryAfter.count());
  out.Detail = why.Detail;
  out.Load = loadReport(step.Now);
  send(step, link, std::move(out));
  // A delayed duplicate of this offer must not run after the refusal.
  if (ran == Outcome::NotRun && !Runs.find(offer.Id))
    rememberClosed(offer.Id, offer.AttemptNumber, step.Now);
  Refusals.push_back({offer.Id, offer.AttemptNumber, offer.Organisation,
                      offer.Class, why.Kind, ran, step.Now});
  if (Refusals.size() > MaxRefusalsShown)
    Refusals.pop_front();
  Dirty = true;
  Event event;
  event.Kind = EventKind::OfferRefused;
  event.Request = offer.Id;
  event.AttemptNumber = offer.AttemptNumber;
  event.Reason = why.Kind;
  event.Scores = scores;
  event.Subject = offer.Organisation;
  step.Out.push_back(RecordEvent{std::move(event)});
}

} // namespace daisytack::serve
