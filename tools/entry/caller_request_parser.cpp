#include "caller_request_parser.h"

#include "base/clock.h"
#include "serve/caller_prompt.h"

#include <utility>

namespace daisytack::entry {

namespace {

constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view TicketsPath = "/v1/tickets";
constexpr std::string_view ServicesPrefix = "/services/";

CallerInput makeCallerInput(const net::HttpRequest &request) {
  CallerInput out;
  out.Method = request.Method;
  out.Class = request.header("X-Daisytack-Class");
  out.DeadlineMs = request.header("X-Daisytack-Deadline-Ms");
  out.IdempotencyKey = request.header("Idempotency-Key");
  out.LastEventId = request.header("Last-Event-ID");
  out.Body = request.Body;
  return out;
}

/// Splits "/services/NAME/REST" into NAME and "/REST", with the query string.
std::pair<std::string, std::string>
splitService(const net::HttpRequest &request) {
  std::string_view rest =
      std::string_view(request.Path).substr(ServicesPrefix.size());
  size_t slash = rest.find('/');
  std::string name(rest.substr(0, slash));
  std::string target(slash == std::string_view::npos ? "/"
                                                     : rest.substr(slash));
  if (!request.Query.empty())
    target += '?' + request.Query;
  return {std::move(name), std::move(target)};
}

std::vector<wire::HeaderField>
forwardedHeaders(const net::HttpRequest &request) {
  std::vector<wire::HeaderField> out;
  for (const net::HttpHeader &it : request.Headers)
    if (isForwardedHeader(it.Name))
      out.push_back({it.Name, it.Value});
  return out;
}

} // namespace

CallerRoute routeOf(std::string_view path) {
  if (path == CompletionsPath)
    return CallerRoute::Completions;
  if (path == ChatPath)
    return CallerRoute::Chat;
  if (path == TicketsPath)
    return CallerRoute::Tickets;
  return path.starts_with(ServicesPrefix) ? CallerRoute::Service
                                          : CallerRoute::Unknown;
}

std::optional<RequestSpec>
CallerRequestParser::parse(const net::HttpRequest &request, const RequestId &id,
                           TimePoint arrived, Error &reason) const {
  CallerRoute route = routeOf(request.Path);
  CallerInput input = makeCallerInput(request);
  CallerContext context{Config, Caller, State.Options.Limits, arrived,
                        wallNow()};
  std::optional<RequestSpec> out;
  if (route == CallerRoute::Service) {
    auto [service, target] = splitService(request);
    input.Target = target;
    out = readServiceCall(input, context, service, forwardedHeaders(request),
                          reason);
  } else if (!input.LastEventId.empty()) {
    return parseResume(request, arrived, reason);
  } else {
    std::optional<PromptRequest> prompt =
        readPrompt(input, context, route == CallerRoute::Chat, reason);
    if (!prompt)
      return std::nullopt;
    out = std::move(prompt->Spec);
    setPieceKeys(out->Offer, out->Scope, Config, State.Keyer, prompt->Text);
  }
  if (!out)
    return std::nullopt;
  out->Offer.Id = id;
  if (!input.IdempotencyKey.empty() && out->Offer.Idempotent) {
    out->Offer.Id = State.Ids.requestId(Caller.Name, input.IdempotencyKey);
    out->FirstAttempt = State.nextFirstAttempt();
  }
  return out;
}

std::optional<RequestSpec>
CallerRequestParser::parseResume(const net::HttpRequest &request,
                                 TimePoint arrived, Error &reason) const {
  std::optional<EventId> id =
      State.Ids.parseEventId(Caller.Name, request.header("Last-Event-ID"));
  if (!id) {
    reason = {ErrorKind::Forbidden,
              "Last-Event-ID was not given to this organisation"};
    return std::nullopt;
  }
  const RequestClass *requestClass =
      Config.requestClass(request.header("X-Daisytack-Class"));
  if (requestClass == nullptr) {
    reason = {ErrorKind::UnknownClass, ""};
    return std::nullopt;
  }
  RequestSpec out;
  out.Offer.Id = id->Request;
  out.Offer.Organisation = Caller.Name;
  out.Offer.Class = requestClass->Name;
  out.Offer.Chat = routeOf(request.Path) == CallerRoute::Chat;
  // The body is optional when a stream is resumed; if sent again, it gives the
  // model name.
  Error ignored;
  if (auto prompt = parsePrompt(request.Body, out.Offer.Chat, ignored))
    out.Offer.Model = prompt->Model;
  out.Stream = true;
  out.Arrived = arrived;
  out.Deadline = arrived + requestClass->Deadline;
  out.FirstAttempt = State.nextFirstAttempt();
  out.Resume = ResumePoint{id->Server, id->Index + 1};
  return out;
}

} // namespace daisytack::entry
