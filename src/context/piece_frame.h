/// Format of a kept piece in a store: a header with the piece's key, generation
/// and payload length, followed by the payload. The store's checksum covers
/// both, so that one digest verifies the whole frame.
#pragma once

#include "base/digest.h"
#include "daisytack/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack {

/// Maximum size of a frame in bytes: 1,024 tokens with up to 256 KB of keys and
/// values each. Checked before any allocation.
constexpr uint64_t MaxPieceFrameBytes = 256U << 20;
/// Size of magic number, key, generation and payload length.
constexpr size_t PieceFrameHeaderBytes = 8 + 32 + 8 + 8;

/// Why a stored piece was not used.
enum class PieceFault : uint8_t {
  None,
  Missing,     ///< The store has no committed generation.
  StoreFailed, ///< The store sent no answer or an unreadable one.
  TooLong,     ///< The announced length exceeds MaxPieceFrameBytes.
  MisKeyed,    ///< The answer or the frame belongs to another key.
  Freed,       ///< The generation no longer exists.
  Replaced,    ///< Another generation was committed since the lookup.
  Torn,        ///< The length is too short or differs from the committed one.
  Corrupt,     ///< The checksum or the header does not match.
  VersionChanged, ///< The engine's weight version differs from the key's.
};

/// Stable name of the fault in lower case, such as "mis_keyed".
std::string_view pieceFaultName(PieceFault fault);

/// A decoded frame; Payload points into the encoded bytes.
struct PieceFrame {
  PieceKey Key;
  uint64_t Generation = 0;
  std::string_view Payload;
};

std::string encodePieceFrame(const PieceKey &key, uint64_t generation,
                             std::string_view payload);

/// Decodes a frame. Returns nullopt and sets the fault if the bytes are not
/// exactly one complete frame.
std::optional<PieceFrame> decodePieceFrame(std::string_view bytes,
                                           PieceFault &fault);

} // namespace daisytack
