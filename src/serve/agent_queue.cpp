/// AgentCore: queueing, preemption and updates of the server predictor.
#include "base/digest.h"
#include "serve/agent_impl.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

namespace {

/// Limits the runs that are preempted or failed per tick, so that one bad
/// prediction after a sudden slowdown does not move all of them.
constexpr int MaxMovesPerTick = 8;

} // namespace

RunRequest AgentCore::Impl::queueRequest(const Run &run, TimePoint now) const {
  const wire::Offer &offer = *run.Request;
  uint32_t tokens =
      offer.MaxTokens == 0 ? Settings.DefaultMaxTokens : offer.MaxTokens;
  RunRequest out;
  out.Id = offer.Id;
  out.AttemptNumber = offer.AttemptNumber;
  out.Organisation = hashName(offer.Organisation);
  out.Weight = std::max<uint32_t>(offer.Weight, 1);
  out.Priority = std::min<uint8_t>(offer.Priority, MaxPriority);
  out.Preemptible = offer.Idempotent && !Settings.IsService;
  out.Deadline = run.Deadline - Duration(offer.ReserveMicros);
  out.ContextReady = now;
  out.WaitLimit = Duration(static_cast<int64_t>(
      std::min<uint64_t>(offer.WaitLimitMicros, INT64_MAX)));
  out.Prefill = Predictor.prefill(run.ExpectedPrefill);
  out.Decode = Settings.IsService ? Duration(0) : Predictor.decode(tokens);
  return out;
}

uint32_t AgentCore::Impl::tokensToPrefill(const wire::Offer &offer) const {
  uint32_t present = Fetch.presentPieces(offer.Pieces) * PieceTokens;
  return offer.PromptTokens - std::min(offer.PromptTokens, present);
}

void AgentCore::Impl::startWaiting(Step &step) {
  while (auto next = Queue.start(step.Now)) {
    Run &run = *Runs.find(next->Id);
    run.HasSlot = true;
    if (run.State == RunState::Suspended)
      resume(run, step);
    else
      onSlotAcquired(run, step);
  }
}

void AgentCore::Impl::onSlotAcquired(Run &run, Step &step) {
  // After a pause of this process, the engine's last status may be outdated.
  if (!isStatusFresh(step.Now))
    refuseAccepted(
        run, {ErrorKind::NotReady, "the engine's state is not known"}, step);
  else if (hasOutdatedVersion(run))
    refuseAccepted(run, {ErrorKind::NotReady, "the server changed its version"},
                   step);
  else if (!Fetch.isPending(run.Token.Id))
    start(run, step);
}

void AgentCore::Impl::suspend(Run &run, Step &step) {
  Queue.suspend(run.Token.Id, run.Token.AttemptNumber, step.Now);
  run.HasSlot = false;
  if (run.State == RunState::Running) {
    run.State = RunState::Suspended;
    run.WasSuspended = true;
    step.Out.push_back(SuspendRun{run.Token});
  }
  Dirty = true;
  record(step, EventKind::RunPreempted, run);
}

void AgentCore::Impl::resume(Run &run, Step &step) {
  run.State = RunState::Running;
  if (run.FirstToken)
    Queue.markPrefilled(run.Token.Id, run.Token.AttemptNumber);
  step.Out.push_back(ResumeRun{run.Token});
  Dirty = true;
}

void AgentCore::Impl::handleRunsAtRisk(Step &step) {
  for (int i = 0; i < MaxMovesPerTick; ++i) {
    auto risk = Queue.firstAtRisk(step.Now);
    if (!risk || !handleRunAtRisk(*risk, step))
      return;
  }
}

bool AgentCore::Impl::handleRunAtRisk(const RunRequest &risk, Step &step) {
  if (auto victim = Queue.preemptionVictim(risk, step.Now)) {
    suspend(*Runs.find(victim->Id), step);
    startWaiting(step);
    return true;
  }
  Run &run = *Runs.find(risk.Id);
  if (step.Now + risk.service() > run.Deadline)
    return false;
  stopAtServer(run, step);
  fail(run,
       {ErrorKind::Overloaded, "the server has become too slow for it",
        Queue.backlog(step.Now)},
       step);
  return true;
}

void AgentCore::Impl::observeRunning(TimePoint now) {
  for (const auto &[id, run] : Runs.all()) {
    if (run->State != RunState::Running || run->WasSuspended)
      continue;
    if (run->FirstToken)
      Predictor.observeUnfinishedDecode(run->Answer.tokens(),
                                        now - *run->FirstToken);
    else
      Predictor.observeUnfinishedPrefill(run->ExpectedPrefill,
                                         now - run->Started);
  }
}

void AgentCore::Impl::observeFinished(const Run &run, const RunDone &done,
                                      TimePoint now) {
  if (run.WasSuspended)
    return;
  if (Settings.IsService) {
    Predictor.observePrefill(0, now - run.Started);
    return;
  }
  if (!run.FirstToken)
    return;
  uint32_t cached = std::min(done.CachedTokens, done.PromptTokens);
  Predictor.observePrefill(done.PromptTokens - cached,
                           *run.FirstToken - run.Started);
  if (done.CompletionTokens > 1)
    Predictor.observeDecode(done.CompletionTokens - 1, now - *run.FirstToken);
}

} // namespace daisytack::serve
