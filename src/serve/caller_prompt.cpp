#include "serve/caller_prompt.h"

#include "context/piece_key.h"

#include <boost/json.hpp>

#include <limits>
#include <vector>

namespace daisytack::entry {

namespace json = boost::json;

namespace {

constexpr size_t MaxDepth = 32; ///< Nesting levels of a JSON body.

bool reject(Error &reason, std::string detail) {
  reason = {ErrorKind::BadRequest, std::move(detail)};
  return false;
}

/// Reads the content of a message: a string, or a list of text parts, which are
/// concatenated.
bool readContent(const json::value *value, std::string &out) {
  if (value == nullptr)
    return false;
  if (const json::string *text = value->if_string()) {
    out.assign(text->data(), text->size());
    return true;
  }
  const json::array *parts = value->if_array();
  if (parts == nullptr)
    return false;
  for (const json::value &part : *parts) {
    const json::object *object = part.if_object();
    const json::value *text = object ? object->if_contains("text") : nullptr;
    if (text == nullptr || !text->is_string())
      return false;
    out.append(text->get_string().data(), text->get_string().size());
  }
  return true;
}

bool readMessages(const json::object &body, std::string &out, Error &reason) {
  const json::value *value = body.if_contains("messages");
  const json::array *list = value ? value->if_array() : nullptr;
  if (list == nullptr || list->empty())
    return reject(reason, "messages is not a list of messages");
  std::vector<ChatMessage> messages;
  for (const json::value &item : *list) {
    const json::object *object = item.if_object();
    const json::value *role = object ? object->if_contains("role") : nullptr;
    ChatMessage message;
    if (role == nullptr || !role->is_string() ||
        !readContent(object->if_contains("content"), message.Content))
      return reject(reason, "a message lacks role or content as text");
    message.Role.assign(role->get_string().data(), role->get_string().size());
    messages.push_back(std::move(message));
  }
  out = canonicalText(messages);
  return true;
}

bool readText(const json::object &body, std::string &out, Error &reason) {
  const json::value *value = body.if_contains("prompt");
  const json::array *list = value ? value->if_array() : nullptr;
  if (list != nullptr && list->size() == 1)
    value = &list->front();
  const json::string *text = value ? value->if_string() : nullptr;
  if (text == nullptr)
    return reject(reason, "prompt is not a text");
  out.assign(text->data(), text->size());
  return true;
}

bool readMaxTokens(const json::object &body, Prompt &out, Error &reason) {
  for (const char *name : {"max_tokens", "max_completion_tokens"}) {
    const json::value *value = body.if_contains(name);
    if (value == nullptr || value->is_null())
      continue;
    json::error_code ec;
    auto number = value->to_number<int64_t>(ec);
    if (ec || number < 1 || number > std::numeric_limits<uint32_t>::max())
      return reject(reason, std::string(name) + " is not a positive number");
    out.MaxTokens = static_cast<uint32_t>(number);
  }
  return true;
}

bool readFields(const json::object &body, bool chat, Prompt &out,
                Error &reason) {
  const json::value *model = body.if_contains("model");
  if (model == nullptr || !model->is_string() || model->get_string().empty())
    return reject(reason, "model is missing");
  out.Model.assign(model->get_string().data(), model->get_string().size());
  if (const json::value *stream = body.if_contains("stream")) {
    if (!stream->is_bool())
      return reject(reason, "stream is not true or false");
    out.Stream = stream->get_bool();
  }
  const json::value *n = body.if_contains("n");
  if (n != nullptr && !n->is_null() && *n != 1)
    return reject(reason, "n is not 1: one answer is given to one request");
  if (!readMaxTokens(body, out, reason))
    return false;
  if (!(chat ? readMessages(body, out.Text, reason)
             : readText(body, out.Text, reason)))
    return false;
  return !out.Text.empty() || reject(reason, "the prompt is empty");
}

} // namespace

std::optional<Prompt> parsePrompt(std::string_view body, bool chat,
                                  Error &reason) {
  json::parse_options options;
  options.max_depth = MaxDepth;
  json::error_code ec;
  json::monotonic_resource memory;
  json::value value =
      json::parse({body.data(), body.size()}, ec, &memory, options);
  const json::object *object = ec ? nullptr : value.if_object();
  if (object == nullptr) {
    reject(reason, ec ? "the body is not JSON: " + ec.message()
                      : "the body is not a JSON object");
    return std::nullopt;
  }
  Prompt out;
  if (!readFields(*object, chat, out, reason))
    return std::nullopt;
  return out;
}

} // namespace daisytack::entry
