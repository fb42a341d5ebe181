/// One ticket asked of one agent after another. An unused ticket harms nobody,
/// so an agent that is slow or lost is passed over.
#pragma once

#include "net/timer.h"
#include "ticket_client.h"

#include <boost/asio/strand.hpp>

#include <memory>
#include <vector>

namespace daisytack::entry {

class TicketFetch : public std::enable_shared_from_this<TicketFetch> {
public:
  TicketFetch(EntryState &state, CallerTicketRequest request, TicketDone done);

  void start();
  /// From any thread.
  void onReply(const wire::TicketReply &reply);
  void onLost(Attempt attempt);

private:
  void requestNext();
  void finish(TicketResult result);

  EntryState &State;
  boost::asio::strand<boost::asio::io_context::executor_type> Strand;
  net::Timer Timer;
  const CallerTicketRequest Requested;
  const RequestId Id;
  TicketDone Done;
  std::vector<Candidate> Candidates;
  Attempt CurrentAttempt = 0; ///< Number of the agent asked last, from 1.
};

} // namespace daisytack::entry
