/// ExportFlow: the write of one piece to one store.
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

/// If the store answered with an error, it did not commit. A call that broke or
/// timed out may have committed.
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

void ExportFlow::writeToNextStore(Step &step) {
  Job &job = Jobs.front();
  while (!RemainingStores.empty()) {
    StoreHandle store = RemainingStores.front();
    RemainingStores.erase(RemainingStores.begin());
    Error reason;
    uint64_t transfer = Numbers.next();
    if (!Stores.link(store).add({transfer, TransferKind::Export,
                                 PieceBytes->size(),
                                 step.Now + Settings.ExportDeadline},
                                step.Now, reason))
      continue;
    const Candidate &candidate = job.Candidates[job.CurrentCandidate];
    KeptMeta meta = metaOf(candidate, CopyIndex++, step);
    auto chooser = [this, meta, wall = step.Wall](
                       std::span<const SampledPiece> sample, uint64_t bytes) {
      return Policy.chooseVictims(sample, bytes, meta, wall);
    };
    CurrentWrite.emplace(
        PieceWrite{CommittedWrite(job.Params.Pieces[candidate.Index],
                                  *PieceBytes, chooser),
                   store, transfer, false, 0, meta});
    return;
  }
  PieceBytes.reset();
  ++job.CurrentCandidate;
  exportNextPiece(step);
}

KeptMeta ExportFlow::metaOf(const Candidate &candidate, uint8_t copy,
                            const Step &step) const {
  const ExportParams &params = Jobs.front().Params;
  KeptMeta out;
  out.Organisation = params.Organisation;
  out.Index = candidate.Index;
  out.Tokens = PieceTokens;
  out.Sightings = candidate.Before.Count + 1;
  out.Copy = copy;
  out.KeptAt = step.Wall;
  out.ExpiresAt = step.Wall + params.KeepFor;
  return out;
}

void ExportFlow::startTransfer(StoreHandle store, uint64_t transfer,
                               Step &step) {
  if (!CurrentWrite || CurrentWrite->Transfer != transfer)
    return Stores.link(store).cancel(transfer);
  CurrentWrite->InFlight = true;
  if (IsOverQuota)
    CurrentWrite->Call = callStore(CallPurpose::Replace, store,
                                   SamplePieces{Settings.SampleSize}, step);
  else
    performWriteStep(CurrentWrite->Write.step(), step);
}

void ExportFlow::replaceOwnPieces(const StoreAnswer &answer, Step &step) {
  std::vector<SampledPiece> sample = sampleOf(answer);
  std::vector<SampledPiece> victims =
      Policy.chooseVictims(sample, PieceBytes->size(), CurrentWrite->Meta,
                           step.Wall, CurrentWrite->Meta.Organisation);
  if (victims.empty())
    return finishWrite(step);
  freeVictims(victims, step);
  OrganisationUsage &usage = Usage[CurrentWrite->Meta.Organisation];
  for (const SampledPiece &it : victims) {
    usage.Bytes -= std::min(usage.Bytes, it.Length);
    usage.Pieces -= std::min<uint64_t>(usage.Pieces, 1);
  }
  performWriteStep(CurrentWrite->Write.step(), step);
}

void ExportFlow::freeVictims(std::span<const SampledPiece> victims,
                             Step &step) {
  for (const SampledPiece &it : victims) {
    callStore(CallPurpose::Cleanup, CurrentWrite->Store,
              FreePiece{it.Key, it.Generation}, step);
    auto meta = decodeMeta(it.Meta);
    record(step, EventKind::PieceEvicted, meta ? meta->Organisation : "",
           {static_cast<int64_t>(it.Length)});
  }
}

void ExportFlow::onWrite(const StoreAnswer &answer, Step &step) {
  CommittedWrite &write = CurrentWrite->Write;
  const auto *generation = std::get_if<StoreGeneration>(&answer.Result);
  switch (write.step()) {
  case WriteStep::Create:
    return performWriteStep(
        write.onCreated(generation ? generation->Generation : 0), step);
  case WriteStep::Put:
    return performWriteStep(write.onPut(putAnswer(answer)), step);
  case WriteStep::Commit:
    return performWriteStep(write.onCommit(commitAnswer(answer)), step);
  case WriteStep::ReadGeneration: {
    std::optional<uint64_t> visible;
    if (generation)
      visible = generation->Generation;
    return performWriteStep(write.onGeneration(visible), step);
  }
  case WriteStep::Sample:
    return performWriteStep(write.onSample(sampleOf(answer)), step);
  case WriteStep::Evict:
  case WriteStep::Free:
  case WriteStep::Done:
    return;
  }
}

void ExportFlow::performWriteStep(WriteStep next, Step &step) {
  CommittedWrite &write = CurrentWrite->Write;
  StoreHandle store = CurrentWrite->Store;
  auto send = [&](StoreRequest request) {
    CurrentWrite->Call =
        callStore(CallPurpose::Write, store, std::move(request), step);
  };
  switch (next) {
  case WriteStep::Create:
    return send(BeginPiece{write.key()});
  case WriteStep::Put:
    return send(WritePiece{write.key(), write.generation(),
                           std::make_shared<const std::string>(write.frame())});
  case WriteStep::Commit:
    return send(CommitPiece{write.key(), write.generation(),
                            write.frame().size(), hexDigest(write.checksum()),
                            encodeMeta(CurrentWrite->Meta)});
  case WriteStep::ReadGeneration:
    return send(ReadGeneration{write.key()});
  case WriteStep::Sample:
    return send(SamplePieces{Settings.SampleSize});
  case WriteStep::Evict:
    freeVictims(write.victims(), step);
    return performWriteStep(write.onEvicted(), step);
  case WriteStep::Free:
    callStore(CallPurpose::Cleanup, store,
              FreePiece{write.key(), write.generation()}, step);
    return performWriteStep(write.onFreed(), step);
  case WriteStep::Done:
    return finishWrite(step);
  }
}

void ExportFlow::finishWrite(Step &step) {
  uint64_t bytes = CurrentWrite->Write.frame().size();
  Stores.link(CurrentWrite->Store)
      .finish(CurrentWrite->Transfer, bytes, step.Now);
  if (CurrentWrite->Write.result() == WriteResult::Committed) {
    OrganisationUsage &usage = Usage[Jobs.front().Params.Organisation];
    usage.Bytes += bytes;
    ++usage.Pieces;
    record(step, EventKind::PieceExported, Jobs.front().Params.Organisation,
           {CurrentWrite->Meta.Index, static_cast<int64_t>(bytes),
            CurrentWrite->Store.Index, CurrentWrite->Meta.Copy});
  }
  CurrentWrite.reset();
  writeToNextStore(step);
}

} // namespace daisytack::serve
