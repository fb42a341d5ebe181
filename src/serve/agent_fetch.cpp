#include "serve/agent_fetch.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

namespace {

constexpr double MicrosPerSecond = 1e6;

} // namespace

FetchFlow::FetchFlow(FetchSettings settings, StoreTable &stores,
                     const EngineView &view, CallIdSource &numbers,
                     FetchHooks hooks)
    : Settings(settings), Stores(stores), View(view), Numbers(numbers),
      Hooks(std::move(hooks)) {}

bool FetchFlow::isInEngine(const PieceKey &piece) const {
  return View.presenceProbability(piece) >= Settings.MinPresence;
}

uint32_t FetchFlow::presentPieces(std::span<const PieceKey> pieces) const {
  uint32_t n = 0;
  while (n < pieces.size() && isInEngine(pieces[n]))
    ++n;
  return n;
}

void FetchFlow::begin(FetchParams params, Step &step) {
  RequestId id = params.Id;
  Job &job = Jobs[id];
  job.Params = std::move(params);
  job.PresentPieces = presentPieces(job.Params.Pieces);
  job.ReusablePieces = job.PresentPieces;
  job.Hits.resize(job.Params.Pieces.size());
  if (job.PresentPieces < job.Params.Pieces.size())
    lookUp(job, step);
  if (job.PendingLookups == 0)
    finishJob(id, step);
}

void FetchFlow::lookUp(Job &job, Step &step) {
  std::map<StoreHandle, std::vector<PieceKey>> keys;
  const auto &pieces = job.Params.Pieces;
  for (size_t i = job.PresentPieces; i < pieces.size(); ++i)
    for (StoreHandle store :
         Stores.storesOf(pieces, i, MaxStoreCopies, step.Now))
      keys[store].push_back(pieces[i]);
  for (auto &[store, storeKeys] : keys) {
    CallId call = Numbers.next();
    LookupCalls[call] = job.Params.Id;
    ++job.PendingLookups;
    step.Out.push_back(CallStore{call, store,
                                 LookupPieces{std::move(storeKeys)},
                                 Stores.settings().LookupTimeout});
  }
}

bool FetchFlow::onAnswer(StoreAnswer &answer, Step &step) {
  if (auto it = LookupCalls.find(answer.Call); it != LookupCalls.end()) {
    RequestId id = it->second;
    LookupCalls.erase(it);
    onLookup(id, answer, step);
    return true;
  }
  auto it = ReadCalls.find(answer.Call);
  if (it == ReadCalls.end())
    return false;
  PieceKey key = it->second;
  ReadCalls.erase(it);
  if (auto fetch = ActiveFetches.find(key); fetch != ActiveFetches.end())
    onRead(fetch->second, answer, step);
  return true;
}

void FetchFlow::onLookup(const RequestId &id, const StoreAnswer &answer,
                         Step &step) {
  const auto *error = std::get_if<Error>(&answer.Result);
  if (error && isStoreFailure(*error))
    Stores.onFailed(answer.Store, step.Now);
  auto it = Jobs.find(id);
  if (it == Jobs.end())
    return;
  Job &job = it->second;
  if (const auto *found = std::get_if<StoreFound>(&answer.Result))
    for (const FoundPiece &piece : found->Pieces)
      recordHit(job, answer.Store, piece);
  if (--job.PendingLookups == 0)
    planFetches(job, step);
}

void FetchFlow::recordHit(Job &job, StoreHandle store,
                          const FoundPiece &found) {
  const auto &pieces = job.Params.Pieces;
  auto at = std::find(pieces.begin(), pieces.end(), found.Key);
  if (at == pieces.end())
    return;
  auto &hit = job.Hits[static_cast<size_t>(at - pieces.begin())];
  if (!hit || (hit->OnDisk && !found.OnDisk))
    hit = Hit{store, {found.Key, found.Generation, found.Length}, found.OnDisk};
}

void FetchFlow::planFetches(Job &job, Step &step) {
  const FetchParams &params = job.Params;
  std::vector<PieceState> states(params.Pieces.size());
  for (size_t i = 0; i < states.size(); ++i) {
    states[i].InEngine = isInEngine(params.Pieces[i]);
    if (const auto &hit = job.Hits[i])
      states[i].Stored = StoredPiece{
          hit->Found.Generation, hit->Found.Length,
          hit->OnDisk ? StoreTier::Disk : StoreTier::Memory, hit->Store.Index};
  }
  std::vector<LinkState> links =
      Stores.linkStates(params.ExpectedStart, step.Now);
  PlanInput input;
  input.Pieces = states;
  input.Links = links;
  input.PromptTokens = params.PromptTokens;
  input.QueueWait = std::max(Duration(0), params.ExpectedStart - step.Now);
  input.PrefillTokensPerSecond = Hooks.PrefillRate();
  input.FirstTokenLimit = params.FirstTokenLimit - step.Now;
  FetchPlan plan = planFetch(input, Settings.Weights);
  record(step, EventKind::ContextPlanned, params,
         {static_cast<int64_t>(plan.RecomputeCost * MicrosPerSecond),
          static_cast<int64_t>(plan.Cost * MicrosPerSecond),
          static_cast<int64_t>(plan.Fetch.size()),
          static_cast<int64_t>(params.Pieces.size())});
  startFetches(job, plan, step);
}

void FetchFlow::startFetches(Job &job, const FetchPlan &plan, Step &step) {
  RequestId id = job.Params.Id;
  job.ReusablePieces = plan.ReusedPieces;
  job.Missing.insert(plan.Fetch.begin(), plan.Fetch.end());
  job.RecheckAt = step.Now + std::max(plan.FetchTime, Settings.MinRecheckDelay);
  job.IsFetching = !plan.Fetch.empty();
  if (job.IsFetching) {
    record(step, EventKind::FetchStarted, job.Params,
           {static_cast<int64_t>(plan.Fetch.size()),
            static_cast<int64_t>(plan.Bytes), plan.FetchTime.count()});
    Updates.push_back({id, false, step.Now + plan.FetchTime,
                       plan.ReusedPieces * PieceTokens});
  }
  for (uint32_t index : plan.Fetch)
    if (job.Missing.contains(index))
      startOrJoinFetch(job, index, step);
  finishJobIfDone(id, step);
}

void FetchFlow::startOrJoinFetch(Job &job, uint32_t index, Step &step) {
  const PieceKey &key = job.Params.Pieces[index];
  if (auto it = ActiveFetches.find(key); it != ActiveFetches.end()) {
    it->second.Waiters.push_back(job.Params.Id);
    return;
  }
  const Hit &hit = *job.Hits[index];
  PieceFetch fetch(VerifiedRead(key, job.Params.Version), hit.Store);
  fetch.Index = index;
  fetch.KeepFor = job.Params.KeepFor;
  fetch.Organisation = job.Params.Organisation;
  fetch.Waiters.push_back(job.Params.Id);
  fetch.Transfer = Numbers.next();
  Error reason;
  if (fetch.Read.onLookup(hit.Found) != ReadStep::FetchBytes ||
      !Stores.link(hit.Store).add({fetch.Transfer, TransferKind::Fetch,
                                   hit.Found.Length, job.Params.ExpectedStart},
                                  step.Now, reason))
    return dropFromIndex(job, index, step);
  Transfers[fetch.Transfer] = key;
  ActiveFetches.emplace(key, std::move(fetch));
}

void FetchFlow::startTransfer(StoreHandle store, uint64_t transfer,
                              Step &step) {
  auto it = Transfers.find(transfer);
  if (it == Transfers.end())
    return Stores.link(store).cancel(transfer);
  PieceFetch &fetch = ActiveFetches.at(it->second);
  fetch.InFlight = true;
  callStore(fetch, ReadPiece{fetch.Read.key()}, step);
}

void FetchFlow::callStore(PieceFetch &fetch, StoreRequest request, Step &step) {
  fetch.Call = Numbers.next();
  ReadCalls[fetch.Call] = fetch.Read.key();
  step.Out.push_back(CallStore{fetch.Call, fetch.Store, std::move(request),
                               Stores.settings().ReadTimeout});
}

void FetchFlow::onRead(PieceFetch &fetch, StoreAnswer &answer, Step &step) {
  if (const auto *error = std::get_if<Error>(&answer.Result)) {
    if (isStoreFailure(*error))
      Stores.onFailed(fetch.Store, step.Now);
    return handleReadStep(fetch, fetch.Read.onFailure(), step);
  }
  if (auto *bytes = std::get_if<StoreBytes>(&answer.Result)) {
    releaseLink(fetch, bytes->Bytes.size(), step.Now);
    if (!mayUse(fetch, *bytes, step))
      return handleReadStep(fetch, fetch.Read.onFailure(), step);
    ReadStep read = fetch.Read.onHeader(
        {bytes->Generation, bytes->Length, bytes->Checksum});
    if (read == ReadStep::FetchBytes)
      read = fetch.Read.onBytes(std::move(bytes->Bytes));
    return handleReadStep(fetch, read, step);
  }
  if (const auto *now = std::get_if<StoreGeneration>(&answer.Result))
    return handleReadStep(
        fetch, fetch.Read.onGeneration(now->Generation, Hooks.EngineVersion()),
        step);
  handleReadStep(fetch, fetch.Read.onFailure(), step);
}

void FetchFlow::handleReadStep(PieceFetch &fetch, ReadStep read, Step &step) {
  if (read == ReadStep::CheckGeneration)
    return callStore(fetch, ReadGeneration{fetch.Read.key()}, step);
  if (read == ReadStep::Import) {
    CallId call = Numbers.next();
    ImportCalls[call] = fetch.Read.key();
    step.Out.push_back(
        ImportPiece{call, fetch.Read.key(),
                    std::make_shared<const std::string>(fetch.Read.payload())});
    return;
  }
  Event event;
  event.Kind = EventKind::PieceRejected;
  event.Request = fetch.Waiters.empty() ? RequestId() : fetch.Waiters.front();
  event.Scores = {fetch.Index, static_cast<int64_t>(fetch.Read.generation())};
  event.Subject = pieceFaultName(fetch.Read.fault());
  step.Out.push_back(RecordEvent{std::move(event)});
  finishFetch(fetch.Read.key(), false, step);
}

bool FetchFlow::onImport(const PieceImport &answer, Step &step) {
  auto it = ImportCalls.find(answer.Call);
  if (it == ImportCalls.end())
    return false;
  PieceKey key = it->second;
  ImportCalls.erase(it);
  finishFetch(key, !answer.Why, step);
  return true;
}

void FetchFlow::finishFetch(PieceKey key, bool imported, Step &step) {
  auto it = ActiveFetches.find(key);
  if (it == ActiveFetches.end())
    return;
  releaseLink(it->second, 0, step.Now);
  std::vector<RequestId> waiters = std::move(it->second.Waiters);
  uint32_t index = it->second.Index;
  ReadCalls.erase(it->second.Call);
  ActiveFetches.erase(it);
  for (const RequestId &id : waiters) {
    auto job = Jobs.find(id);
    if (job == Jobs.end())
      continue;
    if (imported)
      job->second.Missing.erase(index);
    else
      dropFromIndex(job->second, index, step);
    finishJobIfDone(id, step);
  }
}

} // namespace daisytack::serve
