/// State shared by all requests of one entry process.
#pragma once

#include "agent_links.h"
#include "base/event_ring.h"
#include "base/metrics.h"
#include "base/rcu.h"
#include "decide/ejection.h"
#include "decide/load_view.h"
#include "decide/prefix_popularity.h"
#include "decide/retry_budget.h"
#include "decide/routing.h"
#include "entry_metrics.h"
#include "entry_options.h"
#include "latest_load_reports.h"
#include "limit_enforcer.h"
#include "request_registry.h"
#include "serve/caller_ids.h"
#include "serve/request_flow.h"

#include <tbb/concurrent_hash_map.h>
#include <tbb/enumerable_thread_specific.h>

#include <atomic>
#include <functional>
#include <memory>

namespace daisytack::entry {

class ActiveRequest;
class TicketFetch;

/// Maps the attempts of requests in flight to their requests.
using AttemptTable =
    tbb::concurrent_hash_map<AttemptKey, std::shared_ptr<ActiveRequest>,
                             AttemptKeyHash>;

/// Ticket requests in progress, by their request id.
using TicketFetchTable =
    tbb::concurrent_hash_map<Id128, std::shared_ptr<TicketFetch>, Id128Hash>;

/// Functions that send to peers through ControlRuntime.
struct EntryPeers {
  SendQuotaRequest RequestQuota;
  /// Reports that the agent has refused an offer because it is draining.
  std::function<void(const std::string &server)> ReportDraining;
};

/// All members are thread-safe.
class EntryState {
public:
  EntryState(boost::asio::io_context &io, const EntryOptions &options,
             Metrics &metrics, EventSink events, EntryPeers peers,
             wire::HybridClockHooks clockHooks);

  /// Current routing table with its snapshot, through the thread-local reader.
  std::shared_ptr<const RoutingTable> table();
  void publish(std::shared_ptr<const Snapshot> snapshot);

  /// Candidates for a request, best first. A request with a ticket has one
  /// candidate: the server that issued the ticket.
  std::vector<Candidate> rank(const RequestSpec &spec, TimePoint now);
  /// Updates ejection with the result of an attempt at a server.
  void recordServerResult(const ReportServer &report, const RequestSpec &spec);
  /// First attempt number for a request id that other flows may share, at this
  /// or another entry. Higher than the attempt numbers of earlier flows.
  Attempt nextFirstAttempt();

  boost::asio::io_context &Io;
  const EntryOptions &Options;
  const EventSink Events;
  const EntryPeers Peers;
  EntryMetrics Counts;
  PieceKeyer Keyer;
  CallerIds Ids;
  LoadView Loads;
  PrefixPopularity Popularity{{}};
  LatestLoadReports LoadReports;
  RetryBudget Retries;
  Ejector Ejected;
  LimitEnforcer Limits;
  RequestRegistry Requests;
  AttemptTable Attempts;
  TicketFetchTable TicketFetches;
  AgentLinks Links;
  std::atomic<size_t> Running{0};
  std::atomic<bool> Draining{false};

private:
  AgentHooks agentHooks(wire::HybridClockHooks clockHooks);
  std::shared_ptr<TicketFetch> ticketFetch(const RequestId &id) const;
  void onMessage(const std::string &server, wire::Message message);

  using Reader = Rcu<RoutingTable>::Reader;
  Rcu<RoutingTable> Tables;
  tbb::enumerable_thread_specific<Reader> Readers;
  std::atomic<Attempt> LastFirstAttempt{0};
};

} // namespace daisytack::entry
