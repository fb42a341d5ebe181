/// What authenticates a framed connection: the hello of each side, the session
/// keys derived from both, and the code that ends every frame. No sockets.
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
/// A hello comes from a stranger, so it is bounded far below a frame.
constexpr size_t MaxFrameHelloBytes = 512;

using FrameNonce = std::array<uint8_t, FrameNonceBytes>;

/// Which side of the connection speaks.
enum class FrameRole : uint8_t { Connector, Acceptor };

/// First frame of each side, not yet authenticated.
struct FrameHello {
  FrameRole Role = FrameRole::Connector;
  FrameNonce Nonce{};
  std::string KeyId; ///< Key that signs what this side sends.
  bool operator==(const FrameHello &) const = default;
};

std::string encodeFrameHello(const FrameHello &hello);
/// Nothing when the bytes are no hello of this protocol version.
std::optional<FrameHello> decodeFrameHello(std::string_view bytes,
                                           Error &reason);

/// Key of one direction of one connection. Both hellos go into it, so a frame
/// of another connection, or one sent back to its sender, never verifies.
std::string frameSessionKey(std::string_view secret, FrameRole sender,
                            const FrameHello &connector,
                            const FrameHello &acceptor);

using FrameMacValue = std::array<uint8_t, FrameMacBytes>;

/// Computes the codes of one direction. The sequence number is implied, so a
/// frame that was repeated, left out or moved does not verify. Not thread-safe.
class FrameMac {
public:
  explicit FrameMac(std::string_view sessionKey);
  ~FrameMac();
  FrameMac(const FrameMac &) = delete;
  FrameMac &operator=(const FrameMac &) = delete;

  /// Code of the next frame in order.
  FrameMacValue sign(std::string_view payload);
  /// Whether the code is the next frame's; counts the frame when it is.
  bool verify(std::string_view payload, std::string_view mac);

private:
  FrameMacValue compute(std::string_view payload) const;

  struct Context;
  std::unique_ptr<Context> KeyedContext;
  uint64_t Sequence = 0;
};

/// Big-endian length before every frame.
void appendFrameLength(std::string &out, size_t length);
size_t readFrameLength(std::string_view bytes);

} // namespace daisytack::net
