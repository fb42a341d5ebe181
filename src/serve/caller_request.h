/// What a caller sends, checked and turned into a request that an entry can
/// pursue. Pure: the shell passes the parts of the HTTP request.
#pragma once

#include "context/piece_key.h"
#include "control/snapshot.h"
#include "daisytack/error.h"
#include "serve/request_spec.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daisytack::entry {

/// The parts of an HTTP request that matter here. Views into the request.
struct CallerInput {
  std::string_view Method;
  std::string_view Target;     ///< Path and query, below /services/<name> for a
                               ///< plain service.
  std::string_view Class;      ///< X-Daisytack-Class.
  std::string_view DeadlineMs; ///< X-Daisytack-Deadline-Ms.
  std::string_view IdempotencyKey; ///< Idempotency-Key.
  std::string_view LastEventId;    ///< Last-Event-ID.
  std::string_view Body;
};

/// Bounds on what callers may ask, section [requests].
struct CallerLimits {
  uint32_t DefaultMaxTokens = 256;
  uint32_t MaxTokens = 32'768; ///< Of one answer.
  uint32_t MaxPromptTokens = 1U << 20;
  size_t MaxKeyBytes = 512; ///< Of an Idempotency-Key.
};

/// What the checks work with.
struct CallerContext {
  const Snapshot &Config;
  const Organisation &Caller;
  const CallerLimits &Limits;
  TimePoint Now;
  WallTime Wall;
};

/// "Bearer KEY": the key; nothing for any other header.
std::optional<std::string_view> bearerKey(std::string_view authorization);

/// A prompt that was read, with its text for the piece keys.
struct PromptRequest {
  RequestSpec Spec;
  std::string Text;
};

/// A prompt (POST /v1/completions or, with chat, /v1/chat/completions). Piece
/// keys are left to setPieceKeys, as long prompts are hashed off the I/O
/// threads.
std::optional<PromptRequest> readPrompt(const CallerInput &input,
                                        const CallerContext &context, bool chat,
                                        Error &reason);

/// A call to a plain service; end-to-end headers are passed on.
std::optional<RequestSpec>
readServiceCall(const CallerInput &input, const CallerContext &context,
                std::string_view service,
                std::vector<wire::HeaderField> headers, Error &reason);

/// Text of an offer's prompt as the piece keys name it; empty for a service.
std::string promptText(const wire::Offer &offer);

/// Sets version, keep rule and piece keys by the configuration, from the
/// prompt's text.
void setPieceKeys(wire::Offer &offer, PieceScope &scope, const Snapshot &config,
                  const PieceKeyer &keyer, std::string_view text);
/// The same for a later attempt: reads the text again when the configuration
/// has changed the keys, and does nothing otherwise.
void refreshPieceKeys(wire::Offer &offer, PieceScope scope,
                      const Snapshot &config, const PieceKeyer &keyer);

/// Headers that concern one connection, or daisytack, and are not passed on.
bool isForwardedHeader(std::string_view headerName);

} // namespace daisytack::entry
