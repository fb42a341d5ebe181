/// Requests a ticket from one candidate after another until one issues it. An
/// unused ticket has no effect, so the next candidate is tried when an agent
/// doesn't reply in time or its connection is lost.
#pragma once

#include "net/timer.h"
#include "ticket_client.h"

#include <boost/asio/strand.hpp>

#include <memory>
#include <string>
#include <vector>

namespace daisytack::entry {

class TicketFetch : public std::enable_shared_from_this<TicketFetch> {
public:
  TicketFetch(EntryState &state, CallerTicketRequest request, TicketDone done);

  void start();
  /// onReply() and onLost() may be called from any thread.
  void onReply(const std::string &server, const wire::TicketReply &reply);
  void onLost(Attempt attempt);

private:
  /// Requests the ticket from the next candidate, or finishes with an error if
  /// there is none.
  void requestNext();
  void finish(TicketResult result);

  EntryState &State;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  net::Timer Timer;
  const CallerTicketRequest Requested;
  const RequestId Id;
  TicketDone Done;
  std::vector<Candidate> Candidates;
  Attempt CurrentAttempt = 0; ///< Counted from 1; 0 before the first.
};

} // namespace daisytack::entry
