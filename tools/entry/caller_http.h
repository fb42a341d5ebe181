/// The callers' side of an entry: authenticates and reads requests, and starts
/// a flow for each.
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
  /// Answers that have not wholly been given to their sockets.
  size_t unsentAnswers() const { return Server.unsentResponses(); }

private:
  /// One request on its way to a flow.
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
  void authenticate(const IncomingPtr &incoming);
  /// Authenticated and within the organisation's limits.
  void readAdmitted(const IncomingPtr &incoming,
                    const std::shared_ptr<const RoutingTable> &routes,
                    const Organisation &caller);
  /// Gives a non-idempotent request the ticket that its key stands for.
  void resolveTicket(const IncomingPtr &incoming, RequestSpec spec);
  void issueTicket(const IncomingPtr &incoming, const Snapshot &config,
                   const Organisation &caller);
  void startRequest(const Incoming &incoming, RequestSpec spec);
  void refuse(const Incoming &incoming, const Error &reason);
  /// Refuses a request that was counted as running.
  void refuseRunning(const Incoming &incoming, const Error &reason);
  /// Refuses a request that was admitted by its organisation's limits.
  void refuseAdmitted(const Incoming &incoming, std::string_view organisation,
                      const Error &reason);

  EntryState &State;
  TicketClient &Tickets;
  std::function<runtime::Readiness()> Ready;
  tbb::task_arena Workers;
  net::HttpServer Server;
};

} // namespace daisytack::entry
