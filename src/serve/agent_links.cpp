/// AgentCore: what entries say.
#include "base/digest.h"
#include "serve/agent_impl.h"

#include <utility>

namespace daisytack::serve {

namespace {

constexpr size_t MaxRefusalsShown = 256;
constexpr size_t MaxCancelledEarly = 4096;
constexpr Duration NotReadyRetry{1'000'000};

/// Tells a repeat of a request from another one under the same id. Both come
/// from one organisation, so that a forged collision would harm its maker only.
uint64_t hashOfBody(const wire::Offer &offer) {
  return hashName(offer.Body) ^ mix64(hashName(offer.Call.Target)) ^
         mix64(hashName(offer.Call.Method) + 1);
}

Duration remaining(const wire::Offer &offer) {
  constexpr uint64_t Longest = 365ULL * 24 * 3600 * 1'000'000;
  return Duration(std::min(offer.RemainingMicros, Longest));
}

} // namespace

void AgentCore::Impl::on(const LinkOpened &input, Step &step) {
  send(step, input.Link, wire::Hello{Settings.Instance, Settings.Process});
}

void AgentCore::Impl::on(const LinkMessage &input, Step &step) {
  if (const auto *offer = std::get_if<wire::Offer>(&input.Body))
    onOffer(input.Link, *offer, step);
  else if (const auto *cancel = std::get_if<wire::Cancel>(&input.Body))
    onCancel(input.Link, *cancel, step);
  else if (const auto *resume = std::get_if<wire::Resume>(&input.Body))
    onResume(input.Link, *resume, step);
  else if (const auto *ask = std::get_if<wire::TicketRequest>(&input.Body))
    onTicketRequest(input.Link, *ask, step);
}

void AgentCore::Impl::on(const LinkClosed &input, Step &step) {
  for (const RequestId &id : Runs.readBy(input.Link)) {
    Run &run = *Runs.find(id);
    std::vector<Reader> readers = run.Readers;
    for (const Reader &reader : readers)
      if (reader.Link == input.Link)
        Runs.removeReader(run, reader);
    keepForReaders(run, step.Now);
  }
  Dirty = true;
}

void AgentCore::Impl::onOffer(LinkHandle link, const wire::Offer &offer,
                              Step &step) {
  Run *run = Runs.find(offer.Id);
  if (run) {
    Error why = judgeRepeat(*run, offer);
    if (why)
      return refuse(link, offer, why, Outcome::NotRun, step);
    bool failed = run->Final && run->Final->Kind != ErrorKind::None;
    if (!failed || !offer.Idempotent)
      return join(*run, link, offer, step);
    HeldBytes -= run->Answer.bytes();
    Runs.erase(offer.Id);
  }
  Error why = judgeOffer(offer, step);
  if (why)
    return refuse(link, offer, why, Outcome::NotRun, step);
  accept(link, offer, step);
}

Error AgentCore::Impl::judgeRepeat(const Run &run,
                                   const wire::Offer &offer) const {
  if (run.Organisation != offer.Organisation)
    return {ErrorKind::Forbidden, "request id of another organisation"};
  if (run.BodyHash != hashOfBody(offer))
    return {ErrorKind::KeyReused, "same request id with another body"};
  return {};
}

Error AgentCore::Impl::judgeOffer(const wire::Offer &offer, Step &step) const {
  bool isCall = !offer.Call.Method.empty();
  if (isCall != Settings.IsService ||
      (!isCall && offer.Model != Settings.Serves))
    return {isCall ? ErrorKind::UnknownService : ErrorKind::UnknownModel,
            "this agent serves " + Settings.Serves};
  if (isLeaving())
    return {ErrorKind::Draining, "the server is leaving"};
  if (!isReachable())
    return {ErrorKind::NotReady, "the engine does not answer", NotReadyRetry};
  if (!isCall && !offer.Version.empty() && offer.Version != version())
    return {ErrorKind::NotReady,
            "the server runs version " + version() + ", not " + offer.Version,
            NotReadyRetry};
  if (wasCancelled(offer, step.Now))
    return {ErrorKind::Cancelled, "cancelled before it was offered"};
  if (offer.RemainingMicros <= offer.ReserveMicros)
    return {ErrorKind::DeadlineTooShort, "no time is left"};
  if (Queue.size() >= Settings.MaxWaiting)
    return {ErrorKind::Overloaded, "the queue is full", NotReadyRetry};
  return {};
}

void AgentCore::Impl::accept(LinkHandle link, const wire::Offer &offer,
                             Step &step) {
  auto request = std::make_shared<const wire::Offer>(offer);
  Run &run = Runs.insert(
      std::make_unique<Run>(std::move(request), Settings.MaxAnswerBytes));
  run.BodyHash = hashOfBody(offer);
  run.Arrived = step.Now;
  run.Deadline = step.Now + remaining(offer);
  run.Version = version();
  Reader reader{link, offer.Try};
  Runs.addReader(run, reader);
  Runs.schedule(run);
  Queue.push_back(offer.Id);
  Dirty = true;
  record(step, EventKind::OfferAccepted, run);
  sendAccepted(run, reader, step);
  startWaiting(step);
}

void AgentCore::Impl::refuse(LinkHandle link, const wire::Offer &offer,
                             const Error &why, Outcome ran, Step &step) {
  wire::Refused out;
  out.Id = offer.Id;
  out.Try = offer.Try;
  out.Kind = why.Kind;
  out.Ran = ran;
  out.RetryAfterMicros = static_cast<uint64_t>(why.RetryAfter.count());
  out.Detail = why.Detail;
  out.Load = loadReport(step.Now);
  send(step, link, std::move(out));
  Refusals.push_back({offer.Id, offer.Try, offer.Organisation, offer.Class,
                      why.Kind, step.Now});
  if (Refusals.size() > MaxRefusalsShown)
    Refusals.pop_front();
  Dirty = true;
  Event event;
  event.Kind = EventKind::OfferRefused;
  event.Request = offer.Id;
  event.Try = offer.Try;
  event.Reason = why.Kind;
  event.Subject = offer.Organisation;
  step.Out.push_back(RecordEvent{std::move(event)});
}

void AgentCore::Impl::join(Run &run, LinkHandle link, const wire::Offer &offer,
                           Step &step) {
  Reader reader{link, offer.Try};
  if (!Runs.addReader(run, reader))
    return;
  sendAccepted(run, reader, step);
  replay(run, reader, offer.GeneratedChunks, step);
}

void AgentCore::Impl::sendAccepted(const Run &run, const Reader &reader,
                                   Step &step) {
  wire::Accepted out;
  out.Id = run.Token.Id;
  out.Try = reader.Try;
  out.Load = loadReport(step.Now);
  send(step, reader.Link, std::move(out));
}

void AgentCore::Impl::replay(Run &run, const Reader &reader, uint32_t from,
                             Step &step) {
  uint32_t end = run.Answer.nextIndex();
  if (from < run.Answer.firstIndex() || from > end) {
    wire::Refused out;
    out.Id = run.Token.Id;
    out.Try = reader.Try;
    out.Kind = ErrorKind::AnswerLost;
    out.Ran = Outcome::MayHaveRun;
    out.Detail = "that part of the answer is no longer held";
    out.Load = loadReport(step.Now);
    send(step, reader.Link, std::move(out));
    Runs.removeReader(run, reader);
    return keepForReaders(run, step.Now);
  }
  for (uint32_t i = from; i < end; ++i) {
    AnswerBuffer::View view = run.Answer.at(i);
    send(step, reader.Link,
         wire::Chunk{run.Token.Id, reader.Try, i, view.Tokens,
                     std::string(view.Text)});
  }
  if (run.Final) {
    sendFinal(run, Reader(reader), step);
    Runs.removeReader(run, reader);
  }
  keepForReaders(run, step.Now);
}

void AgentCore::Impl::onCancel(LinkHandle link, const wire::Cancel &cancel,
                               Step &step) {
  Run *run = Runs.find(cancel.Id);
  if (!run) {
    if (CancelledEarly.size() < MaxCancelledEarly)
      CancelledEarly[cancel.Id] = {cancel.Try,
                                   step.Now + Settings.ResumeWindow};
    return;
  }
  Reader reader{link, cancel.Try};
  if (!Runs.removeReader(*run, reader) || run->isFinished())
    return;
  if (!run->Readers.empty())
    return;
  stopAtServer(*run, step);
  record(step, EventKind::RunCancelled, *run, ErrorKind::Cancelled);
  Runs.addReader(*run, reader);
  fail(*run, {ErrorKind::Cancelled, "cancelled by the entry"}, step);
}

void AgentCore::Impl::onResume(LinkHandle link, const wire::Resume &resume,
                               Step &step) {
  Run *run = Runs.find(resume.Id);
  if (!run || run->Organisation != resume.Organisation) {
    wire::Refused out;
    out.Id = resume.Id;
    out.Try = resume.Try;
    out.Kind = ErrorKind::AnswerLost;
    out.Ran = Outcome::MayHaveRun;
    out.Detail = "this agent holds no such answer";
    out.Load = loadReport(step.Now);
    return send(step, link, std::move(out));
  }
  Reader reader{link, resume.Try};
  if (!Runs.addReader(*run, reader))
    return;
  record(step, EventKind::StreamResumed, *run);
  replay(*run, reader, resume.FromIndex, step);
}

void AgentCore::Impl::onTicketRequest(LinkHandle link,
                                      const wire::TicketRequest &request,
                                      Step &step) {
  send(step, link,
       wire::TicketReply{request.Id, ErrorKind::NotReady, std::string(), 0});
}

bool AgentCore::Impl::wasCancelled(const wire::Offer &offer,
                                   TimePoint now) const {
  auto it = CancelledEarly.find(offer.Id);
  return it != CancelledEarly.end() && it->second.Try >= offer.Try &&
         it->second.Until > now;
}

void AgentCore::Impl::forgetCancelled(TimePoint now) {
  std::erase_if(CancelledEarly,
                [&](const auto &it) { return it.second.Until <= now; });
}

} // namespace daisytack::serve
