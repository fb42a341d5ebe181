#include "caller_http.h"

#include "base/clock.h"
#include "base/digest.h"
#include "base/request_id.h"
#include "net/problem.h"
#include "once/ticket.h"

#include <utility>

namespace daisytack::entry {

namespace {

/// Threads that parse and hash long request bodies.
constexpr int WorkerThreads = 4;
constexpr Duration DrainRetryAfter{1'000'000};
constexpr Duration OverloadRetryAfter{1'000'000};

int64_t secondsOf(WallTime time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

} // namespace

CallerHttp::CallerHttp(EntryState &state, TicketClient &tickets,
                       std::function<runtime::Readiness()> ready)
    : State(state), Tickets(tickets), Ready(std::move(ready)),
      Workers(WorkerThreads, 0),
      Server(state.Io, state.Options.Callers,
             [this](net::HttpRequest request,
                    const std::shared_ptr<net::HttpExchange> &exchange) {
               handle(std::move(request), exchange);
             }) {}

bool CallerHttp::start(Error &reason) { return Server.start(reason); }

void CallerHttp::handle(net::HttpRequest request,
                        const std::shared_ptr<net::HttpExchange> &exchange) {
  auto incoming = std::make_shared<Incoming>();
  *incoming = {
      std::move(request), exchange, std::make_shared<DisconnectNotifier>(),
      makeRequestId(State.Options.self().Name, secureRandom), monotonicNow()};
  exchange->onClosed([this, notifier = incoming->Notifier] {
    State.Counts.CallersDisconnected.add();
    notifier->notify();
  });
  if (Error reason = admit(*incoming))
    return refuse(*incoming, reason);
  State.Running.fetch_add(1, std::memory_order_relaxed);
  if (incoming->Request.Body.size() <= State.Options.MaxInlineBodyBytes)
    return authenticate(incoming);
  Workers.enqueue([this, incoming] { authenticate(incoming); });
}

/// Returns the errors that can be found without parsing the request.
Error CallerHttp::admit(const Incoming &incoming) const {
  const net::HttpRequest &request = incoming.Request;
  CallerRoute route = routeOf(request.Path);
  if (route == CallerRoute::Unknown)
    return {ErrorKind::NotFound, request.Path};
  if (route != CallerRoute::Service && request.Method != "POST")
    return {ErrorKind::MethodNotAllowed, request.Method};
  if (State.Draining.load(std::memory_order_relaxed))
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
  State.Counts.countAnswer(reason.Kind);
  incoming.Exchange->respond(
      net::problemResponse(reason, Outcome::NotRun, incoming.Id));
  query::RefusalRow row;
  row.Request = incoming.Id;
  row.Kind = reason.Kind;
  State.Requests.recordRefusal(std::move(row), monotonicNow());
  Event event;
  event.Kind = EventKind::RequestRefused;
  event.Request = incoming.Id;
  event.Reason = reason.Kind;
  State.Events(std::move(event));
}

void CallerHttp::refuseRunning(const Incoming &incoming, const Error &reason) {
  State.Running.fetch_sub(1, std::memory_order_release);
  refuse(incoming, reason);
}

void CallerHttp::refuseAdmitted(const Incoming &incoming,
                                std::string_view organisation,
                                const Error &reason) {
  State.Limits.releaseSlot(organisation);
  refuseRunning(incoming, reason);
}

void CallerHttp::authenticate(const IncomingPtr &incoming) {
  std::shared_ptr<const RoutingTable> routes = State.table();
  std::optional<std::string_view> key =
      bearerKey(incoming->Request.header("Authorization"));
  const Organisation *caller =
      key ? routes->snapshot().organisationByKey(*key) : nullptr;
  if (caller == nullptr)
    return refuseRunning(*incoming, {ErrorKind::Unauthenticated,
                                     "no organisation has this key"});
  // Shares ownership of the table, which keeps `caller` alive.
  std::shared_ptr<const Snapshot> config(routes, &routes->snapshot());
  State.Limits.admit(*caller, config,
                     [this, incoming, routes, caller](const Error &reason) {
                       if (reason)
                         return refuseRunning(*incoming, reason);
                       readAdmitted(incoming, routes, *caller);
                     });
}

void CallerHttp::readAdmitted(const IncomingPtr &incoming,
                              const std::shared_ptr<const RoutingTable> &routes,
                              const Organisation &caller) {
  const Snapshot &config = routes->snapshot();
  const net::HttpRequest &request = incoming->Request;
  if (routeOf(request.Path) == CallerRoute::Tickets)
    return issueTicket(incoming, config, caller);
  Error reason;
  std::optional<RequestSpec> spec =
      CallerRequestParser{State, config, caller}.parse(
          request, incoming->Id, incoming->Arrived, reason);
  if (!spec)
    return refuseAdmitted(*incoming, caller.Name, reason);
  if (!spec->Offer.Idempotent && !request.header("Idempotency-Key").empty())
    return resolveTicket(incoming, std::move(*spec));
  startRequest(*incoming, std::move(*spec));
}

void CallerHttp::resolveTicket(const IncomingPtr &incoming, RequestSpec spec) {
  std::string key(incoming->Request.header("Idempotency-Key"));
  Error reason;
  if (looksLikeTicket(key)) {
    if (!parseTicket(key, reason))
      return refuseAdmitted(*incoming, spec.Offer.Organisation, reason);
    spec.Offer.Ticket = std::move(key);
    return startRequest(*incoming, std::move(spec));
  }
  bool isService = !spec.Service.empty();
  CallerTicketRequest ticketRequest{spec.Offer.Organisation,
                                    isService ? spec.Service : spec.Offer.Model,
                                    isService};
  Tickets.bindKey(ticketRequest, key,
                  [this, incoming, spec](TicketResult result) {
                    if (result.Reason)
                      return refuseAdmitted(*incoming, spec.Offer.Organisation,
                                            result.Reason);
                    RequestSpec ticketed = spec;
                    ticketed.Offer.Ticket = std::move(result.Ticket);
                    startRequest(*incoming, std::move(ticketed));
                  });
}

void CallerHttp::issueTicket(const IncomingPtr &incoming,
                             const Snapshot &config,
                             const Organisation &caller) {
  Error reason;
  std::optional<CallerTicketRequest> ticketRequest =
      readTicketRequest(incoming->Request.Body, config, caller.Name, reason);
  if (!ticketRequest)
    return refuseAdmitted(*incoming, caller.Name, reason);
  std::string organisation = caller.Name;
  Tickets.fetch(*ticketRequest, [this, incoming,
                                 organisation](const TicketResult &result) {
    if (result.Reason)
      return refuseAdmitted(*incoming, organisation, result.Reason);
    State.Limits.releaseSlot(organisation);
    State.Running.fetch_sub(1, std::memory_order_release);
    incoming->Exchange->respond(
        {200,
         {{"Content-Type", "application/json"}, {"Cache-Control", "no-store"}},
         ticketJson(result.Ticket, result.Valid)});
  });
}

void CallerHttp::startRequest(const Incoming &incoming, RequestSpec spec) {
  State.Counts.Received.add();
  State.Retries.onRequest();
  AnswerIdentity identity{spec.Offer.Id, spec.Offer.Model, spec.Offer.Chat,
                          secondsOf(wallNow())};
  auto request = std::make_shared<ActiveRequest>(
      State, std::move(spec), std::move(identity), incoming.Exchange);
  request->start(*incoming.Notifier);
}

} // namespace daisytack::entry
