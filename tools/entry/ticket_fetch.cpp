#include "ticket_fetch.h"

#include "base/clock.h"
#include "base/digest.h"

#include <boost/asio/dispatch.hpp>

#include <utility>

namespace daisytack::entry {

namespace {

constexpr Duration ReplyTimeout{1'000'000};
constexpr Duration RetryAfter{1'000'000};

} // namespace

TicketFetch::TicketFetch(EntryState &state, CallerTicketRequest request,
                         TicketDone done)
    : State(state), Strand(state.Io.get_executor()), Timer(Strand),
      Requested(std::move(request)), Id(randomId(secureRandom)),
      Done(std::move(done)) {}

void TicketFetch::start() {
  State.TicketFetches.insert({Id, shared_from_this()});
  boost::asio::dispatch(Strand, [self = shared_from_this()] {
    RequestSpec spec;
    spec.Offer.Id = self->Id;
    spec.Offer.Organisation = self->Requested.Organisation;
    spec.Offer.Model = self->Requested.Serves;
    if (self->Requested.IsService)
      spec.Service = self->Requested.Serves;
    self->Candidates = self->State.rank(spec, monotonicNow());
    self->requestNext();
  });
}

void TicketFetch::requestNext() {
  if (CurrentAttempt >= Candidates.size())
    return finish(
        {{ErrorKind::NoServer, "no server issues a ticket now", RetryAfter},
         {},
         {}});
  const Candidate &to = Candidates[CurrentAttempt++];
  std::shared_ptr<const RoutingTable> routes = State.table();
  const Server *server = routes->snapshot().server(to.Server);
  if (server == nullptr)
    return requestNext();
  Timer.expires_after(ReplyTimeout);
  Timer.async_wait([weak = weak_from_this(), number = CurrentAttempt](
                       const boost::system::error_code &ec) {
    auto self = weak.lock();
    if (self && !ec && self->CurrentAttempt == number)
      self->requestNext();
  });
  wire::TicketRequest request{Id, Requested.Organisation, Requested.Serves};
  State.Links.open(*server, {Id, CurrentAttempt},
                   wire::Message(std::move(request)));
}

void TicketFetch::onReply(const std::string &server,
                          const wire::TicketReply &reply) {
  boost::asio::dispatch(Strand, [self = shared_from_this(), server, reply] {
    if (!self->Done)
      return;
    if (reply.Kind == ErrorKind::None)
      return self->finish({{},
                           reply.Ticket,
                           Duration(static_cast<int64_t>(reply.ValidMicros))});
    // A refusal may come after its attempt timed out. Candidates are distinct.
    if (self->Candidates[self->CurrentAttempt - 1].Server == server)
      self->requestNext();
  });
}

void TicketFetch::onLost(Attempt attempt) {
  boost::asio::dispatch(Strand, [self = shared_from_this(), attempt] {
    if (self->Done && self->CurrentAttempt == attempt)
      self->requestNext();
  });
}

void TicketFetch::finish(TicketResult result) {
  if (!Done)
    return;
  Timer.cancel();
  for (Attempt i = 1; i <= CurrentAttempt; ++i)
    State.Links.close(Candidates[i - 1].Server, {Id, i});
  State.TicketFetches.erase(Id);
  TicketDone done = std::exchange(Done, nullptr);
  done(std::move(result));
}

} // namespace daisytack::entry
