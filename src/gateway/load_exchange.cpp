#include "gateway/load_exchange.h"

#include "base/clock.h"
#include "gateway/load_datagram.h"
#include "gateway/quarantine.h"
#include "gateway/rollout_times.h"
#include "net/http_socket.h"
#include "wire/codec.h"

#include <algorithm>

namespace daisytack::gateway {

using boost::asio::ip::udp;

namespace {

/// Maximum number of intervals over which messages to all entries are spread,
/// up to which entries send messages about a shortage.
constexpr size_t MaxShortageRounds = 3;

} // namespace

LoadExchange::LoadExchange(GatewayState &state, Strand strand,
                           LoadExchangeSettings settings,
                           OtherMessageHook onOther)
    : State(state), Executor(std::move(strand)), Settings(settings),
      OnOther(std::move(onOther)),
      Loans(state,
            [this](const Endpoint &peer, const direct::PeerMessage &message) {
              sendTo(peer, message);
            },
            {}),
      Socket(Executor) {}

bool LoadExchange::start(Error &reason) {
  boost::asio::ip::tcp::endpoint address;
  net::ErrorCode ec;
  if (!net::toTcp(State.Options.Peers, address))
    ec = boost::asio::error::invalid_argument;
  udp::endpoint local(address.address(), address.port());
  if (!ec)
    Socket.open(local.protocol(), ec);
  if (!ec)
    Socket.bind(local, ec);
  if (ec) {
    reason = {ErrorKind::BadValue, "can't receive datagrams on " +
                                       toString(State.Options.Peers) + ": " +
                                       ec.message()};
    return false;
  }
  // A full socket then drops datagrams instead of blocking.
  net::ErrorCode ignored;
  Socket.non_blocking(true, ignored);
  receive();
  return true;
}

void LoadExchange::stop() {
  net::ErrorCode ignored;
  Socket.close(ignored);
}

void LoadExchange::receive() {
  Socket.async_receive_from(
      boost::asio::buffer(Buffer), Sender,
      [weak = weak_from_this()](const net::ErrorCode &ec, size_t n) {
        auto self = weak.lock();
        if (!self || ec == boost::asio::error::operation_aborted ||
            !self->Socket.is_open())
          return;
        if (!ec)
          self->onDatagram({self->Buffer.data(), n});
        self->receive();
      });
}

void LoadExchange::onDatagram(std::string_view bytes) {
  Error reason;
  auto message = wire::decode<direct::PeerMessage>(bytes, reason);
  if (!message) {
    State.Stats.BadDatagrams.add();
    return;
  }
  TimePoint now = monotonicNow();
  if (const auto *reports = std::get_if<direct::CrashReports>(&*message))
    return enforceQuarantine(State, State.Suspects.onPeerReports(*reports, now),
                             now);
  if (const auto *limits = std::get_if<direct::RequestLimitUpdate>(&*message))
    return State.Limits.onPeerReports(limits->ServerLimits, now);
  if (const auto *ages = std::get_if<direct::RolloutAges>(&*message))
    return learnVersionAges(State, ages->Versions, "entry", now);
  if (const auto *use = std::get_if<admission::OrganisationUse>(&*message)) {
    if (use->Entry != State.Options.Name)
      State.Shares.onPeerReport(*use, now);
    return;
  }
  if (const auto *tickets = std::get_if<admission::ReturnTickets>(&*message))
    return State.Returns.onPeerTickets(*tickets, now);
  if (const auto *loan = std::get_if<balancing::QuotaLoan>(&*message))
    return Loans.onLoan(*loan, now);
  Endpoint sender{Sender.address().to_string(), Sender.port()};
  if (const auto *wish = std::get_if<balancing::QuotaLoanRequest>(&*message))
    return Loans.onRequest(*wish, sender, now);
  const auto *loads = std::get_if<direct::EntryLoads>(&*message);
  if (!loads)
    return OnOther(sender, *message);
  if (loads->Entry == State.Options.Name)
    return;
  State.Loads.onPeerReport(loads->Entry, loads->Servers,
                           Duration(loads->Period), now);
  State.Links.onPeerDelays(loads->Links, now);
  for (uint64_t server : loads->Leaving)
    State.Loads.onLeaving(server, now);
}

void LoadExchange::send(const Endpoint &peer, const std::string &bytes) {
  boost::asio::ip::tcp::endpoint address;
  if (!net::toTcp(peer, address))
    return;
  // The receiver drops what is larger. A lost datagram is replaced by the next
  // one, or by another entry's.
  net::ErrorCode ec;
  if (bytes.size() <= MaxDatagramBytes)
    Socket.send_to(boost::asio::buffer(bytes),
                   udp::endpoint(address.address(), address.port()), 0, ec);
  if (bytes.size() > MaxDatagramBytes || ec)
    State.Stats.UnsentDatagrams.add();
}

void LoadExchange::sendTo(const Endpoint &peer,
                          const direct::PeerMessage &message) {
  if (Socket.is_open())
    send(peer, wire::encode(message));
}

void LoadExchange::onTimer(TimePoint now) {
  if (now < NextSendAt || !Socket.is_open())
    return;
  NextSendAt = now + Settings.Interval;
  Loans.onTimer(now);
  auto catalog = State.catalog();
  size_t n = catalog->Entries.size();
  if (n < 2)
    return;
  size_t rounds =
      (n + Settings.MaxPeersPerInterval - 1) / Settings.MaxPeersPerInterval;
  Duration period = Settings.Interval * static_cast<int64_t>(rounds);
  std::vector<std::string> messages{encodeLoads(
      {State.Options.Name, period.count(), State.Loads.ownLoads(now),
       State.Links.takeGossip(), State.Loads.recentlyLeaving(now)},
      MaxDatagramBytes, Turn++)};
  direct::CrashReports reports =
      State.Suspects.takeReports(1.0 / static_cast<double>(rounds), now);
  if (!reports.isEmpty())
    messages.push_back(wire::encode(direct::PeerMessage(std::move(reports))));
  direct::RequestLimitUpdate limits{State.Limits.takeGossip(now)};
  if (!limits.ServerLimits.empty())
    messages.push_back(wire::encode(direct::PeerMessage(std::move(limits))));
  direct::RolloutAges ages{catalog->rolloutAges(now)};
  if (!ages.Versions.empty())
    messages.push_back(wire::encode(direct::PeerMessage(std::move(ages))));
  // In a larger deployment each entry gets enough requests to judge by itself,
  // and reports to all entries would exceed the budget for messages.
  if (rounds <= MaxShortageRounds) {
    for (admission::OrganisationUse &use :
         State.Shares.takeReports(State.Options.Name, rounds, now))
      messages.push_back(wire::encode(direct::PeerMessage(std::move(use))));
    admission::ReturnTickets tickets = State.Returns.takeReport(rounds, now);
    if (!tickets.Tickets.empty())
      messages.push_back(wire::encode(direct::PeerMessage(std::move(tickets))));
  }
  for (size_t i = 0; i < std::min(n, Settings.MaxPeersPerInterval); ++i) {
    const direct::EntryPeer &peer = catalog->Entries[NextPeer++ % n];
    if (peer.Peer == State.Options.Peers)
      continue;
    for (const std::string &message : messages)
      send(peer.Peer, message);
  }
}

} // namespace daisytack::gateway
