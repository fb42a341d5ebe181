/// AgentCore: what entries say.
#include "base/digest.h"
#include "serve/agent_impl.h"

#include <utility>

namespace daisytack::serve {

namespace {

constexpr size_t MaxClosed = 4096;

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

void AgentCore::Impl::join(Run &run, LinkHandle link, const wire::Offer &offer,
                           Step &step) {
  Reader reader{link, offer.Try};
  if (run.wasAnswered(reader) || !Runs.addReader(run, reader))
    return;
  sendAccepted(run, reader, step);
  replay(run, reader, offer.GeneratedChunks, step);
}

void AgentCore::Impl::sendAccepted(const Run &run, const Reader &reader,
                                   Step &step) {
  wire::Accepted out;
  out.Id = run.Token.Id;
  out.Try = reader.Try;
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
  if (!run)
    return close(cancel.Id, cancel.Try, step.Now);
  Reader reader{link, cancel.Try};
  if (!Runs.removeReader(*run, reader) || run->isFinished())
    return;
  if (!run->Readers.empty())
    return sendLeft(*run, reader, step);
  stopAtServer(*run, step);
  record(step, EventKind::RunCancelled, *run, ErrorKind::Cancelled);
  Runs.addReader(*run, reader);
  fail(*run, {ErrorKind::Cancelled, "cancelled by the entry"}, step);
}

/// One of several readers left; the run goes on for the others.
void AgentCore::Impl::sendLeft(const Run &run, const Reader &reader,
                               Step &step) {
  wire::Finished out;
  out.Id = run.Token.Id;
  out.Try = reader.Try;
  out.Ran = Outcome::MayHaveRun;
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

void AgentCore::Impl::close(const RequestId &id, Attempt attempt,
                            TimePoint now) {
  Closed[id] = {attempt, now + Settings.ResumeWindow};
  ClosedOrder.push_back(id);
  if (ClosedOrder.size() > MaxClosed)
    forgetOldestClosed();
}

bool AgentCore::Impl::isClosed(const wire::Offer &offer, TimePoint now) const {
  auto it = Closed.find(offer.Id);
  return it != Closed.end() && it->second.Try >= offer.Try &&
         it->second.Until > now;
}

void AgentCore::Impl::forgetOldestClosed() {
  Closed.erase(ClosedOrder.front());
  ClosedOrder.pop_front();
}

void AgentCore::Impl::forgetClosed(TimePoint now) {
  while (!ClosedOrder.empty()) {
    auto it = Closed.find(ClosedOrder.front());
    if (it != Closed.end() && it->second.Until > now)
      return;
    forgetOldestClosed();
  }
}

} // namespace daisytack::serve
