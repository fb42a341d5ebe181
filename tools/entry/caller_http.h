/// HTTP server of an entry for callers: authenticates and parses requests, and
/// starts an ActiveRequest for each.
#pragma once

#include "active_request.h"
#include "caller_request_parser.h"
#include "entry_state.h"
#include "net/http_server.h"
#include "ticket_client.h"

#include <tbb/task_arena.h>

#include <atomic>
#include <memory>

namespace daisytack::entry {

/// Thread-safe.
class CallerHttp {
public:
  CallerHttp(EntryState &state, TicketClient &tickets,
             std::function<runtime::Readiness()> ready);

  bool start(Error &reason);
  uint16_t port() const { return Server.port(); }
  void stopAccepting() { Server.stopAccepting(); }
  /// Number of answers not yet completely written to their sockets.
  size_t unsentAnswers() const { return Server.unsentResponses(); }

private:
  /// A received request that is not yet started as an ActiveRequest.
  struct Incoming {
    net::HttpRequest Request;
    std::shared_ptr<net::HttpExchange> Exchange;
    std::shared_ptr<DisconnectNotifier> Notifier;
    RequestId Id;
    TimePoint Arrived;
  };
  using IncomingPtr = std::shared_ptr<Incoming>;

  void handle(net::HttpRequest request,
              const std::shared_ptr<net::HttpExchange> &exchange);
  Error admit(const Incoming &incoming) const;
  /// Authenticates the caller and applies its organisation's limits.
  void authenticate(const IncomingPtr &incoming);
  /// Continues a request admitted by its organisation's limits.
  void readAdmitted(const IncomingPtr &incoming,
                    const std::shared_ptr<const RoutingTable> &routes,
                    const Organisation &caller);
  /// Starts a non-idempotent request with the ticket in its Idempotency-Key, or
  /// with the ticket that the key is bound to.
  void resolveTicket(const IncomingPtr &incoming, RequestSpec spec);
  void issueTicket(const IncomingPtr &incoming, const Snapshot &config,
                   const Organisation &caller);
  void startRequest(const Incoming &incoming, RequestSpec spec);
  void refuse(const Incoming &incoming, const Error &reason);
  /// Refuses a request that was counted in EntryState::Running.
  void refuseRunning(const Incoming &incoming, const Error &reason);
  /// Refuses a request that was admitted by its organisation's limits, and
  /// releases its slot.
  void refuseAdmitted(const Incoming &incoming, std::string_view organisation,
                      const Error &reason);

  EntryState &State;
  TicketClient &Tickets;
  std::function<runtime::Readiness()> Ready;
  tbb::task_arena Workers;
  net::HttpServer Server;
};

} // namespace daisytack::entry
