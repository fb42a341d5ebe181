/// Encoding and decoding of the JSON of the engine's protocol. Pure functions.
#pragma once

#include "serve/agent_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::edge {

/// The caller's JSON with request_id, priority, pieces, resume_text and stream
/// set. Sets BadRequest as the reason when the body is not a JSON object.
std::optional<std::string> engineRequestBody(const serve::StartRun &start,
                                             Error &reason);

/// One event of the engine's response stream.
struct EngineStreamEvent {
  serve::RunToken Answer; ///< Run that the event belongs to; invalid when the
                          ///< event names none.
  std::optional<uint32_t> Sequence;
  std::string Text;
  bool HasText = false;
  std::string FinishReason;
  bool HasUsage = false;
  uint32_t PromptTokens = 0;
  uint32_t CachedTokens = 0;
  uint32_t CompletionTokens = 0;
  std::string Failure; ///< The engine's error message; empty when the event is
                       ///< not an error.
};

/// Returns nullopt when the data is not a JSON object.
std::optional<EngineStreamEvent> parseEngineStreamEvent(std::string_view data);

std::optional<serve::EngineStatus> parseEngineStatus(std::string_view body);
std::optional<serve::CacheEvents> parseCacheEvents(std::string_view body,
                                                   uint64_t from);
std::string orderBody(const serve::SendOrder &order, const Endpoint &weights);
/// Fencing token in the rejection of an order; 0 when it contains none.
uint64_t parseFence(std::string_view body);

} // namespace daisytack::edge
