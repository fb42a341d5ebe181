#include "context/piece_frame.h"

#include <algorithm>
#include <array>

namespace daisytack {

namespace {

constexpr std::string_view Magic = "DTPIECE1";
constexpr std::array<std::string_view, 10> FaultNames = {
    "none",  "missing",  "store_failed", "too_long", "mis_keyed",
    "freed", "replaced", "torn",         "corrupt",  "version_changed"};

/// Appends the value in little-endian byte order.
void appendUint64(std::string &out, uint64_t value) {
  for (unsigned i = 0; i < 8; ++i)
    out.push_back(static_cast<char>(value >> (8U * i)));
}

/// Reads a little-endian value and removes it from the front of `in`.
uint64_t takeUint64(std::string_view &in) {
  uint64_t out = 0;
  for (unsigned i = 0; i < 8; ++i)
    out |= static_cast<uint64_t>(static_cast<uint8_t>(in[i])) << (8U * i);
  in.remove_prefix(8);
  return out;
}

} // namespace

std::string_view pieceFaultName(PieceFault fault) {
  return FaultNames[static_cast<size_t>(fault)];
}

std::string encodePieceFrame(const PieceKey &key, uint64_t generation,
                             std::string_view payload) {
  std::string out;
  out.reserve(PieceFrameHeaderBytes + payload.size());
  out.append(Magic);
  out.append(key.Bytes.begin(), key.Bytes.end());
  appendUint64(out, generation);
  appendUint64(out, payload.size());
  out.append(payload);
  return out;
}

std::optional<PieceFrame> decodePieceFrame(std::string_view bytes,
                                           PieceFault &fault) {
  if (bytes.size() < PieceFrameHeaderBytes) {
    fault = PieceFault::Torn;
    return std::nullopt;
  }
  if (!bytes.starts_with(Magic)) {
    fault = PieceFault::Corrupt;
    return std::nullopt;
  }
  bytes.remove_prefix(Magic.size());
  PieceFrame out;
  std::copy_n(bytes.begin(), out.Key.Bytes.size(), out.Key.Bytes.begin());
  bytes.remove_prefix(out.Key.Bytes.size());
  out.Generation = takeUint64(bytes);
  if (takeUint64(bytes) != bytes.size()) {
    fault = PieceFault::Torn;
    return std::nullopt;
  }
  out.Payload = bytes;
  return out;
}

} // namespace daisytack
