#include "serve/caller_answer.h"

#include <boost/json.hpp>

#include <algorithm>

namespace daisytack::entry {

namespace json = boost::json;

namespace {

json::string_view toJsonView(std::string_view text) {
  return {text.data(), text.size()};
}

json::object commonFields(const AnswerIdentity &name, bool isChunk) {
  std::string_view prefix = name.Chat ? "chatcmpl-" : "cmpl-";
  const char *kind = "text_completion";
  if (name.Chat)
    kind = isChunk ? "chat.completion.chunk" : "chat.completion";
  json::object out;
  out["id"] = std::string(prefix) + toHex(name.Id);
  out["object"] = kind;
  out["created"] = name.Created;
  out["model"] = toJsonView(name.Model);
  return out;
}

json::value finishReasonJson(const AnswerSummary &summary) {
  return summary.FinishReason.empty()
             ? json::value("stop")
             : json::value(toJsonView(summary.FinishReason));
}

json::object usageJson(const AnswerSummary &summary) {
  uint32_t cached = summary.PromptTokens -
                    std::min(summary.PromptTokens, summary.RecomputedTokens);
  json::object out;
  out["prompt_tokens"] = summary.PromptTokens;
  out["completion_tokens"] = summary.GeneratedTokens;
  out["total_tokens"] =
      uint64_t{summary.PromptTokens} + summary.GeneratedTokens;
  out["prompt_tokens_details"] = json::object{{"cached_tokens", cached}};
  out["first_token_us"] = summary.FirstToken.count();
  return out;
}

} // namespace

std::string wholeAnswerJson(const AnswerIdentity &name,
                            const WholeAnswer &answer) {
  json::object choice{{"index", 0}};
  if (name.Chat)
    choice["message"] = json::object{{"role", "assistant"},
                                     {"content", toJsonView(answer.Text)}};
  else
    choice["text"] = toJsonView(answer.Text);
  choice["finish_reason"] = finishReasonJson(answer.Summary);
  json::object out = commonFields(name, false);
  out["choices"] = json::array{std::move(choice)};
  out["usage"] = usageJson(answer.Summary);
  return json::serialize(out);
}

std::string answerPartJson(const AnswerIdentity &name, std::string_view text,
                           bool isFirst) {
  json::object choice{{"index", 0}};
  if (name.Chat) {
    json::object delta;
    if (isFirst)
      delta["role"] = "assistant";
    delta["content"] = toJsonView(text);
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = toJsonView(text);
  }
  choice["finish_reason"] = nullptr;
  json::object out = commonFields(name, true);
  out["choices"] = json::array{std::move(choice)};
  return json::serialize(out);
}

std::string answerEndJson(const AnswerIdentity &name,
                          const AnswerSummary &summary) {
  json::object choice{{"index", 0}};
  if (name.Chat)
    choice["delta"] = json::object();
  else
    choice["text"] = "";
  choice["finish_reason"] = finishReasonJson(summary);
  json::object out = commonFields(name, true);
  out["choices"] = json::array{std::move(choice)};
  out["usage"] = usageJson(summary);
  return json::serialize(out);
}

} // namespace daisytack::entry
