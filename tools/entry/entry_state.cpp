#include "entry_state.h"

#include "active_request.h"
#include "base/clock.h"
#include "base/digest.h"
#include "once/ticket.h"
#include "ticket_fetch.h"

#include <algorithm>

namespace daisytack::entry {

namespace {

/// Attempt numbers are derived from the wall clock, so that a repeated request
/// at another entry gets higher numbers. 32 bits of tenths of a second last for
/// 13 years.
constexpr WallTime AttemptNumberEpoch{Duration(1'767'225'600'000'000)}; // 2026.
constexpr Duration AttemptNumberTick{100'000};

std::shared_ptr<const RoutingTable>
makeTable(std::shared_ptr<const Snapshot> snapshot) {
  return std::make_shared<const RoutingTable>(std::move(snapshot));
}

std::shared_ptr<const RoutingTable>
makeTable(std::shared_ptr<const Snapshot> snapshot,
          const RoutingTable &previous) {
  return std::make_shared<const RoutingTable>(std::move(snapshot), previous);
}

AgentLinksInit linksInit(const EntryOptions &options) {
  return {options.self().Name, options.Instance.Control.Process,
          options.Instance.Control.Keys, options.ConnectTimeout,
          options.LinkIdleTimeout};
}

std::string_view poolName(const RequestSpec &spec) {
  return spec.Service.empty() ? spec.Offer.Model : spec.Service;
}

} // namespace

EntryState::EntryState(boost::asio::io_context &io, const EntryOptions &options,
                       Metrics &metrics, EventSink events, EntryPeers peers,
                       wire::HybridClockHooks clockHooks)
    : Io(io), Options(options), Events(std::move(events)),
      Peers(std::move(peers)), Counts(metrics), Keyer(options.Secret),
      Ids(options.Secret), Loads(options.Loads), Retries(options.Retries),
      Ejected(options.Ejection),
      Limits(io, options.self().Name, options.Quotas, Peers.RequestQuota),
      Links(io, linksInit(options), agentHooks(std::move(clockHooks))),
      Tables(makeTable(std::make_shared<const Snapshot>())),
      Readers([this] { return Reader(Tables); }) {}

std::shared_ptr<const RoutingTable> EntryState::table() {
  return Readers.local().get();
}

void EntryState::publish(std::shared_ptr<const Snapshot> snapshot) {
  LoadReports.prune(*snapshot);
  Tables.publish(makeTable(std::move(snapshot), *Tables.load()));
  // The new configuration may change the release times of held requests.
  for (const auto &request : Requests.all())
    if (request->isHeld())
      request->push(ConfigChanged{});
}

Attempt EntryState::nextFirstAttempt() {
  int64_t ticks = (wallNow() - AttemptNumberEpoch) / AttemptNumberTick;
  Attempt fromClock = static_cast<Attempt>(std::max<int64_t>(ticks, 1));
  Attempt last = LastFirstAttempt.load(std::memory_order_relaxed);
  Attempt next = 0;
  do
    next = std::max(last + 2 * MaxAttempts, fromClock);
  while (!LastFirstAttempt.compare_exchange_weak(last, next,
                                                 std::memory_order_relaxed));
  return next;
}

std::vector<Candidate> EntryState::rank(const RequestSpec &spec,
                                        TimePoint now) {
  if (!spec.Offer.Ticket.empty()) {
    Error ignored;
    std::optional<Ticket> ticket = parseTicket(spec.Offer.Ticket, ignored);
    return ticket ? std::vector<Candidate>{{ticket->Instance, {}, {}}}
                  : std::vector<Candidate>();
  }
  std::shared_ptr<const RoutingTable> routes = table();
  bool isService = !spec.Service.empty();
  std::string_view serves = poolName(spec);
  const std::string &region = Options.self().Region;
  std::optional<uint32_t> depth =
      Popularity.chooseDepth(spec.Offer.Pieces, hashName(serves),
                             routes->servers(serves, isService, region), now);
  RouteKey key =
      makeRouteKey(hashName(spec.Offer.Organisation), serves, spec.Offer.Pieces,
                   std::hash<Id128>()(spec.Offer.Id), depth);
  CandidateList list =
      routes->candidates(serves, isService, key, Options.self().Region);
  RouteDecision decision =
      rankCandidates(list, routes->snapshot(), Loads, Options.Router,
                     spec.Offer.PromptTokens, key, Options.self().Region, now);
  Event event;
  event.Kind = EventKind::RequestRouted;
  event.Request = spec.Offer.Id;
  event.Scores = decision.scores();
  event.Subject = serves;
  Events(std::move(event));

  std::vector<Candidate> out;
  std::vector<Candidate> ejected;
  for (const RankedCandidate &it : decision) {
    const Server &server = routes->snapshot().Servers[it.Server.Index];
    bool isEjected = Ejected.isEjected(server.NameHash, now);
    (isEjected ? ejected : out)
        .push_back({server.Name, it.FirstToken, it.WaitLimit});
  }
  // Ejected servers are tried last: better than having no candidate.
  out.insert(out.end(), ejected.begin(), ejected.end());
  return out;
}

void EntryState::recordServerResult(const ReportServer &report,
                                    const RequestSpec &spec) {
  std::shared_ptr<const RoutingTable> routes = table();
  const Snapshot &config = routes->snapshot();
  const Server *server = config.server(report.Server);
  const Pool *pool = config.pool(poolName(spec), !spec.Service.empty());
  if (server == nullptr || pool == nullptr)
    return;
  TimePoint now = monotonicNow();
  uint64_t poolHash = hashName(pool->Name);
  EjectionVerdict verdict =
      report.Reported == ReportServer::Result::Failed
          ? Ejected.onFailure(poolHash, pool->Servers.size(), server->NameHash,
                              now)
          : Ejected.onAnswer(poolHash, pool->Servers.size(), server->NameHash,
                             report.Predicted, report.Measured, now);
  if (verdict == EjectionVerdict::None)
    return;
  Event event;
  event.Kind = EventKind::ServerEjected;
  event.Request = spec.Offer.Id;
  event.Subject = report.Server;
  event.Reason = verdict == EjectionVerdict::CapReached
                     ? ErrorKind::BudgetSpent
                     : ErrorKind::ServerFailed;
  Events(std::move(event));
}

AgentHooks EntryState::agentHooks(wire::HybridClockHooks clockHooks) {
  AgentHooks out;
  out.ClockHooks = std::move(clockHooks);
  out.Message = [this](const std::string &server, wire::Message message) {
    onMessage(server, std::move(message));
  };
  out.AttemptLost = [this](const AttemptKey &attempt, bool mayBeDelivered) {
    AttemptTable::const_accessor it;
    if (!Attempts.find(it, attempt)) {
      if (std::shared_ptr<TicketFetch> fetch = ticketFetch(attempt.Id))
        fetch->onLost(attempt.AttemptNumber);
      return;
    }
    std::shared_ptr<ActiveRequest> request = it->second;
    it.release();
    request->push(LinkLost{attempt.AttemptNumber, mayBeDelivered});
  };
  out.MessageRejected = [this](ErrorKind) { Counts.PeersRejected.add(); };
  return out;
}

std::shared_ptr<TicketFetch>
EntryState::ticketFetch(const RequestId &id) const {
  TicketFetchTable::const_accessor it;
  return TicketFetches.find(it, id) ? it->second : nullptr;
}

void EntryState::onMessage(const std::string &server, wire::Message message) {
  auto deliver = [&]<class Body>(Body body) {
    AttemptTable::const_accessor it;
    if (!Attempts.find(it, AttemptKey{body.Id, body.AttemptNumber}))
      return Counts.UnmatchedMessages.add();
    std::shared_ptr<ActiveRequest> request = it->second;
    it.release();
    request->push(ServerMessage{server, std::move(body)});
  };
  auto recordLoad = [&](const wire::LoadReport &load) {
    TimePoint now = monotonicNow();
    Loads.observe(hashName(server), load, now);
    LoadReports.update(server, load, now);
  };
  if (auto *accepted = std::get_if<wire::Accepted>(&message)) {
    recordLoad(accepted->Load);
    deliver(std::move(*accepted));
  } else if (auto *refused = std::get_if<wire::Refused>(&message)) {
    recordLoad(refused->Load);
    if (refused->Kind == ErrorKind::Draining)
      Peers.ReportDraining(server);
    deliver(std::move(*refused));
  } else if (auto *chunk = std::get_if<wire::Chunk>(&message)) {
    deliver(std::move(*chunk));
  } else if (auto *finished = std::get_if<wire::Finished>(&message)) {
    recordLoad(finished->Load);
    deliver(std::move(*finished));
  } else if (auto *reply = std::get_if<wire::TicketReply>(&message)) {
    if (std::shared_ptr<TicketFetch> fetch = ticketFetch(reply->Id))
      fetch->onReply(server, *reply);
  }
}

} // namespace daisytack::entry
