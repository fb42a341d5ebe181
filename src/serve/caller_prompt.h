/// Parser of prompt bodies: completions and chat completions in the OpenAI JSON
/// format.
#pragma once

#include "daisytack/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack::entry {

/// The fields of a prompt that daisytack reads. The engine gets the whole body.
struct Prompt {
  std::string Model;
  /// Prompt text; for a chat, the canonical text of its messages.
  std::string Text;
  std::optional<uint32_t> MaxTokens; ///< Unset: the body states no limit.
  bool Stream = false;
  bool operator==(const Prompt &) const = default;
};

/// Parses a prompt, or a chat prompt if `chat` is set. Returns std::nullopt
/// with a BadRequest in `reason` if the body is invalid.
std::optional<Prompt> parsePrompt(std::string_view body, bool chat,
                                  Error &reason);

} // namespace daisytack::entry
