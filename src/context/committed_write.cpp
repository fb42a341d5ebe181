#include "context/committed_write.h"

#include <utility>

namespace daisytack {

namespace {

/// Maximum number of times that a request is sent when its answers are lost.
constexpr uint32_t MaxSendsPerRequest = 2;

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

WriteStep CommittedWrite::freeAndFinish(WriteResult result) {
  ResultAfterFree = result;
  return Step = WriteStep::Free;
}

WriteStep CommittedWrite::onCreated(uint64_t generation) {
  if (Step != WriteStep::Create)
    return Step;
  // A generation that the store created although its answer was lost stays
  // unused.
  if (generation == 0)
    return ++CreateAttempts < MaxSendsPerRequest ? Step
                                                 : finish(WriteResult::Failed);
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
      return freeAndFinish(WriteResult::Full);
    return Step = WriteStep::Sample;
  case PutAnswer::Refused:
    return freeAndFinish(WriteResult::Failed);
  case PutAnswer::Lost: // Resending the same generation is idempotent.
    return ++PutAttempts < MaxSendsPerRequest
               ? Step
               : freeAndFinish(WriteResult::Failed);
  }
  return Step;
}

WriteStep CommittedWrite::onSample(std::span<const SampledPiece> sample) {
  if (Step != WriteStep::Sample)
    return Step;
  Evicted = true;
  Victims = Chooser(sample, Frame.size());
  if (Victims.empty())
    return freeAndFinish(WriteResult::Full);
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
  ++CommitAttempts;
  switch (answer) {
  case CommitAnswer::Committed:
    return finish(WriteResult::Committed);
  case CommitAnswer::Refused:
    return freeAndFinish(WriteResult::LostRace);
  case CommitAnswer::Lost:
    return Step = WriteStep::ReadGeneration;
  }
  return Step;
}

WriteStep CommittedWrite::onGeneration(std::optional<uint64_t> generation) {
  if (Step != WriteStep::ReadGeneration)
    return Step;
  // The commit may have succeeded; a committed piece is complete, so keep it.
  if (!generation)
    return finish(WriteResult::Failed);
  if (*generation == Generation)
    return finish(WriteResult::Committed);
  if (*generation > Generation)
    return freeAndFinish(WriteResult::LostRace);
  if (CommitAttempts < MaxSendsPerRequest)
    return Step = WriteStep::Commit;
  return finish(WriteResult::Failed);
}

WriteStep CommittedWrite::onFreed() {
  if (Step != WriteStep::Free)
    return Step;
  return finish(ResultAfterFree);
}

} // namespace daisytack
