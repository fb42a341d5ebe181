/// Atomic write of one context piece to a store: the writer creates a new
/// generation, uploads its bytes and commits it. Concurrent writers of the same
/// piece use separate generations.
#pragma once

#include "context/piece_frame.h"
#include "daisytack/types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace daisytack {

/// The action that the caller must perform next.
enum class WriteStep : uint8_t {
  Create, ///< Request a new generation, then call onCreated.
  Put,    ///< Upload frame() as generation(), then call onPut.
  Commit, ///< Commit generation() with checksum(), then call onCommit.
  /// Read the committed generation, because the answer to the commit was lost;
  /// then call onGeneration.
  ReadGeneration,
  Sample, ///< Request a random sample of stored pieces, then call onSample.
  Evict,  ///< Free victims(), best effort, then call onEvicted.
  Free,   ///< Free generation(), best effort, then call onFreed.
  Done,   ///< The write has ended; result() holds the outcome.
};

/// Outcome of a write.
enum class WriteResult : uint8_t {
  Pending, ///< The write has not ended.
  Committed,
  LostRace, ///< Another writer's generation is the committed one.
  /// The store is full, and evicting less valuable pieces was impossible or not
  /// enough.
  Full,
  Failed, ///< The write failed, or its outcome could not be determined.
};

/// A piece from a store's random sample.
struct SampledPiece {
  PieceKey Key;
  uint64_t Generation = 0;
  uint64_t Length = 0; ///< Size of the frame in bytes.
  std::string Meta;    ///< See encodeMeta.
  auto operator<=>(const SampledPiece &) const = default;
};

/// Answer of the store to an upload; Lost when no answer arrived.
enum class PutAnswer : uint8_t { Stored, Full, Refused, Lost };
/// Answer of the store to a commit; Lost when no answer arrived.
enum class CommitAnswer : uint8_t { Committed, Refused, Lost };

/// Chooses the pieces to evict to free the given number of bytes. An empty
/// result means that no sampled pieces should be evicted.
using VictimChooser = std::function<std::vector<SampledPiece>(
    std::span<const SampledPiece> sample, uint64_t bytes)>;

/// State machine that writes one piece. The caller performs step() and reports
/// the store's answer; calls that do not match step() are ignored.
class CommittedWrite {
public:
  CommittedWrite(const PieceKey &key, std::string payload,
                 VictimChooser chooser);

  WriteStep step() const { return Step; }
  WriteResult result() const { return Result; }
  const PieceKey &key() const { return Key; }
  uint64_t generation() const { return Generation; }
  const std::string &frame() const { return Frame; }
  const Digest256 &checksum() const { return Checksum; }
  const std::vector<SampledPiece> &victims() const { return Victims; }

  /// Reports the new generation, or 0 when the store refused or the answer was
  /// lost.
  WriteStep onCreated(uint64_t generation);
  WriteStep onPut(PutAnswer answer);
  WriteStep onCommit(CommitAnswer answer);
  /// Reports the committed generation, or 0 when there is none; nullopt when
  /// this answer was lost as well.
  WriteStep onGeneration(std::optional<uint64_t> generation);
  WriteStep onSample(std::span<const SampledPiece> sample);
  WriteStep onEvicted();
  WriteStep onFreed();

private:
  WriteStep finish(WriteResult result);
  /// Frees the written generation, then ends with the given result.
  WriteStep freeAndFinish(WriteResult result);

  PieceKey Key;
  std::string Payload;
  VictimChooser Chooser;
  WriteStep Step = WriteStep::Create;
  WriteResult Result = WriteResult::Pending;
  WriteResult ResultAfterFree = WriteResult::Failed;
  uint64_t Generation = 0;
  std::string Frame;
  Digest256 Checksum{};
  std::vector<SampledPiece> Victims;
  uint32_t CreateAttempts = 0;
  uint32_t PutAttempts = 0;
  uint32_t CommitAttempts = 0;
  bool Evicted = false;
};

} // namespace daisytack
