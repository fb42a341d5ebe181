/// The JSON body of a prompt: OpenAI-shaped completions and chat completions.
#pragma once

#include "daisytack/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace daisytack::entry {

/// What the system reads of a prompt; the engine gets the whole body.
struct Prompt {
  std::string Model;
  std::string Text; ///< Of a chat, the canonical text of its messages.
  std::optional<uint32_t> MaxTokens;
  bool Stream = false;
  bool operator==(const Prompt &) const = default;
};

/// BadRequest with what is wrong when the body is not such a prompt.
std::optional<Prompt> parsePrompt(std::string_view body, bool chat,
                                  Error &reason);

} // namespace daisytack::entry
