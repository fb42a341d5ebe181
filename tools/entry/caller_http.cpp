#include "caller_http.h"

#include "base/clock.h"
#include "base/digest.h"
#include "net/problem.h"
#include "serve/caller_prompt.h"

#include <utility>

namespace daisytack::entry {

namespace {

constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::string_view ChatPath = "/v1/chat/completions";
constexpr std::string_view ServicesPrefix = "/services/";
/// Threads that read long prompts.
constexpr int WorkerThreads = 4;
constexpr Duration DrainRetryAfter{1'000'000};
constexpr Duration OverloadRetryAfter{1'000'000};

bool isPromptPath(std::string_view path) {
  return path == CompletionsPath || path == ChatPath;
}

CallerInput inputOf(const net::HttpRequest &request) {
  CallerInput out;
  out.Method = request.Method;
  out.Class = request.header("X-Daisytack-Class");
  out.DeadlineMs = request.header("X-Daisytack-Deadline-Ms");
  out.IdempotencyKey = request.header("Idempotency-Key");
  out.LastEventId = request.header("Last-Event-ID");
  out.Body = request.Body;
  return out;
}

/// "/services/NAME/REST" to NAME and "/REST".
std::pair<std::string, std::string> splitService(const net::HttpRequest &it) {
  std::string_view rest =
      std::string_view(it.Path).substr(ServicesPrefix.size());
  size_t slash = rest.find('/');
  std::string name(rest.substr(0, slash));
  std::string target(slash == std::string_view::npos ? "/"
                                                     : rest.substr(slash));
  if (!it.Query.empty())
    target += '?' + it.Query;
  return {std::move(name), std::move(target)};
}

std::vector<wire::HeaderField> passedOn(const net::HttpRequest &request) {
  std::vector<wire::HeaderField> out;
  for (const net::HttpHeader &it : request.Headers)
    if (isPassedOn(it.Name))
      out.push_back({it.Name, it.Value});
  return out;
}

} // namespace

CallerHttp::CallerHttp(EntryState &state,
                       std::function<runtime::Readiness()> ready)
    : State(state), Ready(std::move(ready)), Workers(WorkerThreads, 0),
      Server(state.Io, state.Options.Callers,
             [this](net::HttpRequest request,
                    const std::shared_ptr<net::HttpExchange> &exchange) {
               handle(std::move(request), exchange);
             }) {}

bool CallerHttp::start(Error &reason) { return Server.start(reason); }

void CallerHttp::handle(net::HttpRequest request,
                        const std::shared_ptr<net::HttpExchange> &exchange) {
  Incoming incoming{std::move(request), exchange,
                    std::make_shared<CallerWatch>(), randomId(secureRandom),
                    monotonicNow()};
  exchange->onClosed([this, watch = incoming.Watch] {
    State.Counts.CallersGone.add();
    watch->gone();
  });
  if (Error reason = admit(incoming))
    return refuse(incoming, reason);
  State.Running.fetch_add(1, std::memory_order_relaxed);
  if (incoming.Request.Body.size() <= State.Options.HashOffThread)
    return read(std::move(incoming));
  auto later = std::make_shared<Incoming>(std::move(incoming));
  Workers.enqueue([this, later] { read(std::move(*later)); });
}

/// What can be said before the request is read.
Error CallerHttp::admit(const Incoming &incoming) const {
  std::string_view path = incoming.Request.Path;
  bool isService = path.starts_with(ServicesPrefix);
  if (!isService && !isPromptPath(path))
    return {ErrorKind::NotFound, std::string(path)};
  if (!isService && incoming.Request.Method != "POST")
    return {ErrorKind::MethodNotAllowed, incoming.Request.Method};
  if (Draining.load(std::memory_order_relaxed))
    return {ErrorKind::Draining, "this entry is leaving", DrainRetryAfter};
  if (runtime::Readiness ready = Ready(); !ready.Ready)
    return {ErrorKind::NotReady, ready.Reason, DrainRetryAfter};
  if (State.Running.load(std::memory_order_relaxed) >=
      State.Options.MaxRequests)
    return {ErrorKind::Overloaded, "too many requests in flight at this entry",
            OverloadRetryAfter};
  return {};
}

void CallerHttp::refuse(const Incoming &incoming, const Error &reason) {
  State.Counts.answered(reason.Kind);
  incoming.Exchange->respond(
      net::problemResponse(reason, Outcome::NotRun, incoming.Id));
  Event event;
  event.Kind = EventKind::RequestRefused;
  event.Request = incoming.Id;
  event.Reason = reason.Kind;
  State.Events(std::move(event));
}

void CallerHttp::read(Incoming incoming) {
  std::shared_ptr<const RoutingTable> routes = State.table();
  const Snapshot &config = routes->snapshot();
  std::optional<std::string_view> key =
      bearerKey(incoming.Request.header("Authorization"));
  const Organisation *caller = key ? config.organisationByKey(*key) : nullptr;
  Error reason;
  std::optional<RequestSpec> spec;
  if (caller == nullptr)
    reason = {ErrorKind::Unauthenticated, "no organisation has this key"};
  else
    spec = understand(incoming, config, *caller, reason);
  if (!spec) {
    State.Running.fetch_sub(1, std::memory_order_release);
    return refuse(incoming, reason);
  }
  State.Counts.Received.add();
  State.Retries.onRequest();
  AnswerName name{spec->Offer.Id, spec->Offer.Model, spec->Offer.Chat,
                  std::chrono::duration_cast<std::chrono::seconds>(
                      wallNow().time_since_epoch())
                      .count()};
  auto request = std::make_shared<ActiveRequest>(
      State, std::move(*spec), std::move(name), std::move(incoming.Exchange));
  request->start(*incoming.Watch);
}

std::optional<RequestSpec> CallerHttp::understand(Incoming &incoming,
                                                  const Snapshot &config,
                                                  const Organisation &caller,
                                                  Error &reason) {
  const net::HttpRequest &request = incoming.Request;
  CallerInput input = inputOf(request);
  if (!input.LastEventId.empty() && isPromptPath(request.Path))
    return understandResume(incoming, config, caller, reason);
  CallerContext context{config, caller, State.Options.Limits, incoming.Arrived,
                        wallNow()};
  std::optional<RequestSpec> out;
  if (isPromptPath(request.Path)) {
    out = readPrompt(input, context, request.Path == ChatPath, reason);
    if (out)
      keyPieces(out->Offer, out->Scope, config, State.Keyer);
  } else {
    auto [service, target] = splitService(request);
    input.Target = target;
    out = readServiceCall(input, context, service, passedOn(request), reason);
  }
  if (!out)
    return std::nullopt;
  out->Offer.Id = incoming.Id;
  if (!input.IdempotencyKey.empty() && out->Offer.Idempotent) {
    out->Offer.Id = State.Ids.requestId(caller.Name, input.IdempotencyKey);
    out->FirstTry = State.freshTry();
  }
  return out;
}

std::optional<RequestSpec>
CallerHttp::understandResume(const Incoming &incoming, const Snapshot &config,
                             const Organisation &caller, Error &reason) {
  const net::HttpRequest &request = incoming.Request;
  std::optional<EventId> id =
      State.Ids.parseEventId(caller.Name, request.header("Last-Event-ID"));
  const RequestClass *requestClass =
      config.requestClass(request.header("X-Daisytack-Class"));
  if (!id || requestClass == nullptr) {
    reason = {id ? ErrorKind::UnknownClass : ErrorKind::Forbidden,
              "Last-Event-ID was not given to this organisation"};
    return std::nullopt;
  }
  RequestSpec out;
  out.Offer.Id = id->Request;
  out.Offer.Organisation = caller.Name;
  out.Offer.Class = requestClass->Name;
  out.Offer.Chat = request.Path == ChatPath;
  Error ignored;
  if (std::optional<Prompt> prompt =
          parsePrompt(request.Body, out.Offer.Chat, ignored))
    out.Offer.Model = prompt->Model;
  out.Stream = true;
  out.Arrived = incoming.Arrived;
  out.Deadline = incoming.Arrived + requestClass->Deadline;
  out.FirstTry = State.freshTry();
  out.Resume = ResumePoint{id->Server, id->Index + 1};
  return out;
}

} // namespace daisytack::entry
