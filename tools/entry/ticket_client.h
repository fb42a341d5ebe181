/// Tickets for calls that may run at most once: fetched from an agent, and
/// bound to callers' own keys. See docs/AT_MOST_ONCE.md.
#pragma once

#include "edge/kv.h"
#include "entry_state.h"
#include "once/key_binding.h"
#include "serve/caller_ticket.h"

#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace daisytack::entry {

/// A ticket, or why there is none: then nothing was run.
struct TicketResult {
  Error Reason;
  std::string Ticket;
  Duration Valid{0};
};

using TicketDone = std::function<void(TicketResult)>;

/// Thread-safe. Results arrive on I/O threads, exactly once each.
class TicketClient {
public:
  TicketClient(EntryState &state, edge::KvStore kv);

  /// A new ticket from one of the servers.
  void fetch(const CallerTicketRequest &request, TicketDone done);
  /// The ticket that the caller's own key is bound to, binding it when it is
  /// new.
  void bindKey(const CallerTicketRequest &request, const std::string &key,
               TicketDone done);

private:
  struct Binding;

  void ensureLease(const std::shared_ptr<Binding> &binding);
  void performStep(const std::shared_ptr<Binding> &binding, BindStep step);

  EntryState &State;
  edge::KvStore Kv;
  std::mutex Lock; ///< Over Budget and Lease only.
  BindingBudget Budget;
  BindingLease Lease;
};

} // namespace daisytack::entry
