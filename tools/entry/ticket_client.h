/// Tickets for non-idempotent calls, which run at most once: fetches tickets
/// from agents and binds callers' own idempotency keys to them. See
/// docs/AT_MOST_ONCE.md.
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

/// A ticket, or the error for which there is none. After an error, the call was
/// not run.
struct TicketResult {
  Error Reason;
  std::string Ticket;
  Duration Valid{0}; ///< Of a new ticket; 0 for a bound one.
};

using TicketDone = std::function<void(TicketResult)>;

/// Thread-safe. Each callback is called exactly once, on an I/O thread or
/// during the call.
class TicketClient {
public:
  TicketClient(EntryState &state, edge::KvStore kv);

  /// Fetches a new ticket from one of the agents.
  void fetch(const CallerTicketRequest &request, TicketDone done);
  /// Fetches a new ticket and binds the caller's own key to it. The result is
  /// the ticket of the existing binding if the key is already bound.
  void bindKey(const CallerTicketRequest &request, const std::string &key,
               TicketDone done);

private:
  struct Binding;

  /// Gets a lease for the binding, granting a new one if needed, then starts
  /// the binding.
  void ensureLease(const std::shared_ptr<Binding> &binding);
  /// Makes the step's call to the key-value service, or calls Done if the step
  /// is a final result.
  void performStep(const std::shared_ptr<Binding> &binding, BindStep step);

  EntryState &State;
  edge::KvStore Kv;
  std::mutex Lock; ///< Guards Budget and Lease.
  BindingBudget Budget;
  BindingLease Lease;
};

} // namespace daisytack::entry
