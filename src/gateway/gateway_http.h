/// The callers' side of an entry on the direct path: finds the route of each
/// request, authenticates it and starts its forwarding.
#pragma once

#include "gateway/gateway_state.h"
#include "net/http_server.h"

#include <memory>

namespace daisytack::gateway {

/// Thread-safe.
class GatewayHttp {
public:
  explicit GatewayHttp(GatewayState &state);

  bool start(Error &reason);
  uint16_t port() const { return Server.port(); }
  /// Takes over what the configuration says of callers.
  void setLimits(const direct::CallerLimits &limits);
  /// Connections end with the answer that is under way on them.
  void endConnections() { Server.endConnectionsAfterAnswers(); }
  void refuseAfter(Duration fromNow) { Server.refuseAfter(fromNow); }
  void stopAccepting() { Server.stopAccepting(); }
  size_t unsentAnswers() const { return Server.unsentAnswers(); }
  size_t openConnections() const { return Server.openConnections(); }

private:
  net::HttpServerInit serverInit();
  void handle(net::HttpRequest request,
              const std::shared_ptr<net::HttpExchange> &exchange);
  /// Tells how a request still came in while the entry stops.
  void logWhileDraining(const net::HttpRequest &request,
                        const std::string &requestId, TimePoint now);
  /// For a request that came after the last ones were taken.
  net::HttpResponse refuseLate(const net::HttpRequest &request, TimePoint now);
  /// Logs and counts the refusal, and makes its answer with a status of this
  /// entry's own.
  net::HttpResponse buildRefusal(const direct::CallerHead &head,
                                 const Error &reason, TimePoint now);
  void refuse(net::HttpExchange &exchange, const direct::CallerHead &head,
              const Error &reason, TimePoint now);
  /// An unknown route or key: for good only when the configuration is known to
  /// be the newest.
  Error unknownError(ErrorKind kind, std::string detail, TimePoint now) const;

  GatewayState &State;
  net::HttpServer Server;
};

} // namespace daisytack::gateway
