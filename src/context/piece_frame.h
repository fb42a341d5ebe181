/// The bytes of a kept piece as a store holds them: a header that binds the
/// payload to its full key and generation, then the payload. The store's
/// checksum covers both, so one digest proves all of it.
#pragma once

#include "base/digest.h"
#include "daisytack/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack {

/// Largest framed piece that is read or written, in bytes: 1,024 tokens at up
/// to 256 KB of keys and values each. Checked before any allocation.
constexpr uint64_t MaxPieceFrameBytes = 256U << 20;
/// Magic, key, generation and payload length.
constexpr size_t PieceFrameHeaderBytes = 8 + 32 + 8 + 8;

/// Why a stored piece was not used.
enum class PieceFault : uint8_t {
  None,
  Missing,        ///< The store has no committed generation.
  StoreFailed,    ///< No answer, or none that can be read.
  TooLong,        ///< Claims more bytes than are ever written.
  MisKeyed,       ///< Answer or bytes belong to another key.
  Freed,          ///< The generation is gone.
  Replaced,       ///< Another generation was committed meanwhile.
  Torn,           ///< Fewer or more bytes than committed.
  Corrupt,        ///< The checksum or the header does not fit.
  VersionChanged, ///< The engine has other weights than the key names.
};

/// Stable lower-case name: "mis_keyed".
std::string_view pieceFaultName(PieceFault fault);

/// A frame taken apart; Payload points into the frame.
struct PieceFrame {
  PieceKey Key;
  uint64_t Generation = 0;
  std::string_view Payload;
};

std::string encodePieceFrame(const PieceKey &key, uint64_t generation,
                             std::string_view payload);

/// Nothing, with the fault, when the bytes are not one whole frame.
std::optional<PieceFrame> decodePieceFrame(std::string_view bytes,
                                           PieceFault &fault);

} // namespace daisytack
