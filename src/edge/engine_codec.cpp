#include "edge/engine_codec.h"

#include "edge/json_fields.h"

#include <boost/json.hpp>

#include <utility>

namespace daisytack::edge {

namespace json = boost::json;

namespace {

double numberOf(const json::object &object, std::string_view key) {
  const json::value *value = object.if_contains(key);
  if (!value || !value->is_number())
    return 0;
  boost::system::error_code ec;
  double out = value->to_number<double>(ec);
  return ec ? 0 : out;
}

uint32_t smallCountOf(const json::object &object, std::string_view key) {
  return static_cast<uint32_t>(
      std::min<uint64_t>(countOf(object, key), UINT32_MAX));
}

bool flagOf(const json::object &object, std::string_view key) {
  const json::value *value = object.if_contains(key);
  return value && value->is_bool() && value->get_bool();
}

const json::object *objectOf(const json::object &object, std::string_view key) {
  const json::value *value = object.if_contains(key);
  return value ? value->if_object() : nullptr;
}

void readText(const json::object &object, std::string_view key,
              EngineStreamEvent &out) {
  const json::value *text = object.if_contains(key);
  if (!text || !text->is_string())
    return;
  out.Text.assign(text->get_string().data(), text->get_string().size());
  out.HasText = !out.Text.empty();
}

void readChoice(const json::object &choice, EngineStreamEvent &out) {
  readText(choice, "text", out);
  if (const json::object *delta = objectOf(choice, "delta"))
    readText(*delta, "content", out);
  out.FinishReason = textOf(choice, "finish_reason");
}

void readUsage(const json::object &usage, EngineStreamEvent &out) {
  out.HasUsage = true;
  out.PromptTokens = smallCountOf(usage, "prompt_tokens");
  out.CachedTokens = smallCountOf(usage, "cached_tokens");
  out.CompletionTokens = smallCountOf(usage, "completion_tokens");
}

std::optional<CacheEventKind> cacheEventKind(std::string_view name) {
  if (name == "stored")
    return CacheEventKind::Stored;
  if (name == "evicted")
    return CacheEventKind::Evicted;
  if (name == "cleared")
    return CacheEventKind::Cleared;
  return std::nullopt;
}

std::string_view orderName(serve::OrderKind kind) {
  switch (kind) {
  case serve::OrderKind::LoadWeights:
    return "load_weights";
  case serve::OrderKind::LoadAdapter:
    return "load_adapter";
  case serve::OrderKind::SetRole:
    return "set_role";
  }
  return "";
}

} // namespace

std::optional<std::string> engineRequestBody(const serve::StartRun &start,
                                             Error &reason) {
  auto body = parseObject(start.Offer->Body);
  if (!body) {
    reason = {ErrorKind::BadRequest, "the body is no JSON object"};
    return std::nullopt;
  }
  json::object &out = *body;
  out["request_id"] = toString(start.Run);
  out["priority"] = start.Offer->Priority;
  out["stream"] = true;
  json::array pieces;
  for (const PieceKey &key : start.Offer->Pieces)
    pieces.emplace_back(toHex(key));
  out["pieces"] = std::move(pieces);
  out.erase("resume_text");
  if (!start.ResumeText.empty())
    out["resume_text"] = start.ResumeText;
  return json::serialize(out);
}

std::optional<EngineStreamEvent> parseEngineStreamEvent(std::string_view data) {
  unsigned char buffer[2048];
  json::monotonic_resource memory(buffer);
  auto object = parseObject(data, &memory);
  if (!object)
    return std::nullopt;
  EngineStreamEvent out;
  if (const json::value *id = object->if_contains("id"))
    if (id->is_string())
      out.Answer = serve::parseRunToken(std::string_view(id->get_string()))
                       .value_or(serve::RunToken());
  if (object->contains("sequence"))
    out.Sequence = smallCountOf(*object, "sequence");
  if (const json::value *choices = object->if_contains("choices"))
    if (choices->is_array() && !choices->get_array().empty())
      if (const json::object *choice = choices->get_array()[0].if_object())
        readChoice(*choice, out);
  if (const json::object *usage = objectOf(*object, "usage"))
    readUsage(*usage, out);
  if (const json::object *error = objectOf(*object, "error"))
    out.Failure = "engine: " + textOf(*error, "message");
  return out;
}

std::optional<serve::EngineStatus> parseEngineStatus(std::string_view body) {
  auto object = parseObject(body);
  if (!object)
    return std::nullopt;
  serve::EngineStatus out;
  out.Model = textOf(*object, "model");
  out.Version = textOf(*object, "version");
  out.Adapter = textOf(*object, "adapter");
  out.Loading = flagOf(*object, "loading");
  out.Role = textOf(*object, "role");
  out.Fence = countOf(*object, "fence");
  out.Running = smallCountOf(*object, "running");
  out.Waiting = smallCountOf(*object, "waiting");
  out.CachedPieces = smallCountOf(*object, "cached_pieces");
  out.CacheCapacity = smallCountOf(*object, "cache_capacity");
  out.PrefillTokensPerSecond = numberOf(*object, "prefill_tokens_per_second");
  out.DecodeTokensPerSecond = numberOf(*object, "decode_tokens_per_second");
  out.Started = countOf(*object, "started");
  return out;
}

std::optional<serve::CacheEvents> parseCacheEvents(std::string_view body,
                                                   uint64_t from) {
  auto object = parseObject(body);
  if (!object)
    return std::nullopt;
  serve::CacheEvents out;
  out.From = from;
  out.Next = countOf(*object, "next");
  const json::value *events = object->if_contains("events");
  if (!events || !events->is_array())
    return std::nullopt;
  for (const json::value &value : events->get_array()) {
    const json::object *event = value.if_object();
    if (!event)
      return std::nullopt;
    auto kind = cacheEventKind(textOf(*event, "kind"));
    if (!kind)
      return std::nullopt;
    auto piece = parsePieceKey(textOf(*event, "piece"));
    if (!piece && *kind != CacheEventKind::Cleared)
      return std::nullopt;
    out.Events.push_back(
        {countOf(*event, "sequence"), *kind, piece.value_or(PieceKey())});
  }
  return out;
}

std::string orderBody(const serve::SendOrder &order, const Endpoint &weights) {
  json::object out;
  out["kind"] = orderName(order.Kind);
  out["version"] = order.Version;
  out["adapter"] = order.Adapter;
  out["role"] = order.Role;
  out["fence"] = order.Fence;
  if (weights.isValid())
    out["weights"] = toString(weights);
  return json::serialize(out);
}

uint64_t parseFence(std::string_view body) {
  auto object = parseObject(body);
  return object ? countOf(*object, "fence") : 0;
}

} // namespace daisytack::edge
