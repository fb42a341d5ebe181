#include "gateway/peer_exchange.h"

#include "base/clock.h"
#include "net/http_status.h"
#include "wire/codec.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration CallTimeout{700'000};
/// While the service is away: three peers each time make it likely that one of
/// them has news within two rounds, though a third of all may be cut off too.
constexpr Duration AskInterval{400'000};
constexpr size_t PeersAsked = 3;
/// Longer than an outage of the service is usual; a call to an entry that is
/// gone costs one attempt to connect.
constexpr Duration PeerMemory{30'000'000};
constexpr const char *PeerPath = "/peer";

net::HttpServerInit listenOn(const Endpoint &endpoint) {
  net::HttpServerInit out;
  out.Listen = endpoint;
  out.MaxBodyBytes = MaxFrameBytes;
  return out;
}

} // namespace

PeerExchange::PeerExchange(GatewayState &state, Strand strand, PeerHooks hooks,
                           RandomSource random)
    : State(state), On(std::move(strand)), Hooks(std::move(hooks)),
      Random(std::move(random)),
      Server(state.Io, listenOn(state.Options.Peers),
             [this](const net::HttpRequest &request,
                    const std::shared_ptr<net::HttpExchange> &exchange) {
               boost::asio::dispatch(
                   On, [self = shared_from_this(), body = request.Body,
                        exchange] { self->answer(body, *exchange); });
             }),
      Seeds(state.Options.Seeds) {}

void PeerExchange::setSeeds(std::vector<Endpoint> seeds) {
  boost::asio::dispatch(
      On, [self = shared_from_this(), seeds = std::move(seeds)]() mutable {
        self->Seeds = std::move(seeds);
      });
}

bool PeerExchange::start(Error &reason) { return Server.start(reason); }

void PeerExchange::stop() { Server.stopAccepting(); }

void PeerExchange::answer(std::string_view body, net::HttpExchange &exchange) {
  Error reason;
  auto message = wire::decode<direct::PeerMessage>(body, reason);
  if (!message)
    return exchange.respond({net::StatusBadRequest, {}, reason.Detail});
  exchange.respond({net::StatusOk, {}, wire::encode(reply(*message))});
}

direct::PeerMessage PeerExchange::reply(const direct::PeerMessage &message) {
  bool isAboutWeights =
      std::holds_alternative<direct::ServersLoading>(message) ||
      std::holds_alternative<direct::ServerLoaded>(message);
  if (isAboutWeights) {
    Hooks.Weights(message);
    return direct::Acknowledgement{};
  }
  if (const auto *retired = std::get_if<direct::ContextRetired>(&message)) {
    for (const direct::Retirement &it : retired->Retirements)
      State.Kept.retire(it);
    return direct::Acknowledgement{};
  }
  const auto *wanted = std::get_if<direct::RecordsRequest>(&message);
  if (!wanted)
    return direct::Acknowledgement{};
  TimePoint now = monotonicNow();
  int64_t nowUs = now.time_since_epoch().count();
  direct::RecordsResponse out;
  out.Records = State.Catalog.recordsSince(wanted->Revision);
  out.ConfirmationAge = nowUs - State.ConfirmedAt.load();
  out.CompleteStateAge = nowUs - State.KnownAt.load();
  out.CompleteTo = State.CompleteTo;
  out.DeletionsMissingTo = State.Catalog.deletionsMissingTo();
  out.GraceLeft = State.Catalog.graceLeft(now).count();
  out.RestoredTo = State.Catalog.restoredTo();
  return out;
}

void PeerExchange::remember(TimePoint now) {
  for (const direct::EntryPeer &peer : State.catalog()->Entries)
    if (peer.Peer != State.Options.Peers)
      Remembered[peer.Peer] = now;
  std::erase_if(Remembered,
                [&](const auto &it) { return now >= it.second + PeerMemory; });
}

std::vector<Endpoint> PeerExchange::others() const {
  std::vector<Endpoint> out;
  for (const auto &[peer, listedAt] : Remembered)
    out.push_back(peer);
  if (!out.empty())
    return out;
  for (const Endpoint &seed : Seeds)
    if (seed != State.Options.Peers)
      out.push_back(seed);
  return out;
}

void PeerExchange::post(const Endpoint &peer,
                        const direct::PeerMessage &message,
                        std::function<void(const direct::PeerMessage &)> done,
                        std::function<void()> failed) {
  net::HttpRequest request;
  request.Method = "POST";
  request.Path = PeerPath;
  request.Body = wire::encode(message);
  State.Control.fetch(
      peer, std::move(request), CallTimeout,
      [self = shared_from_this(), done = std::move(done),
       failed = std::move(failed)](const Error &error,
                                   const net::HttpResponse &answer) {
        Error reason;
        std::optional<direct::PeerMessage> reply;
        if (!error && answer.Status == net::StatusOk)
          reply = wire::decode<direct::PeerMessage>(answer.Body, reason);
        // Most messages are repeated soon, so that a lost one needs no more.
        boost::asio::dispatch(self->On, [self, done, failed, reply] {
          if (reply)
            done(*reply);
          else if (failed)
            failed();
        });
      });
}

void PeerExchange::tellOne(const Endpoint &peer,
                           const direct::PeerMessage &message,
                           const std::function<void(bool)> &done) {
  post(
      peer, message, [done](const direct::PeerMessage &) { done(true); },
      [done] { done(false); });
}

void PeerExchange::ask(const Endpoint &peer) {
  uint64_t knownTo = State.CompleteTo;
  // Until it has read the service itself it asks for news alone.
  uint64_t newerThan = knownTo != 0 ? knownTo : State.Catalog.revision();
  post(peer, direct::RecordsRequest{newerThan},
       [this, knownTo,
        askedAt = monotonicNow()](const direct::PeerMessage &reply) {
         if (const auto *found = std::get_if<direct::RecordsResponse>(&reply))
           Hooks.Records(*found, knownTo, askedAt);
       });
}

void PeerExchange::onTimer(bool serviceIsReachable, TimePoint now) {
  remember(now);
  if (serviceIsReachable || now < NextAsk)
    return;
  NextAsk = now + AskInterval;
  std::vector<Endpoint> peers = others();
  for (size_t i = 0; i < PeersAsked && !peers.empty(); ++i) {
    size_t at = Random() % peers.size();
    ask(peers[at]);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(at));
  }
}

void PeerExchange::tell(const direct::PeerMessage &message) {
  for (const Endpoint &peer : others())
    post(peer, message, [](const direct::PeerMessage &) {});
}

} // namespace daisytack::gateway
