/// Constructs, starts and drains the components of an entry on one io_context.
#pragma once

#include "base/event_ring.h"
#include "caller_http.h"
#include "entry_options.h"
#include "entry_state.h"
#include "net/http_client.h"
#include "net/timer.h"
#include "runtime/control_runtime.h"
#include "runtime/operator_http.h"
#include "ticket_client.h"

#include <functional>
#include <memory>

namespace daisytack::entry {

class EntryDaemon {
public:
  EntryDaemon(boost::asio::io_context &io, EntryOptions options);
  ~EntryDaemon();

  bool start(Error &reason);
  /// Refuses new requests. Calls `done` when all running requests have been
  /// answered.
  void drain(std::function<void()> done);

private:
  runtime::OperatorInit operatorInit();
  /// Repeats until the entry is drained, then stops it and calls OnDrained.
  void checkDrained();

  EntryOptions Options;
  Metrics Registry;
  EventRing Ring;
  net::HttpClient Client;
  runtime::ControlRuntime Control;
  EntryState State;
  TicketClient Tickets;
  CallerHttp Callers;
  runtime::OperatorHttp Operators;
  net::Timer DrainTimer;
  TimePoint DrainStart;
  std::function<void()> OnDrained;
};

} // namespace daisytack::entry
