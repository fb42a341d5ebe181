#include "serve/caller_request.h"

#include "serve/caller_prompt.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace daisytack::entry {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

bool equalIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return std::tolower(static_cast<unsigned char>(x)) ==
           std::tolower(static_cast<unsigned char>(y));
  });
}

std::nullopt_t reject(Error &reason, ErrorKind kind, std::string detail) {
  reason = {kind, std::move(detail)};
  return std::nullopt;
}

/// Reads the time that the caller allows, at most `maximum`, which also applies
/// when the header is absent.
std::optional<Duration> readDeadline(std::string_view text, Duration maximum,
                                     Error &reason) {
  if (text.empty())
    return maximum;
  uint32_t millis = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), millis);
  if (ec != std::errc() || end != text.data() + text.size() || millis == 0)
    return reject(reason, ErrorKind::BadRequest,
                  "X-Daisytack-Deadline-Ms is not a positive whole number");
  return std::min<Duration>(std::chrono::milliseconds(millis), maximum);
}

/// Reads the fields that prompts and service calls have in common.
std::optional<RequestSpec> readCommonFields(const CallerInput &input,
                                            const CallerContext &context,
                                            Error &reason) {
  const RequestClass *it = context.Config.requestClass(input.Class);
  if (it == nullptr)
    return reject(reason, ErrorKind::UnknownClass, std::string(input.Class));
  if (input.IdempotencyKey.size() > context.Limits.MaxKeyBytes)
    return reject(reason, ErrorKind::HeaderTooLarge,
                  "Idempotency-Key is too long");
  RequestSpec out;
  out.Arrived = context.Now;
  out.Offer.Organisation = context.Caller.Name;
  out.Offer.Weight = context.Caller.Weight;
  out.Offer.Class = it->Name;
  out.Offer.Priority =
      static_cast<uint8_t>(std::min<uint32_t>(it->Priority, 9));
  out.Offer.Idempotent = it->Idempotent;
  out.Offer.Keep = static_cast<uint8_t>(it->Keep);
  return out;
}

/// Rejects a request whose deadline expires before its class releases answers.
bool checkReleaseTime(const RequestClass &requestClass, Duration left,
                      WallTime now, Error &reason) {
  if (!requestClass.ReleaseAt || *requestClass.ReleaseAt <= now + left)
    return true;
  reason = {ErrorKind::DeadlineTooShort,
            "the class releases its answers after this deadline"};
  return false;
}

} // namespace

std::optional<std::string_view> bearerKey(std::string_view authorization) {
  if (authorization.size() <= BearerPrefix.size() ||
      !equalIgnoringCase(authorization.substr(0, BearerPrefix.size()),
                         BearerPrefix))
    return std::nullopt;
  return authorization.substr(BearerPrefix.size());
}

std::optional<PromptRequest> readPrompt(const CallerInput &input,
                                        const CallerContext &context, bool chat,
                                        Error &reason) {
  std::optional<RequestSpec> out = readCommonFields(input, context, reason);
  if (!out)
    return std::nullopt;
  std::optional<Prompt> prompt = parsePrompt(input.Body, chat, reason);
  if (!prompt)
    return std::nullopt;
  const Model *model = context.Config.model(prompt->Model);
  if (model == nullptr)
    return reject(reason, ErrorKind::UnknownModel, prompt->Model);
  uint32_t tokens = estimateTokens(prompt->Text.size());
  if (tokens > context.Limits.MaxPromptTokens)
    return reject(reason, ErrorKind::BodyTooLarge, "the prompt is too long");
  uint32_t maxTokens =
      prompt->MaxTokens.value_or(context.Limits.DefaultMaxTokens);
  if (maxTokens == 0 || maxTokens > context.Limits.MaxTokens)
    return reject(reason, ErrorKind::BadRequest,
                  "max_tokens is not in 1.." +
                      std::to_string(context.Limits.MaxTokens));

  const RequestClass &requestClass =
      *context.Config.requestClass(out->Offer.Class);
  std::optional<Duration> allowed =
      readDeadline(input.DeadlineMs, requestClass.Deadline, reason);
  if (!allowed ||
      !checkReleaseTime(requestClass, *allowed, context.Wall, reason))
    return std::nullopt;
  out->Deadline = context.Now + *allowed;
  out->Stream = prompt->Stream;
  out->Offer.Model = model->Name;
  out->Offer.PromptTokens = tokens;
  out->Offer.MaxTokens = maxTokens;
  out->Offer.Chat = chat;
  out->Offer.Body = input.Body;
  return PromptRequest{std::move(*out), std::move(prompt->Text)};
}

std::optional<RequestSpec>
readServiceCall(const CallerInput &input, const CallerContext &context,
                std::string_view service,
                std::vector<wire::HeaderField> headers, Error &reason) {
  const PlainService *it = context.Config.service(service);
  if (it == nullptr)
    return reject(reason, ErrorKind::UnknownService, std::string(service));
  std::optional<RequestSpec> out = readCommonFields(input, context, reason);
  if (!out)
    return std::nullopt;
  std::optional<Duration> allowed =
      readDeadline(input.DeadlineMs, it->Deadline, reason);
  if (!allowed)
    return std::nullopt;
  out->Deadline = context.Now + *allowed;
  out->Offer.Idempotent = it->Idempotent;
  out->Offer.Keep = static_cast<uint8_t>(KeepRule::Never);
  out->Offer.Body = input.Body;
  out->Service = it->Name;
  out->Offer.Call = {std::string(input.Method), std::string(input.Target),
                     std::move(headers)};
  return out;
}

std::string promptText(const wire::Offer &offer) {
  Error ignored;
  if (!offer.Call.Method.empty())
    return {};
  std::optional<Prompt> prompt = parsePrompt(offer.Body, offer.Chat, ignored);
  return prompt ? std::move(prompt->Text) : std::string();
}

void setPieceKeys(wire::Offer &offer, PieceScope &scope, const Snapshot &config,
                  const PieceKeyer &keyer, std::string_view text) {
  const Model *model = config.model(offer.Model);
  const Organisation *organisation = config.organisation(offer.Organisation);
  if (model == nullptr || organisation == nullptr)
    return;
  ReusePolicy policy = config.policy(offer.Organisation, offer.Class);
  offer.KeepMicros = static_cast<uint64_t>(policy.KeepFor.count());
  offer.KeptQuota = keptQuota(*organisation, policy);
  offer.Version = model->Version;
  offer.Pieces.clear();
  scope = scopeOf(policy, *model);
  if (mayReuse(policy))
    offer.Pieces = keyer.keys(scope, text);
}

void refreshPieceKeys(wire::Offer &offer, PieceScope scope,
                      const Snapshot &config, const PieceKeyer &keyer) {
  const Model *model = config.model(offer.Model);
  ReusePolicy policy = config.policy(offer.Organisation, offer.Class);
  if (model == nullptr || scopeOf(policy, *model) == scope)
    return;
  setPieceKeys(offer, scope, config, keyer, promptText(offer));
}

bool isForwardedHeader(std::string_view headerName) {
  static constexpr std::array<std::string_view, 14> NotForwarded{
      "authorization",
      "connection",
      "content-length",
      "expect",
      "host",
      "idempotency-key",
      "keep-alive",
      "proxy-connection",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade",
      "proxy-authorization",
      "last-event-id"};
  constexpr std::string_view OwnPrefix = "x-daisytack-";
  if (headerName.size() >= OwnPrefix.size() &&
      equalIgnoringCase(headerName.substr(0, OwnPrefix.size()), OwnPrefix))
    return false;
  return std::none_of(
      NotForwarded.begin(), NotForwarded.end(),
      [&](std::string_view it) { return equalIgnoringCase(it, headerName); });
}

} // namespace daisytack::entry
