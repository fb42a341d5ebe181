/// JSON of the engine's protocol. Pure.
#pragma once

#include "serve/agent_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack::edge {

/// The caller's JSON with request_id, priority, pieces, resume_text and
/// streaming set. BadRequest when the body is no JSON object.
std::optional<std::string> engineRequestBody(const serve::StartRun &start,
                                             Error &reason);

/// What one event of the engine's stream holds.
struct EngineStreamEvent {
  serve::RunToken Answer; ///< Invalid when the event names no run.
  std::optional<uint32_t> Sequence;
  std::string Text;
  bool HasText = false;
  std::string FinishReason;
  bool HasUsage = false;
  uint32_t PromptTokens = 0;
  uint32_t CachedTokens = 0;
  uint32_t CompletionTokens = 0;
  std::string Failure; ///< The engine's own error message.
};

/// Nothing when the data is no JSON object of that shape.
std::optional<EngineStreamEvent> parseEngineStreamEvent(std::string_view data);

std::optional<serve::EngineStatus> parseEngineStatus(std::string_view body);
std::optional<serve::CacheEvents> parseCacheEvents(std::string_view body,
                                                   uint64_t from);
std::string orderBody(const serve::SendOrder &order, const Endpoint &weights);
/// Fencing number in a refusal of an order; 0 when it names none.
uint64_t parseFence(std::string_view body);

} // namespace daisytack::edge
