#include "serve/agent_fetch.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

namespace {

constexpr double Micros = 1e6;

} // namespace

FetchFlow::FetchFlow(FetchSettings settings, StoreTable &stores,
                     const EngineView &view, CallIdSource &numbers,
                     FetchHooks hooks)
    : Settings(settings), Stores(stores), View(view), Numbers(numbers),
      Hooks(std::move(hooks)) {}

bool FetchFlow::isInEngine(const PieceKey &piece) const {
  return View.presenceProbability(piece) >= Settings.Bet;
}

uint32_t FetchFlow::presentPieces(std::span<const PieceKey> pieces) const {
  uint32_t n = 0;
  while (n < pieces.size() && isInEngine(pieces[n]))
    ++n;
  return n;
}

void FetchFlow::begin(FetchWish wish, Step &step) {
  RequestId id = wish.Id;
  Job &job = Jobs[id];
  job.Wish = std::move(wish);
  job.Present = presentPieces(job.Wish.Pieces);
  job.Reused = job.Present;
  job.Hits.resize(job.Wish.Pieces.size());
  if (job.Present < job.Wish.Pieces.size())
    lookUp(job, step);
  if (job.Lookups == 0)
    settle(id, step);
}

void FetchFlow::lookUp(Job &job, Step &step) {
  std::map<StoreHandle, std::vector<PieceKey>> keys;
  const auto &pieces = job.Wish.Pieces;
  for (size_t i = job.Present; i < pieces.size(); ++i)
    for (StoreHandle store :
         Stores.storesOf(pieces, i, MaxStoreCopies, step.Now))
      keys[store].push_back(pieces[i]);
  for (auto &[store, wanted] : keys) {
    CallId call = Numbers.next();
    LookupCalls[call] = job.Wish.Id;
    ++job.Lookups;
    step.Out.push_back(CallStore{call, store, LookupPieces{std::move(wanted)},
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
  if (auto fetch = Pieces.find(key); fetch != Pieces.end())
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
      takeHit(job, answer.Store, piece);
  if (--job.Lookups == 0)
    plan(job, step);
}

/// The memory tier is preferred among copies.
void FetchFlow::takeHit(Job &job, StoreHandle store, const FoundPiece &found) {
  const auto &pieces = job.Wish.Pieces;
  auto at = std::find(pieces.begin(), pieces.end(), found.Key);
  if (at == pieces.end())
    return;
  auto &hit = job.Hits[static_cast<size_t>(at - pieces.begin())];
  if (!hit || (hit->OnDisk && !found.OnDisk))
    hit = Hit{store, {found.Key, found.Generation, found.Length}, found.OnDisk};
}

void FetchFlow::plan(Job &job, Step &step) {
  const FetchWish &wish = job.Wish;
  std::vector<PieceState> states(wish.Pieces.size());
  for (size_t i = 0; i < states.size(); ++i) {
    states[i].InEngine = isInEngine(wish.Pieces[i]);
    if (const auto &hit = job.Hits[i])
      states[i].Stored = StoredPiece{
          hit->Found.Generation, hit->Found.Length,
          hit->OnDisk ? StoreTier::Disk : StoreTier::Memory, hit->Store.Index};
  }
  std::vector<LinkState> links =
      Stores.linkStates(wish.ExpectedStart, step.Now);
  PlanInput input;
  input.Pieces = states;
  input.Links = links;
  input.PromptTokens = wish.PromptTokens;
  input.QueueWait = std::max(Duration(0), wish.ExpectedStart - step.Now);
  input.PrefillTokensPerSecond = Hooks.PrefillRate();
  input.FirstTokenLimit = wish.FirstTokenLimit - step.Now;
  FetchPlan plan = planFetch(input, Settings.Weights);
  record(step, EventKind::ContextPlanned, wish,
         {static_cast<int64_t>(plan.RecomputeCost * Micros),
          static_cast<int64_t>(plan.Cost * Micros),
          static_cast<int64_t>(plan.Fetch.size()),
          static_cast<int64_t>(wish.Pieces.size())});
  startFetches(job, plan, step);
}

void FetchFlow::startFetches(Job &job, const FetchPlan &plan, Step &step) {
  RequestId id = job.Wish.Id;
  job.Reused = plan.ReusedPieces;
  job.Missing.insert(plan.Fetch.begin(), plan.Fetch.end());
  job.LookAt = step.Now + std::max(plan.FetchTime, Settings.LeastWait);
  job.IsFetching = !plan.Fetch.empty();
  if (job.IsFetching) {
    record(step, EventKind::FetchStarted, job.Wish,
           {static_cast<int64_t>(plan.Fetch.size()),
            static_cast<int64_t>(plan.Bytes), plan.FetchTime.count()});
    News.push_back({id, false, step.Now + plan.FetchTime,
                    plan.ReusedPieces * PieceTokens});
  }
  for (uint32_t index : plan.Fetch)
    if (job.Missing.contains(index))
      joinFetch(job, index, step);
  settleIfDone(id, step);
}

void FetchFlow::joinFetch(Job &job, uint32_t index, Step &step) {
  const PieceKey &key = job.Wish.Pieces[index];
  if (auto it = Pieces.find(key); it != Pieces.end()) {
    it->second.Waiters.push_back(job.Wish.Id);
    return;
  }
  const Hit &hit = *job.Hits[index];
  PieceFetch fetch(VerifiedRead(key, job.Wish.Version), hit.Store);
  fetch.Index = index;
  fetch.KeepFor = job.Wish.KeepFor;
  fetch.Organisation = job.Wish.Organisation;
  fetch.Waiters.push_back(job.Wish.Id);
  fetch.Transfer = Numbers.next();
  Error reason;
  if (fetch.Read.onLookup(hit.Found) != ReadStep::FetchBytes ||
      !Stores.link(hit.Store).add({fetch.Transfer, TransferKind::Fetch,
                                   hit.Found.Length, job.Wish.ExpectedStart},
                                  step.Now, reason))
    return loseTail(job, index, step);
  Transfers[fetch.Transfer] = key;
  Pieces.emplace(key, std::move(fetch));
}

void FetchFlow::startTransfer(StoreHandle store, uint64_t transfer,
                              Step &step) {
  auto it = Transfers.find(transfer);
  if (it == Transfers.end())
    return Stores.link(store).cancel(transfer);
  PieceFetch &fetch = Pieces.at(it->second);
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
    return next(fetch, fetch.Read.onFailure(), step);
  }
  if (auto *bytes = std::get_if<StoreBytes>(&answer.Result)) {
    leaveLink(fetch, bytes->Bytes.size(), step.Now);
    if (!mayUse(fetch, *bytes, step))
      return next(fetch, fetch.Read.onFailure(), step);
    ReadStep read = fetch.Read.onHeader(
        {bytes->Generation, bytes->Length, bytes->Checksum});
    if (read == ReadStep::FetchBytes)
      read = fetch.Read.onBytes(std::move(bytes->Bytes));
    return next(fetch, read, step);
  }
  if (const auto *now = std::get_if<StoreGeneration>(&answer.Result))
    return next(fetch,
                fetch.Read.onGeneration(now->Generation, Hooks.EngineVersion()),
                step);
  next(fetch, fetch.Read.onFailure(), step);
}

void FetchFlow::next(PieceFetch &fetch, ReadStep read, Step &step) {
  if (read == ReadStep::CheckGeneration)
    return callStore(fetch, ReadGeneration{fetch.Read.key()}, step);
  if (read == ReadStep::Import) {
    CallId call = Numbers.next();
    Imports[call] = fetch.Read.key();
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
  auto it = Imports.find(answer.Call);
  if (it == Imports.end())
    return false;
  PieceKey key = it->second;
  Imports.erase(it);
  finishFetch(key, !answer.Why, step);
  return true;
}

void FetchFlow::finishFetch(PieceKey key, bool imported, Step &step) {
  auto it = Pieces.find(key);
  if (it == Pieces.end())
    return;
  leaveLink(it->second, 0, step.Now);
  std::vector<RequestId> waiters = std::move(it->second.Waiters);
  uint32_t index = it->second.Index;
  ReadCalls.erase(it->second.Call);
  Pieces.erase(it);
  for (const RequestId &id : waiters) {
    auto job = Jobs.find(id);
    if (job == Jobs.end())
      continue;
    if (imported)
      job->second.Missing.erase(index);
    else
      loseTail(job->second, index, step);
    settleIfDone(id, step);
  }
}

} // namespace daisytack::serve
