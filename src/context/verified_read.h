/// Verified read of one kept piece from a store: look up the piece, fetch its
/// bytes, check its generation again, and only then import it as a whole. A
/// piece that is freed, truncated, replaced or under a wrong key is never
/// imported.
#pragma once

#include "context/piece_frame.h"
#include "daisytack/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack {

/// The action that the caller must perform next.
enum class ReadStep : uint8_t {
  LookUp, ///< Look up the key in the store, then call onLookup.
  /// Fetch the bytes; call onHeader before reading the body, then onBytes.
  FetchBytes,
  CheckGeneration, ///< Read the generation again, then call onGeneration.
  Import,          ///< Pass payload() to the engine.
  Rejected,        ///< Do not use the piece; fault() holds the reason.
};

/// A store's answer to the lookup of one piece.
struct LookupAnswer {
  PieceKey Key;
  uint64_t Generation = 0;
  uint64_t Length = 0;
  auto operator<=>(const LookupAnswer &) const = default;
};

/// Header that a store sends before the bytes of a piece.
struct PieceHeader {
  uint64_t Generation = 0;
  uint64_t Length = 0;
  Digest256 Checksum{};
  auto operator<=>(const PieceHeader &) const = default;
};

/// State machine that reads one piece. An answer that does not match step()
/// rejects the read, because answers may arrive late or out of order.
class VerifiedRead {
public:
  /// `version` is the weight version for which the key was derived.
  VerifiedRead(const PieceKey &key, std::string version);

  ReadStep step() const { return Step; }
  PieceFault fault() const { return Fault; }
  const PieceKey &key() const { return Key; }
  uint64_t generation() const { return Generation; }
  /// Number of bytes to read; at most MaxPieceFrameBytes.
  uint64_t length() const { return Length; }

  /// Reports the store's answer; nullopt when the store has no such piece.
  ReadStep onLookup(const std::optional<LookupAnswer> &answer);
  /// Reports the header. Must be called before the body is read, so that an
  /// excessive length causes no allocation.
  ReadStep onHeader(const PieceHeader &header);
  /// Reports the complete body.
  ReadStep onBytes(std::string bytes);
  /// Reports the piece's generation in the store after the bytes were read, or
  /// 0 when there is none, and the engine's current weight version.
  ReadStep onGeneration(uint64_t generation, std::string_view engineVersion);
  /// Reports that the store sent no answer or an unreadable one.
  ReadStep onFailure();

  /// Payload for the engine to import; empty unless step() is Import.
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
