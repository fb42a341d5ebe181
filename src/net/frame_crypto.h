/// Authentication of framed connections, without sockets: the hello message of
/// each side, the session keys derived from both hellos, and the message
/// authentication code (MAC) at the end of every frame.
#pragma once

#include "net/frame_link.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack::net {

constexpr size_t FrameNonceBytes = 16;
constexpr size_t FrameMacBytes = 16; ///< HMAC-SHA256, truncated.
constexpr size_t FrameLengthBytes = 4;
/// A hello comes from an unauthenticated peer, so its limit is far below that
/// of a frame.
constexpr size_t MaxFrameHelloBytes = 512;

using FrameNonce = std::array<uint8_t, FrameNonceBytes>;

/// Side of the connection that sent a message.
enum class FrameRole : uint8_t { Connector, Acceptor };

/// First frame of each side; sent without authentication.
struct FrameHello {
  FrameRole Role = FrameRole::Connector;
  FrameNonce Nonce{};
  std::string KeyId; ///< Key used to sign this side's frames.
  bool operator==(const FrameHello &) const = default;
};

std::string encodeFrameHello(const FrameHello &hello);
/// Returns nullopt with the reason if the bytes are not a valid hello of this
/// protocol version.
std::optional<FrameHello> decodeFrameHello(std::string_view bytes,
                                           Error &reason);

/// Derives the key for one direction of one connection. The sender's role and
/// both hellos are part of the input, so a frame that is replayed on another
/// connection or reflected to its sender does not verify.
std::string frameSessionKey(std::string_view secret, FrameRole sender,
                            const FrameHello &connector,
                            const FrameHello &acceptor);

using FrameMacValue = std::array<uint8_t, FrameMacBytes>;

/// Computes the MACs of one direction. Each MAC covers an implicit sequence
/// number that is not transmitted, so a frame that was repeated, dropped or
/// reordered does not verify. Not thread-safe.
class FrameMac {
public:
  explicit FrameMac(std::string_view sessionKey);
  ~FrameMac();
  FrameMac(const FrameMac &) = delete;
  FrameMac &operator=(const FrameMac &) = delete;

  /// Returns the MAC of the next frame and increments the sequence number.
  FrameMacValue sign(std::string_view payload);
  /// Checks the MAC of the next frame; increments the sequence number only if
  /// it is correct.
  bool verify(std::string_view payload, std::string_view mac);

private:
  FrameMacValue compute(std::string_view payload) const;

  struct Context;
  std::unique_ptr<Context> KeyedContext;
  uint64_t Sequence = 0;
};

/// Appends the big-endian length that precedes every frame.
void appendFrameLength(std::string &out, size_t length);
size_t readFrameLength(std::string_view bytes);

} // namespace daisytack::net
