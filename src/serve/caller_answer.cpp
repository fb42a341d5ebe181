#include "serve/caller_answer.h"

#include <boost/json.hpp>

#include <algorithm>

namespace daisytack::entry {

namespace json = boost::json;

namespace {

json::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

json::object head(const AnswerName &name, bool isPart) {
  std::string_view prefix = name.Chat ? "chatcmpl-" : "cmpl-";
  const char *kind = "text_completion";
  if (name.Chat)
    kind = isPart ? "chat.completion.chunk" : "chat.completion";
  json::object out;
  out["id"] = std::string(prefix) + toHex(name.Id);
  out["object"] = kind;
  out["created"] = name.Created;
  out["model"] = view(name.Model);
  return out;
}

json::value finishReason(const AnswerSummary &summary) {
  return summary.FinishReason.empty() ? json::value("stop")
                                      : json::value(view(summary.FinishReason));
}

json::object usage(const AnswerSummary &summary) {
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

std::string wholeAnswerJson(const AnswerName &name, const AnswerWhole &answer) {
  json::object choice{{"index", 0}};
  if (name.Chat)
    choice["message"] =
        json::object{{"role", "assistant"}, {"content", view(answer.Text)}};
  else
    choice["text"] = view(answer.Text);
  choice["finish_reason"] = finishReason(answer.Summary);
  json::object out = head(name, false);
  out["choices"] = json::array{std::move(choice)};
  out["usage"] = usage(answer.Summary);
  return json::serialize(out);
}

std::string answerPartJson(const AnswerName &name, std::string_view text,
                           bool isFirst) {
  json::object choice{{"index", 0}};
  if (name.Chat) {
    json::object delta;
    if (isFirst)
      delta["role"] = "assistant";
    delta["content"] = view(text);
    choice["delta"] = std::move(delta);
  } else {
    choice["text"] = view(text);
  }
  choice["finish_reason"] = nullptr;
  json::object out = head(name, true);
  out["choices"] = json::array{std::move(choice)};
  return json::serialize(out);
}

std::string answerEndJson(const AnswerName &name,
                          const AnswerSummary &summary) {
  json::object choice{{"index", 0}};
  if (name.Chat)
    choice["delta"] = json::object();
  else
    choice["text"] = "";
  choice["finish_reason"] = finishReason(summary);
  json::object out = head(name, true);
  out["choices"] = json::array{std::move(choice)};
  out["usage"] = usage(summary);
  return json::serialize(out);
}

} // namespace daisytack::entry
