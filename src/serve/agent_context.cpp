/// AgentCore: engine status, view of the engine's cache, and kept context.
#include "serve/agent_impl.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

void AgentCore::Impl::on(const EngineStatus &input, Step &step) {
  Dirty = Dirty || !EngineSeenAt || input != Engine;
  if (Engine.Started != 0 && input.Started != Engine.Started)
    CacheView.reset(FirstCacheEvent, true);
  Engine = input;
  EngineSeenAt = step.Now;
  startWaiting(step);
}

void AgentCore::Impl::on(const EngineUnresponsive &input, Step &step) {
  if (!EngineSeenAt || step.Now - *EngineSeenAt < Settings.EngineTimeout)
    return;
  EngineSeenAt.reset();
  Dirty = true;
  failWaiting({ErrorKind::ServerLost, input.Why.Detail}, step);
}

void AgentCore::Impl::on(const CacheEvents &input, Step &step) {
  if (input.From != CacheView.nextSequence() ||
      CacheView.apply(input.Events, input.Next))
    return;
  Event event;
  event.Kind = EventKind::CacheGap;
  event.Scores = {static_cast<int64_t>(CacheView.gaps())};
  event.Subject = Settings.Instance;
  step.Out.push_back(RecordEvent{std::move(event)});
}

void AgentCore::Impl::on(StoreAnswer &input, Step &step) {
  if (input.Store.Index >= Stores.size())
    return;
  if (!Fetch.onAnswer(input, step))
    Exports.onAnswer(input, step);
}

void AgentCore::Impl::on(const PieceExport &input, Step &step) {
  Exports.onExport(input, step);
}

void AgentCore::Impl::on(const PieceImport &input, Step &step) {
  Fetch.onImport(input, step);
}

void AgentCore::Impl::fetchContext(Run &run, const AcceptanceDecision &decision,
                                   Step &step) {
  const wire::Offer &offer = *run.Request;
  if (Settings.IsService || offer.Pieces.empty() || Stores.size() == 0)
    return;
  FetchParams params;
  params.Id = offer.Id;
  params.AttemptNumber = offer.AttemptNumber;
  params.Organisation = offer.Organisation;
  params.Pieces = offer.Pieces;
  params.Version = run.Version;
  params.PromptTokens = offer.PromptTokens;
  params.KeepFor = Duration(offer.KeepMicros);
  params.ExpectedStart = step.Now + decision.Wait;
  params.FirstTokenLimit =
      run.Deadline - Duration(offer.ReserveMicros) - decision.Decode;
  Fetch.begin(std::move(params), step);
  // Until the stores have answered, requests whose context is ready go first.
  if (Fetch.isPending(offer.Id))
    Queue.setContextReady(offer.Id, offer.AttemptNumber,
                          step.Now + Stores.settings().LookupTimeout);
}

void AgentCore::Impl::keepContext(const Run &run, const RunDone &done,
                                  Step &step) {
  const wire::Offer &offer = *run.Request;
  if (Settings.IsService || offer.Pieces.empty())
    return;
  size_t n =
      std::min<size_t>(done.CachedTokens / PieceTokens, offer.Pieces.size());
  CacheView.markPresent(std::span(offer.Pieces).first(n));
  if (n > 0)
    Hits[offer.Organisation] += n;
  if (n < offer.Pieces.size() && done.CachedTokens < done.PromptTokens &&
      Fetch.presentPieces(offer.Pieces) > n)
    CacheView.markAbsent(offer.Pieces[n]);
  ExportParams params;
  params.Id = offer.Id;
  params.Organisation = offer.Organisation;
  params.Pieces = offer.Pieces;
  params.Rule = static_cast<KeepRule>(offer.Keep);
  params.KeepFor = Duration(offer.KeepMicros);
  params.Quota = offer.KeptQuota;
  params.Version = run.Version;
  Exports.begin(std::move(params), step);
}

void AgentCore::Impl::processFetches(Step &step) {
  for (;;) {
    std::vector<FetchUpdate> updates = Fetch.takeUpdates();
    for (const FetchUpdate &it : updates)
      onFetchUpdate(it, step);
    startTransfers(step);
    if (updates.empty())
      return;
  }
}

void AgentCore::Impl::onFetchUpdate(const FetchUpdate &update, Step &step) {
  Run *run = Runs.find(update.Id);
  if (!run || run->State != RunState::Waiting)
    return;
  uint32_t tokens = run->Request->PromptTokens;
  run->ExpectedPrefill = tokens - std::min(tokens, update.ReusedTokens);
  Queue.setContextReady(update.Id, run->Token.AttemptNumber, update.Ready);
  Queue.setPrefill(update.Id, run->Token.AttemptNumber,
                   Predictor.prefill(run->ExpectedPrefill));
  if (!update.IsFinal)
    return;
  if (run->HasSlot)
    onSlotAcquired(*run, step);
  else
    startWaiting(step);
}

void AgentCore::Impl::startTransfers(Step &step) {
  for (uint32_t i = 0; i < Stores.size(); ++i)
    while (auto transfer = Stores.link({i}).next(step.Now)) {
      if (transfer->Kind == TransferKind::Fetch)
        Fetch.startTransfer({i}, transfer->Id, step);
      else
        Exports.startTransfer({i}, transfer->Id, step);
    }
}

} // namespace daisytack::serve
