#include "context/committed_write.h"

#include <utility>

namespace daisytack {

namespace {

/// Each request whose answer was lost is sent so often at most.
constexpr uint32_t MaxSends = 2;

} // namespace

CommittedWrite::CommittedWrite(const PieceKey &key, std::string payload,
                               VictimChooser chooser)
    : Key(key), Payload(std::move(payload)), Chooser(std::move(chooser)) {
  if (Payload.size() + PieceFrameHeaderBytes > MaxPieceFrameBytes)
    finish(WriteResult::Failed);
}

WriteStep CommittedWrite::finish(WriteResult result) {
  Result = result;
  return Step = WriteStep::Done;
}

WriteStep CommittedWrite::freeThen(WriteResult result) {
  AfterFree = result;
  return Step = WriteStep::Free;
}

WriteStep CommittedWrite::onCreated(uint64_t generation) {
  if (Step != WriteStep::Create)
    return Step;
  if (generation == 0) // A generation that was made all the same stays unused.
    return ++Creates < MaxSends ? Step : finish(WriteResult::Failed);
  Generation = generation;
  Frame = encodePieceFrame(Key, Generation, Payload);
  Checksum = sha256(Frame);
  Payload = std::string();
  return Step = WriteStep::Put;
}

WriteStep CommittedWrite::onPut(PutAnswer answer) {
  if (Step != WriteStep::Put)
    return Step;
  switch (answer) {
  case PutAnswer::Stored:
    return Step = WriteStep::Commit;
  case PutAnswer::Full:
    if (Evicted)
      return freeThen(WriteResult::Full);
    return Step = WriteStep::Sample;
  case PutAnswer::Refused:
    return freeThen(WriteResult::Failed);
  case PutAnswer::Lost: // The same bytes under the same generation: idempotent.
    return ++Puts < MaxSends ? Step : freeThen(WriteResult::Failed);
  }
  return Step;
}

WriteStep CommittedWrite::onSample(std::span<const SampledPiece> sample) {
  if (Step != WriteStep::Sample)
    return Step;
  Evicted = true;
  Victims = Chooser(sample, Frame.size());
  if (Victims.empty())
    return freeThen(WriteResult::Full);
  return Step = WriteStep::Evict;
}

WriteStep CommittedWrite::onEvicted() {
  if (Step != WriteStep::Evict)
    return Step;
  return Step = WriteStep::Put;
}

WriteStep CommittedWrite::onCommit(CommitAnswer answer) {
  if (Step != WriteStep::Commit)
    return Step;
  ++Commits;
  switch (answer) {
  case CommitAnswer::Committed:
    return finish(WriteResult::Committed);
  case CommitAnswer::Refused:
    return freeThen(WriteResult::LostRace);
  case CommitAnswer::Lost:
    return Step = WriteStep::ReadGeneration;
  }
  return Step;
}

WriteStep CommittedWrite::onGeneration(std::optional<uint64_t> generation) {
  if (Step != WriteStep::ReadGeneration)
    return Step;
  // Unknown whether it is visible: if it is, it is whole, so leave it.
  if (!generation)
    return finish(WriteResult::Failed);
  if (*generation == Generation)
    return finish(WriteResult::Committed);
  if (*generation > Generation)
    return freeThen(WriteResult::LostRace);
  if (Commits < MaxSends)
    return Step = WriteStep::Commit;
  return finish(WriteResult::Failed);
}

WriteStep CommittedWrite::onFreed() {
  if (Step != WriteStep::Free)
    return Step;
  return finish(AfterFree);
}

} // namespace daisytack
