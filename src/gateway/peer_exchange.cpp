#include "gateway/peer_exchange.h"

#include "base/clock.h"
#include "gateway/held_body.h"
#include "net/http_status.h"
#include "wire/codec.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

namespace {

constexpr Duration CallTimeout{700'000};
/// Time between requests for records while the key-value service is
/// unreachable.
constexpr Duration RequestInterval{400'000};
/// Number of entries that are polled at a time. With three, it is likely that
/// one of them has newer records within two rounds, even if a third of all
/// entries are cut off from the service as well.
constexpr size_t PeersPerRound = 3;
/// How long an entry that is no longer listed is remembered: longer than usual
/// outages of the key-value service. A call to an entry that has ended costs
/// one connection attempt.
constexpr Duration PeerRetention{30'000'000};
/// Pages of records that one poll requests, each of which has at least one
/// record.
constexpr uint32_t MaxPages = 4096;
constexpr const char *PeerPath = "/peer";

/// Longest message that another entry sends as a request, in bytes. Those that
/// name every server of a large deployment take a fifth of it.
constexpr size_t MaxRequestBytes = MaxValueBytes;
/// First reservation for a body of unknown length.
constexpr size_t InitialBodyBytes = 8U << 10;
/// Share of the instance's memory for the bodies of all requests together, and
/// the least number of bytes.
constexpr size_t BodyShareDivisor = 16;
constexpr size_t MinBodyBytes = 4U << 20;
/// Memory of the instance for each connection: a head, input ahead of the
/// answer and an unread page of records, which take a quarter of it at most.
constexpr size_t BytesPerConnection = 400U << 10;
/// Time between requests, and for an answer that isn't read. Longer than other
/// entries use an idle connection again, as a message that crosses its close is
/// not sent once more.
constexpr Duration IdleTimeout{25'000'000};

admission::RequestMemorySettings bodySettings(const GatewayOptions &options) {
  admission::RequestMemorySettings out;
  // The limit stays at its minimum, as it is told no use of the process.
  out.MinLimitBytes =
      std::max(options.MemoryBytes / BodyShareDivisor, MinBodyBytes);
  // Senders are not told apart, as none of them proves who it is.
  out.ShareFactor = 1e9;
  return out;
}

net::HttpServerInit
serverInit(const GatewayOptions &options,
           const std::shared_ptr<admission::RequestMemory> &bodies) {
  net::HttpServerInit out;
  out.Listen = options.Peers;
  out.MaxBodyBytes = MaxRequestBytes;
  out.MaxConnections = options.MemoryBytes / BytesPerConnection;
  out.IdleTimeout = IdleTimeout;
  out.ReceiveBufferBytes = options.receiveBufferBytes();
  out.ReserveBody =
      [bodies](const net::HttpRequest &,
               std::optional<uint64_t> length) -> std::shared_ptr<HeldBody> {
    auto room = bodies->reserve({}, length.value_or(InitialBodyBytes));
    if (!room)
      return nullptr;
    return std::make_shared<HeldBody>(std::move(*room), MaxRequestBytes);
  };
  out.RefusedBodyResponse = [](const net::HttpRequest &) {
    return net::HttpResponse{net::StatusUnavailable, {}, {}};
  };
  return out;
}

} // namespace

PeerExchange::PeerExchange(GatewayState &state, Strand strand, PeerHooks hooks,
                           RandomSource random)
    : State(state), Executor(std::move(strand)), Hooks(std::move(hooks)),
      Random(std::move(random)), Source(lookupIn(state.Catalog)),
      Bodies(std::make_shared<admission::RequestMemory>(
          bodySettings(state.Options))),
      Server(state.Io, serverInit(state.Options, Bodies),
             [this](net::HttpRequest request,
                    const std::shared_ptr<net::HttpExchange> &exchange) {
               boost::asio::dispatch(
                   Executor,
                   [self = shared_from_this(), body = net::takeBody(request),
                    exchange] { self->answer(*body, *exchange); });
             }),
      Seeds(state.Options.Seeds) {}

void PeerExchange::setSeeds(std::vector<Endpoint> seeds) {
  boost::asio::dispatch(Executor, [self = shared_from_this(),
                                   seeds = std::move(seeds)]() mutable {
    self->Seeds = std::move(seeds);
  });
}

bool PeerExchange::start(Error &reason) { return Server.start(reason); }

void PeerExchange::stop() { Server.stopAccepting(); }

void PeerExchange::answer(std::string_view body, net::HttpExchange &exchange) {
  Error reason;
  auto message = wire::decode<direct::PeerMessage>(body, reason);
  if (!message) {
    State.Stats.BadPeerMessages.add();
    return exchange.respond({net::StatusBadRequest, {}, reason.Detail});
  }
  exchange.respond({net::StatusOk, {}, wire::encode(reply(*message))});
}

direct::PeerMessage PeerExchange::reply(const direct::PeerMessage &message) {
  bool isAboutWeights =
      std::holds_alternative<direct::ServersLoading>(message) ||
      std::holds_alternative<direct::ServerLoaded>(message);
  if (isAboutWeights) {
    Hooks.OnWeightMessage(message);
    return direct::Acknowledgement{};
  }
  if (const auto *retired = std::get_if<direct::ContextRetired>(&message)) {
    for (const direct::Retirement &it : retired->Retirements)
      State.StoredParts.retire(it);
    return direct::Acknowledgement{};
  }
  if (const auto *request = std::get_if<direct::RecordsRequest>(&message))
    return recordsFor(*request);
  if (const auto *request = std::get_if<direct::RecordPartRequest>(&message)) {
    direct::RecordPart out = Source.answer(*request);
    State.Stats.RecordBytesSent.add(out.Bytes.size());
    return out;
  }
  return direct::Acknowledgement{};
}

direct::RecordsResponse
PeerExchange::recordsFor(const direct::RecordsRequest &request) {
  TimePoint now = monotonicNow();
  int64_t nowUs = now.time_since_epoch().count();
  direct::RecordPage page = State.Catalog.recordsSince(request.Revision);
  direct::RecordsResponse out;
  out.Records = std::move(page.Records);
  out.Offers = std::move(page.Offers);
  out.UpTo = page.UpTo;
  out.HasMore = page.HasMore;
  out.ConfirmationAge = nowUs - State.ConfirmedAt.load();
  out.CompleteStateAge = nowUs - State.SyncedAt.load();
  out.CompleteTo = State.SyncedRevision;
  out.DeletionsMissingTo = State.Catalog.deletionsMissingTo();
  const direct::StoreUptime &uptime = State.Catalog.storeUptime();
  if (uptime.latest()) {
    out.AnswerAge = (now - uptime.latest()->Earliest).count();
    out.AnswerDelay = uptime.latest()->Delay.count();
    out.AnsweringAge = (now - uptime.period()->Since).count();
    out.AnsweringRevision = uptime.period()->Revision;
  }
  out.RestoredTo = State.Catalog.restoredTo();
  return out;
}

void PeerExchange::updateRemembered(TimePoint now) {
  for (const direct::EntryPeer &peer : State.catalog()->Entries)
    if (peer.Peer != State.Options.Peers)
      Remembered[peer.Peer] = now;
  std::erase_if(Remembered, [&](const auto &it) {
    return now >= it.second + PeerRetention;
  });
}

std::vector<Endpoint> PeerExchange::knownPeers() const {
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

void PeerExchange::post(
    const Endpoint &peer, const direct::PeerMessage &message, Duration timeout,
    std::function<void(std::optional<direct::PeerMessage>)> done) {
  net::HttpRequest request;
  request.Method = "POST";
  request.Path = PeerPath;
  request.Body = wire::encode(message);
  net::HttpCallOptions options;
  options.MaxBodyBytes = MaxFrameBytes;
  State.ControlClient.fetch(
      peer, std::move(request), timeout,
      [self = shared_from_this(), done = std::move(done)](
          const Error &error, const net::HttpResponse &answer) {
        Error reason;
        std::optional<direct::PeerMessage> reply;
        if (!error && answer.Status == net::StatusOk)
          reply = wire::decode<direct::PeerMessage>(answer.Body, reason);
        if (reason)
          self->State.Stats.BadPeerMessages.add();
        // Most messages are repeated soon, so that a lost one needs no retry.
        boost::asio::dispatch(self->Executor,
                              [self, done, reply = std::move(reply)]() mutable {
                                done(std::move(reply));
                              });
      },
      options);
}

void PeerExchange::sendTo(const Endpoint &peer,
                          const direct::PeerMessage &message,
                          const std::function<void(bool)> &done) {
  post(peer, message, CallTimeout,
       [done](const auto &reply) { done(reply.has_value()); });
}

void PeerExchange::requestRecords(const Endpoint &peer) {
  uint64_t syncedRevision = State.SyncedRevision;
  // Until it has read a snapshot itself, this entry only requests records newer
  // than those it got from others.
  requestPage({peer, syncedRevision, monotonicNow(),
               syncedRevision != 0 ? syncedRevision : ReceivedTo});
}

void PeerExchange::requestMore(const RecordsCall &call, uint64_t newerThan) {
  // Pages that don't lead on never end.
  if (newerThan <= call.NewerThan || call.Page >= MaxPages)
    return State.Stats.BadPeerMessages.add();
  requestPage({call.Peer, call.SyncedRevision, monotonicNow(), newerThan,
               call.Page + 1});
}

void PeerExchange::requestPage(RecordsCall call) {
  if (!Asked.insert(call.Peer).second)
    return;
  post(call.Peer, direct::RecordsRequest{call.NewerThan}, CallTimeout,
       [this, call](const std::optional<direct::PeerMessage> &reply) {
         Asked.erase(call.Peer);
         const auto *response =
             reply ? std::get_if<direct::RecordsResponse>(&*reply) : nullptr;
         if (!response)
           return;
         if (!direct::isCredible(*response))
           return State.Stats.BadPeerMessages.add();
         Hooks.OnRecords(*response, call);
       });
}

void PeerExchange::noteReceived(uint64_t upTo) {
  ReceivedTo = std::max(ReceivedTo, upTo);
}

void PeerExchange::requestPart(
    const direct::RecordPartCall &call,
    const std::function<void(std::optional<direct::RecordPart>)> &done) {
  post(call.Source, call.Request, call.Timeout,
       [this, done](std::optional<direct::PeerMessage> reply) {
         auto *part =
             reply ? std::get_if<direct::RecordPart>(&*reply) : nullptr;
         if (!part)
           return done(std::nullopt);
         State.Stats.RecordBytesReceived.add(part->Bytes.size());
         done(std::move(*part));
       });
}

void PeerExchange::onTimer(bool needsRecords, TimePoint now) {
  updateRemembered(now);
  if (!needsRecords || now < NextRequestAt)
    return;
  NextRequestAt = now + RequestInterval;
  std::vector<Endpoint> peers = knownPeers();
  for (size_t i = 0; i < PeersPerRound && !peers.empty(); ++i) {
    size_t at = Random() % peers.size();
    requestRecords(peers[at]);
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(at));
  }
}

void PeerExchange::broadcast(const direct::PeerMessage &message) {
  for (const Endpoint &peer : knownPeers())
    post(peer, message, CallTimeout, [](const auto &) {});
}

} // namespace daisytack::gateway
