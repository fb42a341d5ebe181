/// Keys for pieces of kept context. A prompt's text is split into pieces of
/// PieceBytes. The key of each complete piece is an HMAC chained over the
/// scope, the preceding pieces and the piece's own bytes, so that nobody
/// without the secret, or within another scope, can compute it.
#pragma once

#include "context/reuse_policy.h"
#include "daisytack/types.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack {

/// Minimum length of the configured secret in bytes.
constexpr size_t MinPieceSecretBytes = 32;

/// Derives piece keys. Immutable and thread-safe; each thread reuses its own
/// digest context.
class PieceKeyer {
public:
  /// The secret must be the same in all processes of a deployment. Changing it
  /// makes all kept context unreachable.
  explicit PieceKeyer(std::string_view secret);

  /// Keys of the complete pieces of the text, in order. A remainder shorter
  /// than PieceBytes has no key.
  std::vector<PieceKey> keys(const PieceScope &scope,
                             std::string_view text) const;

  /// Like keys, but for at most maxPieces leading pieces, because routing needs
  /// only a few.
  std::vector<PieceKey> leadingKeys(const PieceScope &scope,
                                    std::string_view text,
                                    size_t maxPieces) const;

  /// Start of the chain, derived from the scope alone.
  PieceKey root(const PieceScope &scope) const;

  /// Key of the piece that follows the parent in the chain.
  PieceKey next(const PieceKey &parent, std::string_view content) const;

private:
  static constexpr size_t BlockBytes = 64; ///< Block size of SHA-256.
  using Block = std::array<uint8_t, BlockBytes>;

  /// HMAC-SHA-256 of the concatenated arguments.
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

/// Text of a chat prompt from which piece keys are derived. Different message
/// lists have different texts. Lists with the same first messages have texts
/// with the same prefix, so that prompts share a common system message.
std::string canonicalText(std::span<const ChatMessage> messages);

/// Estimated number of tokens in a text of the given length; 0 only for an
/// empty text.
uint32_t estimateTokens(size_t bytes);

} // namespace daisytack
