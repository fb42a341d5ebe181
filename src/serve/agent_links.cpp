/// AgentCore: links to entries, and all messages from entries except offers.
#include "base/digest.h"
#include "serve/agent_impl.h"

#include <utility>

namespace daisytack::serve {

namespace {

/// Limits the memory for closed attempts; the oldest are removed first.
constexpr size_t MaxClosedAttempts = 4096;

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
  else if (const auto *ticketRequest =
               std::get_if<wire::TicketRequest>(&input.Body))
    onTicketRequest(input.Link, *ticketRequest, step);
}

void AgentCore::Impl::on(const LinkClosed &input, Step &step) {
  for (const RequestId &id : Runs.requestsReadBy(input.Link)) {
    Run &run = *Runs.find(id);
    std::vector<Reader> readers = run.Readers;
    for (const Reader &reader : readers)
      if (reader.Link == input.Link)
        Runs.removeReader(run, reader);
    updateRetention(run, step.Now);
  }
  Dirty = true;
}

void AgentCore::Impl::join(Run &run, LinkHandle link, const wire::Offer &offer,
                           Step &step) {
  Reader reader{link, offer.AttemptNumber};
  if (run.wasNotified(reader) || !Runs.addReader(run, reader))
    return;
  sendAccepted(run, reader, step);
  replay(run, reader, offer.GeneratedChunks, step);
}

void AgentCore::Impl::sendAccepted(const Run &run, const Reader &reader,
                                   Step &step) {
  wire::Accepted out;
  out.Id = run.Token.Id;
  out.AttemptNumber = reader.AttemptNumber;
  out.FirstTokenMicros = static_cast<uint64_t>(run.PredictedFirstToken.count());
  out.CompletionMicros = static_cast<uint64_t>(run.PredictedCompletion.count());
  out.Load = loadReport(step.Now);
  send(step, reader.Link, std::move(out));
}

void AgentCore::Impl::replay(Run &run, const Reader &reader, uint32_t from,
                             Step &step) {
  uint32_t end = run.Answer.nextIndex();
  if (from < run.Answer.firstIndex() || from > end) {
    wire::Refused out;
    out.Id = run.Token.Id;
    out.AttemptNumber = reader.AttemptNumber;
    out.Kind = ErrorKind::AnswerLost;
    out.RunOutcome = Outcome::MayHaveRun;
    out.Detail = "that part of the answer is no longer held";
    out.Load = loadReport(step.Now);
    send(step, reader.Link, std::move(out));
    Runs.removeReader(run, reader);
    return updateRetention(run, step.Now);
  }
  for (uint32_t i = from; i < end; ++i) {
    AnswerBuffer::View view = run.Answer.at(i);
    send(step, reader.Link,
         wire::Chunk{run.Token.Id, reader.AttemptNumber, i, view.Tokens,
                     std::string(view.Text)});
  }
  if (run.Final) {
    sendFinal(run, Reader(reader), step);
    Runs.removeReader(run, reader);
  }
  updateRetention(run, step.Now);
}

void AgentCore::Impl::onCancel(LinkHandle link, const wire::Cancel &cancel,
                               Step &step) {
  Run *run = Runs.find(cancel.Id);
  if (!run)
    return rememberClosed(cancel.Id, cancel.AttemptNumber, step.Now);
  Reader reader{link, cancel.AttemptNumber};
  if (!Runs.removeReader(*run, reader) || run->isFinished())
    return;
  if (!run->Readers.empty())
    return confirmCancel(*run, reader, step);
  stopAtServer(*run, step);
  record(step, EventKind::RunCancelled, *run, ErrorKind::Cancelled);
  Runs.addReader(*run, reader);
  fail(*run, {ErrorKind::Cancelled, "cancelled by the entry"}, step);
}

void AgentCore::Impl::confirmCancel(const Run &run, const Reader &reader,
                                    Step &step) {
  wire::Finished out;
  out.Id = run.Token.Id;
  out.AttemptNumber = reader.AttemptNumber;
  out.RunOutcome = Outcome::MayHaveRun;
  out.Kind = ErrorKind::Cancelled;
  out.Detail = "cancelled by the entry; it goes on for another";
  out.Chunks = run.Answer.nextIndex();
  out.Load = loadReport(step.Now);
  send(step, reader.Link, std::move(out));
}

void AgentCore::Impl::onResume(LinkHandle link, const wire::Resume &resume,
                               Step &step) {
  Run *run = Runs.find(resume.Id);
  if (!run || run->Organisation != resume.Organisation) {
    wire::Refused out;
    out.Id = resume.Id;
    out.AttemptNumber = resume.AttemptNumber;
    out.Kind = ErrorKind::AnswerLost;
    out.RunOutcome = Outcome::MayHaveRun;
    out.Detail = "this agent holds no such answer";
    out.Load = loadReport(step.Now);
    return send(step, link, std::move(out));
  }
  Reader reader{link, resume.AttemptNumber};
  if (!Runs.addReader(*run, reader))
    return;
  record(step, EventKind::StreamResumed, *run);
  replay(*run, reader, resume.FromIndex, step);
}

void AgentCore::Impl::onTicketRequest(LinkHandle link,
                                      const wire::TicketRequest &request,
                                      Step &step) {
  wire::TicketReply out;
  out.Id = request.Id;
  Error reason;
  if (request.Service != Settings.Serves)
    reason.Kind = ErrorKind::UnknownService;
  else if (isLeaving())
    reason.Kind = ErrorKind::Draining;
  else if (auto ticket =
               Tickets.issue(request.Organisation, step.Now, reason)) {
    out.Ticket = *ticket;
    out.ValidMicros = static_cast<uint64_t>(Settings.TicketLife.count());
  }
  out.Kind = reason.Kind;
  send(step, link, std::move(out));
}

void AgentCore::Impl::rememberClosed(const RequestId &id, Attempt attempt,
                                     TimePoint now) {
  ClosedAttempts[id] = {attempt, now + Settings.ResumeWindow};
  ClosedOrder.push_back(id);
  if (ClosedOrder.size() > MaxClosedAttempts)
    removeOldestClosedAttempt();
}

bool AgentCore::Impl::isClosed(const wire::Offer &offer, TimePoint now) const {
  auto it = ClosedAttempts.find(offer.Id);
  return it != ClosedAttempts.end() &&
         it->second.AttemptNumber >= offer.AttemptNumber &&
         it->second.ExpiresAt > now;
}

void AgentCore::Impl::removeOldestClosedAttempt() {
  ClosedAttempts.erase(ClosedOrder.front());
  ClosedOrder.pop_front();
}

void AgentCore::Impl::expireClosedAttempts(TimePoint now) {
  while (!ClosedOrder.empty()) {
    auto it = ClosedAttempts.find(ClosedOrder.front());
    if (it != ClosedAttempts.end() && it->second.ExpiresAt > now)
      return;
    removeOldestClosedAttempt();
  }
}

} // namespace daisytack::serve
