#include "wire/stamped.h"

namespace daisytack::wire {

namespace {

constexpr size_t WallTimeBytes = 8;
constexpr unsigned ByteBits = 8;

void putNumber(std::string &out, uint64_t value, size_t bytes) {
  for (size_t i = 0; i < bytes; ++i)
    out.push_back(static_cast<char>(value >> (ByteBits * i)));
}

uint64_t getNumber(std::string_view bytes) {
  uint64_t out = 0;
  for (size_t i = bytes.size(); i > 0; --i)
    out = out << ByteBits | static_cast<uint8_t>(bytes[i - 1]);
  return out;
}

} // namespace

std::string prependTimestamp(const HybridClockHooks &hooks,
                             std::string_view message) {
  HybridTime now = hooks.Now ? hooks.Now() : HybridTime{};
  std::string out;
  out.reserve(TimestampBytes + message.size());
  putNumber(out, now.Wall, WallTimeBytes);
  putNumber(out, now.Logical, TimestampBytes - WallTimeBytes);
  return out.append(message);
}

std::optional<std::string_view> stripTimestamp(const HybridClockHooks &hooks,
                                               std::string_view bytes,
                                               Error &reason) {
  if (bytes.size() < TimestampBytes) {
    reason = {ErrorKind::ProtocolError, "message without its time", {}};
    return std::nullopt;
  }
  HybridTime sent;
  sent.Wall = getNumber(bytes.substr(0, WallTimeBytes));
  sent.Logical = static_cast<uint32_t>(
      getNumber(bytes.substr(WallTimeBytes, TimestampBytes - WallTimeBytes)));
  if (hooks.Observe)
    hooks.Observe(sent);
  return bytes.substr(TimestampBytes);
}

} // namespace daisytack::wire
