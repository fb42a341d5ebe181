/// What callers are sent: OpenAI-shaped JSON, whole or as data of events.
#pragma once

#include "daisytack/types.h"
#include "serve/request_messages.h"

#include <string>
#include <string_view>

namespace daisytack::entry {

/// Names an answer in every body.
struct AnswerIdentity {
  RequestId Id;
  std::string Model;
  bool Chat = false;
  int64_t Created = 0; ///< Seconds since the Unix epoch.
  auto operator<=>(const AnswerIdentity &) const = default;
};

std::string wholeAnswerJson(const AnswerIdentity &name,
                            const WholeAnswer &answer);
/// Data of one streamed event. The first one of a chat carries the role.
std::string answerPartJson(const AnswerIdentity &name, std::string_view text,
                           bool isFirst);
/// Data of the last event before "[DONE]", with usage.
std::string answerEndJson(const AnswerIdentity &name,
                          const AnswerSummary &summary);

} // namespace daisytack::entry
