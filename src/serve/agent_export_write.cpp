/// ExportFlow: writing one piece to one store.
#include "base/digest.h"
#include "serve/agent_export.h"

#include <algorithm>
#include <utility>

namespace daisytack::serve {

namespace {

PutAnswer putAnswer(const StoreAnswer &answer) {
  const auto *error = std::get_if<Error>(&answer.Result);
  if (!error)
    return PutAnswer::Stored;
  if (error->Kind == ErrorKind::RecordFull)
    return PutAnswer::Full;
  return isStoreFailure(*error) ? PutAnswer::Lost : PutAnswer::Refused;
}

/// A status of the store's own says that it did not commit; a broken or late
/// call may have.
CommitAnswer commitAnswer(const StoreAnswer &answer) {
  const auto *error = std::get_if<Error>(&answer.Result);
  if (!error)
    return CommitAnswer::Committed;
  bool answered = error->Kind == ErrorKind::ServerFailed ||
                  error->Kind == ErrorKind::NotFound ||
                  error->Kind == ErrorKind::RecordFull;
  return answered ? CommitAnswer::Refused : CommitAnswer::Lost;
}

std::vector<SampledPiece> sampleOf(const StoreAnswer &answer) {
  std::vector<SampledPiece> out;
  if (const auto *found = std::get_if<StoreFound>(&answer.Result))
    for (const FoundPiece &it : found->Pieces)
      out.push_back({it.Key, it.Generation, it.Length, it.Meta});
  return out;
}

} // namespace

void ExportFlow::nextTarget(Step &step) {
  Job &job = Jobs.front();
  while (!Targets.empty()) {
    StoreHandle store = Targets.front();
    Targets.erase(Targets.begin());
    Error reason;
    uint64_t transfer = Numbers.next();
    if (!Stores.link(store).add({transfer, TransferKind::Export, Bytes->size(),
                                 step.Now + Settings.ExportDeadline},
                                step.Now, reason))
      continue;
    const Candidate &candidate = job.Candidates[job.At];
    KeptMeta meta = metaOf(candidate, Copy++, step);
    auto chooser = [this, meta, wall = step.Wall](
                       std::span<const SampledPiece> sample, uint64_t bytes) {
      return Policy.chooseVictims(sample, bytes, meta, wall);
    };
    Current.emplace(Writing{
        CommittedWrite(job.Wish.Pieces[candidate.Index], *Bytes, chooser),
        store, transfer, false, 0, meta});
    return;
  }
  Bytes.reset();
  ++job.At;
  nextPiece(step);
}

KeptMeta ExportFlow::metaOf(const Candidate &candidate, uint8_t copy,
                            const Step &step) const {
  const ExportWish &wish = Jobs.front().Wish;
  KeptMeta out;
  out.Organisation = wish.Organisation;
  out.Index = candidate.Index;
  out.Tokens = PieceTokens;
  out.Sightings = candidate.Before.Count + 1;
  out.Copy = copy;
  out.KeptAt = step.Wall;
  out.ExpiresAt = step.Wall + wish.KeepFor;
  return out;
}

void ExportFlow::startTransfer(StoreHandle store, uint64_t transfer,
                               Step &step) {
  if (!Current || Current->Transfer != transfer)
    return Stores.link(store).cancel(transfer);
  Current->InFlight = true;
  if (IsOverQuota)
    Current->Call =
        call(Asked::Replace, store, SamplePieces{Settings.SampleSize}, step);
  else
    advance(Current->Write.step(), step);
}

void ExportFlow::replaceOwn(const StoreAnswer &answer, Step &step) {
  std::vector<SampledPiece> sample = sampleOf(answer);
  std::vector<SampledPiece> victims =
      Policy.chooseVictims(sample, Bytes->size(), Current->Meta, step.Wall,
                           Current->Meta.Organisation);
  if (victims.empty())
    return endWrite(step);
  freeVictims(victims, step);
  KeptUsage &usage = Usage[Current->Meta.Organisation];
  for (const SampledPiece &it : victims) {
    usage.Bytes -= std::min(usage.Bytes, it.Length);
    usage.Pieces -= std::min<uint64_t>(usage.Pieces, 1);
  }
  advance(Current->Write.step(), step);
}

void ExportFlow::freeVictims(std::span<const SampledPiece> victims,
                             Step &step) {
  for (const SampledPiece &it : victims) {
    call(Asked::Nothing, Current->Store, FreePiece{it.Key, it.Generation},
         step);
    auto meta = decodeMeta(it.Meta);
    record(step, EventKind::PieceEvicted, meta ? meta->Organisation : "",
           {static_cast<int64_t>(it.Length)});
  }
}

void ExportFlow::onWrite(const StoreAnswer &answer, Step &step) {
  CommittedWrite &write = Current->Write;
  const auto *generation = std::get_if<StoreGeneration>(&answer.Result);
  switch (write.step()) {
  case WriteStep::Create:
    return advance(write.onCreated(generation ? generation->Generation : 0),
                   step);
  case WriteStep::Put:
    return advance(write.onPut(putAnswer(answer)), step);
  case WriteStep::Commit:
    return advance(write.onCommit(commitAnswer(answer)), step);
  case WriteStep::ReadGeneration: {
    std::optional<uint64_t> visible;
    if (generation)
      visible = generation->Generation;
    return advance(write.onGeneration(visible), step);
  }
  case WriteStep::Sample:
    return advance(write.onSample(sampleOf(answer)), step);
  case WriteStep::Evict:
  case WriteStep::Free:
  case WriteStep::Done:
    return;
  }
}

void ExportFlow::advance(WriteStep next, Step &step) {
  CommittedWrite &write = Current->Write;
  StoreHandle store = Current->Store;
  auto ask = [&](StoreRequest request) {
    Current->Call = call(Asked::Write, store, std::move(request), step);
  };
  switch (next) {
  case WriteStep::Create:
    return ask(BeginPiece{write.key()});
  case WriteStep::Put:
    return ask(WritePiece{write.key(), write.generation(),
                          std::make_shared<const std::string>(write.frame())});
  case WriteStep::Commit:
    return ask(CommitPiece{write.key(), write.generation(),
                           write.frame().size(), hexDigest(write.checksum()),
                           encodeMeta(Current->Meta)});
  case WriteStep::ReadGeneration:
    return ask(ReadGeneration{write.key()});
  case WriteStep::Sample:
    return ask(SamplePieces{Settings.SampleSize});
  case WriteStep::Evict:
    freeVictims(write.victims(), step);
    return advance(write.onEvicted(), step);
  case WriteStep::Free:
    call(Asked::Nothing, store, FreePiece{write.key(), write.generation()},
         step);
    return advance(write.onFreed(), step);
  case WriteStep::Done:
    return endWrite(step);
  }
}

void ExportFlow::endWrite(Step &step) {
  uint64_t bytes = Current->Write.frame().size();
  Stores.link(Current->Store).finish(Current->Transfer, bytes, step.Now);
  if (Current->Write.result() == WriteResult::Committed) {
    KeptUsage &usage = Usage[Jobs.front().Wish.Organisation];
    usage.Bytes += bytes;
    ++usage.Pieces;
    record(step, EventKind::PieceExported, Jobs.front().Wish.Organisation,
           {Current->Meta.Index, static_cast<int64_t>(bytes),
            Current->Store.Index, Current->Meta.Copy});
  }
  Current.reset();
  nextTarget(step);
}

} // namespace daisytack::serve
