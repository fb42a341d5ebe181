/// Reading one kept piece from a store so that a freed, torn, reused or
/// mis-keyed one is never imported: lookup, bytes, generation again, and only
/// then the import of the whole.
#pragma once

#include "context/piece_frame.h"
#include "daisytack/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack {

/// What the caller has to do next.
enum class ReadStep : uint8_t {
  LookUp,          ///< Ask the store for the key; then onLookup.
  FetchBytes,      ///< Get the bytes; onHeader before the body, then onBytes.
  CheckGeneration, ///< Ask for the generation again; then onGeneration.
  Import,          ///< Hand payload() to the engine.
  Rejected,        ///< Do not use the piece; fault() says why.
};

/// One line of a store's answer to a lookup.
struct LookupAnswer {
  PieceKey Key;
  uint64_t Generation = 0;
  uint64_t Length = 0;
  auto operator<=>(const LookupAnswer &) const = default;
};

/// What a store sends ahead of the bytes.
struct PieceHeader {
  uint64_t Generation = 0;
  uint64_t Length = 0;
  Digest256 Checksum{};
  auto operator<=>(const PieceHeader &) const = default;
};

/// The read of one piece as a state machine. An answer that does not belong to
/// the present step rejects the read: answers may be late or crossed.
class VerifiedRead {
public:
  /// Version is the weight version that the key was made for.
  VerifiedRead(const PieceKey &key, std::string version);

  ReadStep step() const { return Step; }
  PieceFault fault() const { return Fault; }
  const PieceKey &key() const { return Key; }
  uint64_t generation() const { return Generation; }
  /// Bytes that will be read; bounded by MaxPieceFrameBytes.
  uint64_t length() const { return Length; }

  /// The store's answer; nothing when it has no such piece.
  ReadStep onLookup(const std::optional<LookupAnswer> &answer);
  /// Before the body is read, so that a hostile length allocates nothing.
  ReadStep onHeader(const PieceHeader &header);
  ReadStep onBytes(std::string bytes);
  /// The generation that the store names after the bytes (0: none), and the
  /// weight version that the engine has at this moment.
  ReadStep onGeneration(uint64_t generation, std::string_view engineVersion);
  /// The store did not answer, or not in a way that can be read.
  ReadStep onFailure();

  /// What the engine is to import; empty unless the step is Import.
  std::string_view payload() const;

private:
  ReadStep reject(PieceFault fault);

  PieceKey Key;
  std::string Version;
  ReadStep Step = ReadStep::LookUp;
  PieceFault Fault = PieceFault::None;
  uint64_t Generation = 0;
  uint64_t Length = 0;
  bool HeaderSeen = false;
  Digest256 Checksum{};
  std::string Bytes;
};

} // namespace daisytack
