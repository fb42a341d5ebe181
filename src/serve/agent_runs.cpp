/// AgentCore: output of the backend server and the end of runs.
#include "serve/agent_impl.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

namespace {

uint64_t micros(Duration d) { return static_cast<uint64_t>(d.count()); }

} // namespace

// A weight swap during the wait makes the run's pieces useless, as they are
// keyed by version.
bool AgentCore::Impl::hasOutdatedVersion(const Run &run) const {
  return !Settings.IsService && run.Version != version();
}

void AgentCore::Impl::start(Run &run, Step &step) {
  run.State = RunState::Running;
  run.Token.Start = ++StartCount;
  run.Started = step.Now;
  run.MayHaveRunBefore = run.MayHaveRun;
  run.MayHaveRun = true;
  run.NextSequence = 0;
  Dirty = true;
  StartRun out;
  out.Run = run.Token;
  out.Offer = run.Request;
  out.ResumeText = run.Request->Generated + run.Answer.text();
  out.Timeout = run.Deadline - step.Now;
  step.Out.push_back(std::move(out));
  record(step, EventKind::RunStarted, run, ErrorKind::None,
         {(step.Now - run.Arrived).count()});
}

Run *AgentCore::Impl::findActive(const RunToken &token) {
  Run *run = Runs.find(token.Id);
  if (!run || run->isFinished() || run->Token != token)
    return nullptr;
  return run;
}

bool AgentCore::Impl::checkAnswerToken(Run &run, const RunToken &answer,
                                       Step &step) {
  if (answer == run.Token)
    return true;
  loseAttempt(run,
              {ErrorKind::ServerFailed, "the server answered another request"},
              step);
  return false;
}

void AgentCore::Impl::loseAttempt(Run &run, const Error &why, Step &step) {
  record(step, EventKind::AttemptLost, run, why.Kind);
  stopAtServer(run, step);
  fail(run, why, step);
}

void AgentCore::Impl::on(const RunText &input, Step &step) {
  Run *run = findActive(input.Run);
  if (!run || !checkAnswerToken(*run, input.Answer, step))
    return;
  if (input.Sequence) {
    if (*input.Sequence < run->NextSequence)
      return;
    if (*input.Sequence > run->NextSequence)
      return loseAttempt(*run,
                         {ErrorKind::ServerFailed, "a part of the answer is "
                                                   "missing"},
                         step);
  }
  ++run->NextSequence;
  if (!run->FirstToken) {
    run->FirstToken = step.Now;
    record(step, EventKind::FirstToken, *run, ErrorKind::None,
           {(step.Now - run->Arrived).count()});
    Queue.markPrefilled(run->Token.Id, run->Token.AttemptNumber);
    startWaiting(step);
  }
  size_t before = run->Answer.bytes();
  uint32_t index = run->Answer.append(input.Text, input.Tokens);
  HeldBytes += run->Answer.bytes() - before;
  for (const Reader &reader : run->Readers)
    send(step, reader.Link,
         wire::Chunk{run->Token.Id, reader.AttemptNumber, index, input.Tokens,
                     input.Text});
  evictFinishedAnswers();
}

void AgentCore::Impl::on(const RunDone &input, Step &step) {
  Run *run = findActive(input.Run);
  if (!run || !checkAnswerToken(*run, input.Answer, step))
    return;
  wire::Finished out;
  out.RunOutcome = Outcome::Completed;
  out.FinishReason = input.FinishReason;
  out.PromptTokens = input.PromptTokens;
  out.RecomputedTokens =
      input.PromptTokens - std::min(input.PromptTokens, input.CachedTokens);
  out.GeneratedTokens = input.CompletionTokens;
  observeFinished(*run, input, step.Now);
  keepContext(*run, input, step);
  out.ServiceStatus = input.ServiceStatus;
  out.ServiceHeaders = input.ServiceHeaders;
  finish(*run, std::move(out), step);
}

void AgentCore::Impl::on(const RunFailed &input, Step &step) {
  Run *run = findActive(input.Run);
  if (!run)
    return;
  if (input.RunOutcome == Outcome::NotRun && run->NextSequence == 0)
    run->MayHaveRun = run->MayHaveRunBefore;
  record(step, EventKind::AttemptLost, *run, input.Why.Kind);
  fail(*run, input.Why, step);
}

void AgentCore::Impl::fail(Run &run, const Error &why, Step &step) {
  if (!run.MayHaveRun)
    return refuseAccepted(run, why, step);
  wire::Finished out;
  out.RunOutcome = Outcome::MayHaveRun;
  out.Kind = why.Kind;
  out.Detail = why.Detail;
  out.GeneratedTokens = run.Answer.tokens();
  finish(run, std::move(out), step);
}

void AgentCore::Impl::finish(Run &run, wire::Finished final, Step &step) {
  releaseQueueEntry(run, step);
  final.Id = run.Token.Id;
  final.Chunks = run.Answer.nextIndex();
  if (run.FirstToken)
    final.FirstTokenMicros = micros(*run.FirstToken - run.Arrived);
  record(step, EventKind::RunFinished, run, final.Kind,
         {(step.Now - run.Arrived).count(), final.PromptTokens,
          final.RecomputedTokens, final.GeneratedTokens});
  run.State = RunState::Finished;
  finishTicket(run, final, step);
  run.Final = std::move(final);
  run.Request.reset();
  for (const Reader &reader : run.Readers)
    sendFinal(run, reader, step);
  Runs.clearReaders(run);
  FinishedOrder.push_back(run.Token.Id);
  run.RetainUntil = step.Now + Settings.ResumeWindow;
  Runs.schedule(run);
  Dirty = true;
  startWaiting(step);
}

void AgentCore::Impl::refuseAccepted(Run &run, const Error &why, Step &step) {
  releaseQueueEntry(run, step);
  if (run.Ticket)
    Tickets.withdraw(*run.Ticket, step.Now);
  for (const Reader &reader : run.Readers) {
    wire::Refused out;
    out.Id = run.Token.Id;
    out.AttemptNumber = reader.AttemptNumber;
    out.Kind = why.Kind;
    out.RunOutcome = Outcome::NotRun;
    out.RetryAfterMicros = micros(why.RetryAfter);
    out.Detail = why.Detail;
    out.Load = loadReport(step.Now);
    send(step, reader.Link, std::move(out));
  }
  record(step, EventKind::OfferRefused, run, why.Kind);
  rememberClosed(run.Token.Id, run.Token.AttemptNumber, step.Now);
  HeldBytes -= run.Answer.bytes();
  Runs.erase(RequestId(run.Token.Id));
  Dirty = true;
  startWaiting(step);
}

void AgentCore::Impl::finishTicket(const Run &run, const wire::Finished &final,
                                   Step &step) {
  if (!run.Ticket)
    return;
  wire::Finished outcome = final;
  outcome.AttemptNumber = run.Token.AttemptNumber;
  Tickets.finish(*run.Ticket, {std::move(outcome), run.Answer.text()},
                 step.Now);
}

void AgentCore::Impl::releaseQueueEntry(Run &run, Step &step) {
  Fetch.abandon(run.Token.Id, step);
  if (run.HasSlot)
    Queue.finish(run.Token.Id, run.Token.AttemptNumber);
  else if (!run.isFinished())
    Queue.cancel(run.Token.Id, run.Token.AttemptNumber);
  run.HasSlot = false;
}

void AgentCore::Impl::stopAtServer(Run &run, Step &step) {
  if (run.State == RunState::Running || run.State == RunState::Suspended)
    step.Out.push_back(CancelRun{run.Token});
}

void AgentCore::Impl::sendFinal(Run &run, const Reader &reader, Step &step) {
  wire::Finished out = *run.Final;
  out.AttemptNumber = reader.AttemptNumber;
  out.Load = loadReport(step.Now);
  send(step, reader.Link, std::move(out));
  run.NotifiedReaders.push_back(reader);
}

void AgentCore::Impl::updateRetention(Run &run, TimePoint now) {
  if (!run.Readers.empty())
    run.RetainUntil.reset();
  else if (!run.RetainUntil || run.isFinished())
    run.RetainUntil = now + Settings.ResumeWindow;
  Runs.schedule(run);
}

void AgentCore::Impl::failWaiting(const Error &why, Step &step) {
  std::vector<RequestId> waiting;
  for (const auto &[id, run] : Runs.all())
    if (run->State == RunState::Waiting)
      waiting.push_back(id);
  for (const RequestId &id : waiting)
    if (Run *run = Runs.find(id))
      fail(*run, why, step);
}

void AgentCore::Impl::pruneFinishedOrder() {
  while (!FinishedOrder.empty() && !Runs.find(FinishedOrder.front()))
    FinishedOrder.pop_front();
}

// An unfinished answer is never removed, since its readers still need it.
void AgentCore::Impl::evictFinishedAnswers() {
  while (HeldBytes > Settings.MaxTotalAnswerBytes && !FinishedOrder.empty()) {
    RequestId id = FinishedOrder.front();
    FinishedOrder.pop_front();
    Run *run = Runs.find(id);
    if (!run || !run->isFinished())
      continue;
    HeldBytes -= run->Answer.bytes();
    Runs.erase(id);
  }
}

} // namespace daisytack::serve
