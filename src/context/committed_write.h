/// Writing one piece to a store so that it is visible whole or not at all: a
/// new generation, its bytes, one commit. Two writers of one piece each write a
/// generation of their own.
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

/// What the caller has to do next.
enum class WriteStep : uint8_t {
  Create,         ///< Ask for a new generation; then onCreated.
  Put,            ///< Send frame() under generation(); then onPut.
  Commit,         ///< With checksum(); then onCommit.
  ReadGeneration, ///< The commit's answer was lost; then onGeneration.
  Sample,         ///< Ask for random pieces; then onSample.
  Evict,          ///< Free victims(), best effort; then onEvicted.
  Free,           ///< Free our own generation, best effort; then onFreed.
  Done,           ///< result() tells how it ended.
};

enum class WriteResult : uint8_t {
  Pending,
  Committed,
  LostRace, ///< Another writer's generation is the visible one.
  Full,     ///< No room, and nothing of less value to evict.
  Failed,   ///< The store did not do it, or cannot be asked whether it did.
};

/// A piece that a store named in a sample.
struct SampledPiece {
  PieceKey Key;
  uint64_t Generation = 0;
  uint64_t Length = 0;
  std::string Meta;
  auto operator<=>(const SampledPiece &) const = default;
};

enum class PutAnswer : uint8_t { Stored, Full, Refused, Lost };
enum class CommitAnswer : uint8_t { Committed, Refused, Lost };

/// Chooses what to evict for so many bytes; empty when nothing is worth less.
using VictimChooser = std::function<std::vector<SampledPiece>(
    std::span<const SampledPiece> sample, uint64_t bytes)>;

/// The write of one piece as a state machine.
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

  /// 0 when the answer was lost or a refusal.
  WriteStep onCreated(uint64_t generation);
  WriteStep onPut(PutAnswer answer);
  WriteStep onCommit(CommitAnswer answer);
  /// The visible generation, 0 for none; nothing when that answer was lost too.
  WriteStep onGeneration(std::optional<uint64_t> generation);
  WriteStep onSample(std::span<const SampledPiece> sample);
  WriteStep onEvicted();
  WriteStep onFreed();

private:
  WriteStep finish(WriteResult result);
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
