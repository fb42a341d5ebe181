#include "gateway/gateway_http.h"

#include "base/clock.h"
#include "direct/rendezvous.h"
#include "gateway/gateway_request.h"

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

/// Retry delay for callers of an entry without a configuration, or with one
/// that may be out of date: the time of one round of calls to the key-value
/// service.
constexpr Duration RetrySoonAfter{300'000};
/// Timeout of requests for which neither the caller nor the route sets one.
constexpr Duration DefaultRequestTimeout{60'000'000};
/// Unsent bytes of an answer at which its caller is given up. An answer is
/// paused long before; with several I/O threads, what was read of it by then
/// may still be added while the thread that pauses it doesn't run.
constexpr size_t MaxPendingBytes = 16U << 20;
/// First reservation for a body of unknown length.
constexpr size_t InitialBodyBytes = 8U << 10;

/// Chooses a service of the route by weight. Retries with the same request id
/// get the same service, and so do requests that resume that one's stream.
std::string pickService(const direct::Route &route,
                        std::string_view requestId) {
  uint64_t total = 0;
  for (const direct::TrafficShare &share : route.Shares)
    total += share.Weight;
  if (total == 0)
    return route.Shares.front().Service;
  uint64_t draw = direct::stableHash(requestId) % total;
  for (const direct::TrafficShare &share : route.Shares) {
    if (draw < share.Weight)
      return share.Service;
    draw -= share.Weight;
  }
  return route.Shares.back().Service;
}

class HeldBody : public net::BodyReservation {
public:
  /// No body is longer than `maxBytes`.
  HeldBody(admission::MemoryReservation room, size_t maxBytes)
      : Room(std::move(room)), MaxBytes(maxBytes) {}
  /// Doubles the room, as the buffer of the body does when it grows.
  bool reserve(size_t bytes) override {
    return bytes <= Room.bytes() ||
           Room.grow(std::max(bytes, std::min(2 * Room.bytes(), MaxBytes)));
  }
  void onReceived(size_t bytes) override { Room.setReceived(bytes); }

private:
  admission::MemoryReservation Room;
  size_t MaxBytes;
};

TimePoint deadlineOf(const direct::CallerHead &head, const direct::Route &route,
                     TimePoint now) {
  Duration limit = head.CallerTimeout.value_or(DefaultRequestTimeout);
  if (route.Timeout > Duration::zero())
    limit = std::min(limit, route.Timeout);
  return now + limit;
}

} // namespace

GatewayHttp::GatewayHttp(GatewayState &state)
    : State(state),
      Server(state.Io, serverInit(),
             [this](net::HttpRequest request,
                    const std::shared_ptr<net::HttpExchange> &exchange) {
               handle(std::move(request), exchange);
             }) {}

net::HttpServerInit GatewayHttp::serverInit() {
  net::HttpServerInit out;
  out.Listen = State.Options.Callers;
  out.MaxConnections = State.Options.connectionLimit();
  out.MaxPendingBytes = MaxPendingBytes;
  out.ReceiveBufferBytes = State.Options.receiveBufferBytes();
  out.ReserveBody = [this](const net::HttpRequest &head,
                           std::optional<uint64_t> length) {
    return reserveBody(head, length);
  };
  out.RefusedBodyResponse = [this](const net::HttpRequest &head) {
    return refuseBody(head, monotonicNow());
  };
  out.OnConnectionBytes = [memory = State.Memory](net::ConnectionBytes kind,
                                                  int64_t change) {
    memory->adjust(kind == net::ConnectionBytes::Input
                       ? admission::MemoryCause::Head
                       : admission::MemoryCause::Answer,
                   change);
  };
  out.LateRequestGrace = State.Options.Drain.LateRequestGrace;
  out.LateRequestResponse = [this](const net::HttpRequest &request) {
    return refuseLate(request, monotonicNow());
  };
  return out;
}

bool GatewayHttp::start(Error &reason) { return Server.start(reason); }

void GatewayHttp::setLimits(const direct::CallerLimits &limits) {
  Server.setLimits({limits.MaxHeaderBytes, limits.MaxBodyBytes,
                    limits.HeaderTimeout, limits.IdleTimeout,
                    limits.IdleTimeout});
}

Error GatewayHttp::unknownError(ErrorKind kind, std::string detail,
                                TimePoint now) const {
  if (State.isConfirmed(now))
    return {kind, std::move(detail)};
  return {ErrorKind::NotReady,
          detail + "; the configuration here may be out of date",
          RetrySoonAfter};
}

net::HttpResponse GatewayHttp::refuseLate(const net::HttpRequest &request,
                                          TimePoint now) {
  State.Stats.Requests.add();
  Error parseError;
  std::optional<direct::CallerHead> head =
      State.WireProtocol.ReadCallerHead(request, parseError);
  if (!head)
    return buildRefusal({}, parseError, now);
  logWhileDraining(request, head->RequestId, now);
  return buildRefusal(*head, drainingError(), now);
}

std::shared_ptr<net::BodyReservation>
GatewayHttp::reserveBody(const net::HttpRequest &head,
                         std::optional<uint64_t> length) {
  auto catalog = State.catalog();
  const direct::OrganisationAccess *access = nullptr;
  size_t maxBytes = MaxHttpBodyBytes;
  if (catalog->Config) {
    access = catalog->Config->findKey(State.WireProtocol.ReadApiKey(head));
    maxBytes = catalog->Config->config().Limits.MaxBodyBytes;
  }
  std::optional<admission::MemoryReservation> room =
      State.Memory->reserve(access ? access->Organisation : std::string_view(),
                            length.value_or(InitialBodyBytes));
  if (!room)
    return nullptr;
  return std::make_shared<HeldBody>(std::move(*room), maxBytes);
}

net::HttpResponse GatewayHttp::refuseBody(const net::HttpRequest &request,
                                          TimePoint now) {
  State.Stats.Requests.add();
  State.Stats.RefusedForEntryMemory.add();
  Error parseError;
  std::optional<direct::CallerHead> head =
      State.WireProtocol.ReadCallerHead(request, parseError);
  if (!head)
    return buildRefusal({}, parseError, now);
  logWhileDraining(request, head->RequestId, now);
  return buildRefusal(
      *head, State.Memory->refusal(direct::unitHash(head->RequestId)), now);
}

void GatewayHttp::refuse(net::HttpExchange &exchange,
                         const direct::CallerHead &head, const Error &reason,
                         TimePoint now) {
  exchange.respond(buildRefusal(head, reason, now));
}

net::HttpResponse GatewayHttp::buildRefusal(const direct::CallerHead &head,
                                            const Error &reason,
                                            TimePoint now) {
  unsigned status = errorStatus(reason.Kind);
  State.Stats.Refused.add();
  if (reason.Kind == ErrorKind::Draining)
    State.Stats.RefusedForDrain.add();
  auto catalog = State.catalog();
  State.Log.write(LogPriority::Notable, "request_refused",
                  {{"request", head.RequestId},
                   {"host", head.Host},
                   {"path", head.Path},
                   {"status", status},
                   {"reason", errorName(reason.Kind)},
                   {"detail", reason.Detail},
                   {"config_revision", catalog->ConfigRevision},
                   {"confirmed", State.isConfirmed(now)}},
                  now);
  return State.WireProtocol.WriteErrorAnswer(status, head.RequestId, reason);
}

void GatewayHttp::logWhileDraining(const net::HttpRequest &request,
                                   const std::string &requestId,
                                   TimePoint now) {
  std::shared_ptr<const direct::DrainPlan> drain = State.Drain.load();
  if (!drain)
    return;
  State.Log.write(LogPriority::Notable, "request_while_draining",
                  {{"request", requestId},
                   {"drained_ms", drain->elapsed(now).count() / 1000},
                   {"on_connection", request.ConnectionRequestNumber},
                   {"read_ms", request.ReadTime.count() / 1000}},
                  now);
}

void GatewayHttp::handle(net::HttpRequest request,
                         const std::shared_ptr<net::HttpExchange> &exchange) {
  TimePoint now = monotonicNow();
  State.Stats.Requests.add();
  Error reason;
  std::optional<direct::CallerHead> head =
      State.WireProtocol.ReadCallerHead(request, reason);
  if (!head)
    return refuse(*exchange, {}, reason, now);
  logWhileDraining(request, head->RequestId, now);
  auto catalog = State.catalog();
  if (!catalog->Config)
    return refuse(
        *exchange, *head,
        {ErrorKind::NotReady, "no configuration is known yet", RetrySoonAfter},
        now);
  const direct::ConfigIndex &config = *catalog->Config;
  const direct::Route *route = config.findRoute(head->Host, head->Path);
  if (!route)
    return refuse(*exchange, *head,
                  unknownError(ErrorKind::NotFound,
                               "no route for this host and path", now),
                  now);
  const direct::OrganisationAccess *access = nullptr;
  if (config.needsKeys() && !route->IsPublic) {
    access = config.findKey(head->ApiKey);
    if (!access)
      return refuse(*exchange, *head,
                    unknownError(ErrorKind::Unauthenticated,
                                 "no organisation holds this key", now),
                    now);
  }
  direct::ForwardRequest forward;
  forward.MatchedRoute = *route;
  forward.Service =
      pickService(*route, head->ResumedRequestId.value_or(head->RequestId));
  forward.Organisation = access ? access->Organisation : std::string();
  forward.Regions = direct::intersect(
      route->Regions, access ? access->Regions : direct::AllowedRegions());
  forward.Priority =
      access ? access->Priority.value_or(route->Priority) : route->Priority;
  forward.Arrived = now;
  forward.Deadline = deadlineOf(*head, *route, now);
  forward.Head = std::move(*head);
  std::make_shared<GatewayRequest>(State, std::move(forward),
                                   net::takeBody(request), exchange)
      ->start();
}

} // namespace daisytack::gateway
