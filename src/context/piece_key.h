/// Keys of pieces of kept context: a prompt's text is cut into pieces of
/// PieceBytes, and each whole piece is named by a keyed cryptographic hash
/// chained over the scope, the pieces before it and its own bytes. Whoever does
/// not know the secret, or asks within another scope, cannot name a piece.
#pragma once

#include "context/reuse_policy.h"
#include "daisytack/types.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack {

/// Shortest secret that settings may give, in bytes.
constexpr size_t MinPieceSecretBytes = 32;

/// Derives piece keys. Immutable; may be shared between threads, each of which
/// reuses a digest context of its own.
class PieceKeyer {
public:
  /// The secret is the same in all processes of a deployment; changing it makes
  /// all kept context unreachable.
  explicit PieceKeyer(std::string_view secret);

  /// Keys of the whole pieces of the text, in order; the text's remainder, of
  /// less than PieceBytes, has none.
  std::vector<PieceKey> keys(const PieceScope &scope,
                             std::string_view text) const;

  /// Like keys, but at most that many leading pieces: routing needs few.
  std::vector<PieceKey> leadingKeys(const PieceScope &scope,
                                    std::string_view text,
                                    size_t maxPieces) const;

  /// The chain's start: names the scope alone.
  PieceKey root(const PieceScope &scope) const;

  /// The next link of the chain.
  PieceKey next(const PieceKey &parent, std::string_view content) const;

private:
  static constexpr size_t BlockBytes = 64; ///< Of SHA-256.
  using Block = std::array<uint8_t, BlockBytes>;

  PieceKey hmac(std::string_view tag, std::string_view head,
                std::string_view content) const;

  Block InnerKey{};
  Block OuterKey{};
};

/// One message of a chat prompt.
struct ChatMessage {
  std::string Role;
  std::string Content;
  auto operator<=>(const ChatMessage &) const = default;
};

/// Text of a chat prompt for keying. Distinct message lists have distinct
/// texts, and lists that begin alike have texts that begin alike, so that a
/// style guide in the system message is a shared prefix.
std::string canonicalText(std::span<const ChatMessage> messages);

/// Tokens that a text of so many bytes is taken for; at least 1 when there are
/// any bytes.
uint32_t estimateTokens(size_t bytes);

} // namespace daisytack
