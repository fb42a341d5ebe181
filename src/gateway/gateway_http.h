/// The HTTP server for callers: finds the route of each request, authenticates
/// it and starts its forwarding.
#pragma once

#include "gateway/gateway_state.h"
#include "net/http_server.h"

#include <memory>
#include <optional>

namespace daisytack::gateway {

/// Thread-safe.
class GatewayHttp {
public:
  explicit GatewayHttp(GatewayState &state);

  bool start(Error &reason);
  uint16_t port() const { return Server.port(); }
  /// Applies the configured limits for callers.
  void setLimits(const direct::CallerLimits &limits);
  /// Makes each connection end after the answer in progress on it.
  void endConnections() { Server.closeConnectionsAfterResponses(); }
  void refuseAfter(Duration fromNow) { Server.refuseAfter(fromNow); }
  void stopAccepting() { Server.stopAccepting(); }
  size_t unsentAnswers() const { return Server.unsentResponses(); }
  size_t openConnections() const { return Server.openConnections(); }

private:
  net::HttpServerInit serverInit();
  /// Reserves room for the body of a request in the account of its
  /// organisation; null if there is none. Requests with an unknown key share an
  /// account.
  std::shared_ptr<net::BodyReservation>
  reserveBody(const net::HttpRequest &head, std::optional<uint64_t> length);
  net::HttpResponse refuseBody(const net::HttpRequest &request, TimePoint now);
  void handle(net::HttpRequest request,
              const std::shared_ptr<net::HttpExchange> &exchange);
  /// Logs a request that arrives during the drain, and how it came in.
  void logWhileDraining(const net::HttpRequest &request,
                        const std::string &requestId, TimePoint now);
  /// Refuses a request that was completely received only after the drain plan
  /// stopped accepting requests.
  net::HttpResponse refuseLate(const net::HttpRequest &request, TimePoint now);
  /// Logs and counts a refusal, and builds its answer from the error.
  net::HttpResponse buildRefusal(const direct::CallerHead &head,
                                 const Error &reason, TimePoint now);
  void refuse(net::HttpExchange &exchange, const direct::CallerHead &head,
              const Error &reason, TimePoint now);
  /// The error for an unknown route or key: permanent only if the configuration
  /// is known to be current, NotReady otherwise.
  Error unknownError(ErrorKind kind, std::string detail, TimePoint now) const;

  GatewayState &State;
  net::HttpServer Server;
};

} // namespace daisytack::gateway
