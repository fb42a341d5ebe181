/// JSON bodies of answers to callers in the OpenAI format: complete responses
/// and the data of streamed events.
#pragma once

#include "daisytack/types.h"
#include "serve/request_messages.h"

#include <string>
#include <string_view>

namespace daisytack::entry {

/// Fields that every body of one answer repeats.
struct AnswerIdentity {
  RequestId Id;
  std::string Model;
  bool Chat = false;
  int64_t Created = 0; ///< Seconds since the Unix epoch.
  auto operator<=>(const AnswerIdentity &) const = default;
};

/// Body of a complete, non-streamed response.
std::string wholeAnswerJson(const AnswerIdentity &name,
                            const WholeAnswer &answer);
/// Data of one streamed event. The first event of a chat also carries the role.
std::string answerPartJson(const AnswerIdentity &name, std::string_view text,
                           bool isFirst);
/// Data of the last event before "[DONE]", with the finish reason and token
/// usage.
std::string answerEndJson(const AnswerIdentity &name,
                          const AnswerSummary &summary);

} // namespace daisytack::entry
