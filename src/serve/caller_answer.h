/// What callers are sent: OpenAI-shaped JSON, whole or as data of events.
#pragma once

#include "daisytack/types.h"
#include "serve/request_messages.h"

#include <string>
#include <string_view>

namespace daisytack::entry {

/// Names an answer in every body.
struct AnswerName {
  RequestId Id;
  std::string Model;
  bool Chat = false;
  int64_t Created = 0; ///< Seconds since the Unix epoch.
  auto operator<=>(const AnswerName &) const = default;
};

std::string wholeAnswerJson(const AnswerName &name, const AnswerWhole &answer);
/// Data of one streamed event. The first one of a chat carries the role.
std::string answerPartJson(const AnswerName &name, std::string_view text,
                           bool isFirst);
/// Data of the last event before "[DONE]", with usage.
std::string answerEndJson(const AnswerName &name, const AnswerSummary &summary);

} // namespace daisytack::entry
