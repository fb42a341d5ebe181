/// Validates callers' HTTP requests and converts them to a RequestSpec. Free of
/// I/O: the entry passes in the parts of the HTTP request.
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

/// The parts of an HTTP request that are read here, as views into the request.
/// A header that is absent is an empty view.
struct CallerInput {
  std::string_view Method;
  std::string_view Target;     ///< Path and query; for a plain service the part
                               ///< after /services/<name>.
  std::string_view Class;      ///< Value of X-Daisytack-Class.
  std::string_view DeadlineMs; ///< Value of X-Daisytack-Deadline-Ms.
  std::string_view IdempotencyKey; ///< Value of Idempotency-Key.
  std::string_view LastEventId;    ///< Value of Last-Event-ID.
  std::string_view Body;
};

/// Limits on callers' requests, from section [requests] of the settings.
struct CallerLimits {
  uint32_t DefaultMaxTokens = 256; ///< For a prompt that states no limit.
  /// Highest limit that a prompt may state for its answer.
  uint32_t MaxTokens = 32'768;
  uint32_t MaxPromptTokens = 1U << 20; ///< Longest prompt, by estimate.
  size_t MaxKeyBytes = 512;            ///< Longest Idempotency-Key.
};

/// Configuration, caller and time that a request is validated against.
struct CallerContext {
  const Snapshot &Config;
  const Organisation &Caller;
  const CallerLimits &Limits;
  TimePoint Now;
  WallTime Wall; ///< Current wall clock time.
};

/// Key of an Authorization header "Bearer KEY"; std::nullopt for any other
/// value.
std::optional<std::string_view> bearerKey(std::string_view authorization);

/// A validated prompt, with the text from which its piece keys are derived.
struct PromptRequest {
  RequestSpec Spec;
  std::string Text;
};

/// Validates a prompt (POST /v1/completions, or /v1/chat/completions if `chat`
/// is set). Piece keys are set later by setPieceKeys, because long prompts are
/// hashed off the I/O threads.
std::optional<PromptRequest> readPrompt(const CallerInput &input,
                                        const CallerContext &context, bool chat,
                                        Error &reason);

/// Validates a call to a plain service. `headers` are the end-to-end headers,
/// which are forwarded.
std::optional<RequestSpec>
readServiceCall(const CallerInput &input, const CallerContext &context,
                std::string_view service,
                std::vector<wire::HeaderField> headers, Error &reason);

/// Prompt text of an offer, as used for its piece keys; empty for a service
/// call.
std::string promptText(const wire::Offer &offer);

/// Sets an offer's model version, keep rule, quota of kept context, piece keys
/// and their scope from the configuration and the prompt's text.
void setPieceKeys(wire::Offer &offer, PieceScope &scope, const Snapshot &config,
                  const PieceKeyer &keyer, std::string_view text);
/// Updates the piece keys of an offer for a later attempt. Does nothing unless
/// the configuration has changed the scope since the keys were set.
void refreshPieceKeys(wire::Offer &offer, PieceScope scope,
                      const Snapshot &config, const PieceKeyer &keyer);

/// True if a header of a service call is forwarded to the service; false for
/// headers of the connection and those addressed to daisytack.
bool isForwardedHeader(std::string_view headerName);

} // namespace daisytack::entry
