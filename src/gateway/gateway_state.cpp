#include "gateway/gateway_state.h"

#include "base/clock.h"
#include "base/duration.h"
#include "daisytack/limits.h"

#include <algorithm>
#include <utility>

namespace daisytack::gateway {

using admission::BusyReason;

namespace {

/// A server of the same deployment accepts a connection within a few
/// milliseconds; waiting longer for one that does not is pointless.
constexpr Duration BackendConnectTimeout{300'000};
constexpr Duration ControlConnectTimeout{500'000};
/// Idle connections kept to one server: enough for all requests that one entry
/// has at a server except in bursts, and small enough to leave room for other
/// entries within the server's connection limit.
constexpr size_t MaxIdlePerBackend = 24;
constexpr size_t MaxIdlePerControlServer = 4;
/// Longest answer to an entry's own calls, in bytes: several values of the
/// largest size in one answer of the key-value service.
constexpr size_t MaxControlAnswerBytes = 16 * MaxValueBytes;
/// Bytes of all answers to an entry's own calls that are received or decoded at
/// a time: the longest one, and one of the next longest kind beside it.
constexpr size_t MaxHeldControlBytes = MaxControlAnswerBytes + MaxFrameBytes;
/// Share of the instance's memory that the longest answer may take. Decoded it
/// takes up to three times its length.
constexpr size_t AnswerShareDivisor = 8;

net::HttpClientInit clientInit(const GatewayOptions &options, size_t idle,
                               Duration connect) {
  net::HttpClientInit out;
  out.MaxResponseBodyBytes =
      std::min(MaxControlAnswerBytes, options.MemoryBytes / AnswerShareDivisor);
  out.MaxHeldBytes =
      std::min(MaxHeldControlBytes, out.MaxResponseBodyBytes * 3 / 2);
  out.MaxIdlePerEndpoint = idle;
  out.ConnectTimeout = connect;
  return out;
}

/// The client must not resend requests: only the forwarding flow does, so that
/// an entry never claims that a request has not run although it may have.
net::HttpClientInit backendInit(const GatewayOptions &options) {
  net::HttpClientInit out =
      clientInit(options, MaxIdlePerBackend, BackendConnectTimeout);
  out.RetriesSafeMethods = false;
  out.ReceiveBufferBytes = options.receiveBufferBytes();
  return out;
}

std::string_view kindName(direct::RecordKind kind) {
  switch (kind) {
  case direct::RecordKind::Config:
    return "configuration";
  case direct::RecordKind::Server:
    return "backend_server";
  case direct::RecordKind::Weights:
    return "desired_weights";
  case direct::RecordKind::Entry:
    return "entry";
  case direct::RecordKind::Registration:
    return "entry_registration";
  case direct::RecordKind::Holder:
    return "order_holder";
  case direct::RecordKind::Retired:
    return "retired_context";
  case direct::RecordKind::RolloutTimes:
    return "rollout_times";
  case direct::RecordKind::SettledEpochs:
    return "settled_epochs";
  case direct::RecordKind::Quarantine:
    return "quarantined_request";
  case direct::RecordKind::Evacuation:
    return "evacuated_domain";
  case direct::RecordKind::Other:
    break;
  }
  return "other";
}

direct::CatalogHooks catalogHooks(const direct::Protocol &protocol,
                                  GatewayMetrics &stats, DecisionLog &log) {
  direct::CatalogHooks out;
  out.SubjectOf = protocol.SubjectOf;
  out.Decode = protocol.DecodeRecord;
  out.Changed = [&log](const direct::RecordSubject &subject,
                       std::string_view change, uint64_t revision,
                       TimePoint now) {
    log.write(LogPriority::Notable, "belief_changed",
              {{"subject", kindName(subject.Kind)},
               {"name", subject.Name},
               {"change", change},
               {"revision", revision}},
              now);
  };
  out.OutageSeen = [&log,
                    &stats](const std::optional<direct::AnswerPeriod> &period,
                            TimePoint now) {
    if (!period) {
      stats.OutagesDenied.add();
      return log.write(LogPriority::Notable, "service_outage_denied", {}, now);
    }
    stats.OutagesSeen.add();
    log.write(LogPriority::Notable, "service_outage_ended",
              {{"answering_ms", millisecondsOf(now - period->Since)},
               {"revision", period->Revision}},
              now);
  };
  out.Kept = [&log, &stats](const direct::KeptServer &kept, TimePoint now) {
    stats.RemovedServersKept.add();
    log.write(LogPriority::Notable, "removed_server_kept",
              {{"server", kept.Id},
               {"revision", kept.Revision},
               {"kept_ms", millisecondsOf(kept.KeptFor)},
               {"answering_ms", millisecondsOf(kept.AnsweringFor)}},
              now);
  };
  out.Unreadable = [&log, &stats](const direct::StoreRecord &record,
                                  const Error &reason, TimePoint now) {
    stats.UnreadableRecords.add();
    log.write(LogPriority::Notable, "record_unreadable",
              {{"key", record.Key},
               {"revision", record.Revision},
               {"reason", reason.Detail}},
              now);
  };
  return out;
}

Counter &refusedForLoad(Metrics &metrics, BusyReason reason) {
  return metrics.counter(
      "daisytack_requests_refused_for_load_total",
      "Requests refused as every backend server was too busy, by cause",
      {{"cause", std::string(admission::busyReasonName(reason))}});
}

Gauge *requestMemory(Metrics &metrics, admission::MemoryCause cause) {
  return &metrics.gauge(
      "daisytack_request_memory_bytes", "Bytes that requests hold, by cause",
      {{"cause", std::string(admission::memoryCauseName(cause))}});
}

admission::RequestMemorySettings memorySettings(const GatewayOptions &options) {
  admission::RequestMemorySettings out = options.Memory;
  out.InstanceBytes = options.MemoryBytes;
  return out;
}

Gauge &returnTickets(Metrics &metrics, const char *outcome) {
  return metrics.gauge(
      "daisytack_return_tickets",
      "Refused requests that were told when to return, and whether they did",
      {{"outcome", outcome}});
}

Gauge &quotaLoans(Metrics &metrics, const char *step) {
  return metrics.gauge("daisytack_quota_loans",
                       "Loans of requests from the shares of other entries",
                       {{"step", step}});
}

} // namespace

GatewayMetrics::GatewayMetrics(Metrics &metrics)
    : Requests(metrics.counter("daisytack_requests_total",
                               "Requests received from callers")),
      Refused(metrics.counter("daisytack_requests_refused_total",
                              "Requests answered as surely not run")),
      RefusedForWeights(metrics.counter(
          "daisytack_requests_refused_for_weights_total",
          "Requests refused as only weights past the rollout limit were left")),
      RefusedForMemory(refusedForLoad(metrics, BusyReason::Memory)),
      RefusedForQueue(refusedForLoad(metrics, BusyReason::Queue)),
      RefusedForPatience(refusedForLoad(metrics, BusyReason::Patience)),
      RefusedWithheld(refusedForLoad(metrics, BusyReason::Withheld)),
      RefusedForEntryMemory(metrics.counter(
          "daisytack_requests_refused_for_entry_memory_total",
          "Requests refused as this entry had no memory for their body")),
      RefusedForDrain(metrics.counter(
          "daisytack_requests_refused_for_drain_total",
          "Requests answered as surely not run since this entry is stopping")),
      CutByDrain(metrics.counter(
          "daisytack_requests_cut_by_drain_total",
          "Requests that may have run and that the end of this entry cut")),
      Failed(metrics.counter("daisytack_requests_failed_total",
                             "Requests that ended without a server's answer")),
      AnswersBroken(metrics.counter("daisytack_answers_broken_total",
                                    "Answers that were broken off midway")),
      CallersGone(metrics.counter("daisytack_callers_gone_total",
                                  "Callers that left before their answer")),
      Attempts(metrics.counter("daisytack_attempts_total",
                               "Attempts sent to backend servers")),
      OutdatedAttempts(
          metrics.counter("daisytack_attempts_outdated_total",
                          "Attempts sent to servers with outdated weights")),
      RetryAttempts(metrics.counter("daisytack_retries_total",
                                    "Attempts beyond the first of a request")),
      RetriesDenied(metrics.counter("daisytack_retries_denied_total",
                                    "Attempts that the budget did not allow")),
      AttemptsRejected(metrics.counter("daisytack_attempts_turned_away_total",
                                       "Attempts that a server refused unrun")),
      AttemptsLost(
          metrics.counter("daisytack_attempts_lost_total",
                          "Attempts given up as their server was lost")),
      AnswersDiscarded(metrics.counter(
          "daisytack_answers_discarded_total",
          "Answers of servers that belonged to another request")),
      AnswersMalformed(metrics.counter(
          "daisytack_answers_malformed_total",
          "Answers of servers that were malformed or too long")),
      ServersLost(metrics.counter(
          "daisytack_servers_lost_total",
          "Servers that sent nothing and established no connection")),
      ServerProbes(
          metrics.counter("daisytack_server_probes_total",
                          "Connections opened to probe silent servers")),
      Ejections(metrics.counter("daisytack_ejections_total",
                                "Times a server was left alone as failing")),
      StreamsResumed(metrics.counter(
          "daisytack_streams_resumed_total",
          "Streams that callers resumed at a server of the version that began "
          "them")),
      StreamsRefused(metrics.counter(
          "daisytack_streams_resumption_refused_total",
          "Streams not resumed as the version that began them is unknown or "
          "gone")),
      ServiceConfirmations(metrics.counter(
          "daisytack_service_confirmations_total",
          "Calls to the key-value service to bring the state up to date for "
          "resumed streams")),
      OutagesSeen(metrics.counter(
          "daisytack_service_outages_seen_total",
          "Ends of outages of the key-value service, also corrected ones")),
      OutagesDenied(metrics.counter(
          "daisytack_service_outages_denied_total",
          "Outages of the key-value service that were none, as it answered "
          "other entries")),
      RemovedServersKept(
          metrics.counter("daisytack_removed_servers_kept_total",
                          "Servers that stayed listed as their removed records "
                          "may have expired "
                          "in an outage of the key-value service")),
      AttemptsAfterLeaving(metrics.counter(
          "daisytack_attempts_after_leaving_total",
          "Attempts whose server left between its choice and the sending")),
      SharedTokens(metrics.counter("daisytack_shared_tokens_total",
                                   "Prompt tokens in parts that are shared")),
      SourcedTokens(metrics.counter(
          "daisytack_sourced_tokens_total",
          "Shared prompt tokens for which a store was named as source")),
      SavesRequested(metrics.counter("daisytack_saves_asked_total",
                                     "Parts that servers were asked to save")),
      SavesNeedless(metrics.counter(
          "daisytack_saves_needless_total",
          "Parts not saved as another save of them may be outstanding")),
      SavesNotGranted(metrics.counter(
          "daisytack_saves_not_granted_total",
          "Parts not saved as their owner could not tell or didn't answer")),
      BadDatagrams(metrics.counter("daisytack_peer_datagrams_bad_total",
                                   "Datagrams that could not be read")),
      BadPeerMessages(metrics.counter(
          "daisytack_peer_messages_bad_total",
          "Messages of other entries over HTTP that could not be read or be "
          "true")),
      UnreadableRecords(metrics.counter(
          "daisytack_records_unreadable_total",
          "Revisions of records of the key-value service that could not be "
          "read")),
      UnsentDatagrams(metrics.counter(
          "daisytack_peer_datagrams_unsent_total",
          "Datagrams to other entries that were too large or not sent")),
      BusyFeedCalls(metrics.counter(
          "daisytack_store_feeds_busy_total",
          "Calls for a store's changes that it had no place for")),
      RecordBytesSent(metrics.counter(
          "daisytack_record_bytes_sent_total",
          "Bytes of large records sent to other entries, encoded")),
      RecordBytesReceived(metrics.counter(
          "daisytack_record_bytes_received_total",
          "Bytes of large records received from other entries, encoded")),
      RecordPartsFailed(metrics.counter(
          "daisytack_record_parts_failed_total",
          "Parts of large records that did not arrive or were of no use")),
      Running(metrics.gauge("daisytack_requests_running",
                            "Requests without a final answer")),
      Quarantined(metrics.gauge(
          "daisytack_requests_quarantined",
          "Requests that are not passed on, as servers ended under them")),
      PartsKnown(metrics.gauge("daisytack_parts_known",
                               "Parts of prompts known to be in a store")),
      ServersKnown(metrics.gauge("daisytack_servers_known",
                                 "Backend servers in the catalog")),
      ServersCold(metrics.gauge(
          "daisytack_servers_cold",
          "Backend servers that count as cold, and get few requests")),
      ServicesInShortage(metrics.gauge(
          "daisytack_services_in_shortage",
          "Services that refused requests for load within the last second")),
      ServersSilent(metrics.gauge(
          "daisytack_servers_silent",
          "Servers that have sent nothing for longer than expected")),
      ReturnsIssued(returnTickets(metrics, "issued")),
      ReturnsUsed(returnTickets(metrics, "used")),
      ReturnsEarly(returnTickets(metrics, "early")),
      ReturnsExpired(returnTickets(metrics, "expired")),
      LoansRequested(quotaLoans(metrics, "requested")),
      LoansGranted(quotaLoans(metrics, "granted")),
      LoansReceived(quotaLoans(metrics, "received")),
      LoanRequestsSent(metrics.gauge(
          "daisytack_quota_loan_requests_used",
          "Requests sent to servers on loan from another entry's share")),
      ServersLimited(metrics.gauge(
          "daisytack_servers_limited",
          "Backend servers that named a limit on requests in their answers")),
      DomainsEvacuated(metrics.gauge(
          "daisytack_failure_domains_evacuated",
          "Failure domains whose servers get nothing, by the operator's word")),
      ConfigVersion(metrics.gauge("daisytack_configuration_version",
                                  "Version of the configuration in force")),
      RecordsBehindMs(metrics.gauge(
          "daisytack_records_behind_milliseconds",
          "For how long this entry has known of a large record that it lacks")),
      ServiceReachable(metrics.gauge("daisytack_service_reachable",
                                     "1 while the key-value service answers")),
      ServiceWatched(metrics.gauge(
          "daisytack_service_watched",
          "1 while this entry watches the key-value service itself")),
      ServiceEra(metrics.gauge("daisytack_service_era",
                               "Times that the key-value service has come back "
                               "from an older copy, as it counts them")),
      MemoryLimit(metrics.gauge(
          "daisytack_request_memory_limit_bytes",
          "What requests may hold, by the memory of the instance")),
      MemoryHeld{requestMemory(metrics, admission::MemoryCause::Body),
                 requestMemory(metrics, admission::MemoryCause::Answer),
                 requestMemory(metrics, admission::MemoryCause::Head)},
      FirstByteTime(
          metrics.distribution("daisytack_first_byte_seconds",
                               "From arrival to the answer's first byte",
                               Distribution::Unit::Seconds)),
      RequestTime(metrics.distribution("daisytack_request_seconds",
                                       "From arrival to the end of the answer",
                                       Distribution::Unit::Seconds)) {}

void ServerClock::observe(int64_t clockMs, TimePoint now) {
  OffsetMs = clockMs - now.time_since_epoch().count() / 1000;
}

std::optional<int64_t> ServerClock::at(TimePoint now) const {
  int64_t offset = OffsetMs;
  if (offset == Unknown)
    return std::nullopt;
  return offset + now.time_since_epoch().count() / 1000;
}

RetryBudget &RetryBudgets::budgetFor(const std::string &service,
                                     size_t entries) {
  std::lock_guard guard(Lock);
  auto &budget = Budgets[service];
  if (budget)
    return *budget;
  double slack = Settings.Slack * Settings.SafetyFactor /
                 static_cast<double>(std::max<size_t>(entries, 1));
  budget = std::make_unique<RetryBudget>(RetryBudgetSettings{
      Settings.Share * Settings.SafetyFactor, static_cast<uint32_t>(slack)});
  return *budget;
}

GatewayState::GatewayState(boost::asio::io_context &io,
                           const GatewayOptions &options,
                           direct::Protocol protocol, Metrics &metrics,
                           DecisionLog &log)
    : Io(io), Options(options), WireProtocol(std::move(protocol)), Log(log),
      Stats(metrics), Loads(options.Loads), Links(options.Links),
      PrefillRates(options.PrefillRate), AnswerTimes(options.AnswerTimes),
      OutlierEjector(options.Ejection), Suspects(options.Suspects), Origins({}),
      Software({}), StoredParts(options.StoredParts),
      ColdServers(options.SlowStart, options.Peers, monotonicNow()),
      Limits(options.Limits, options.Peers, monotonicNow()),
      Shares(options.Shares), Returns(options.Returns),
      Memory(
          std::make_shared<admission::RequestMemory>(memorySettings(options))),
      Placer(options.Placement, {options.FailureDomain, options.Regions},
             {Loads, Links, OutlierEjector, PrefillRates, StoredParts,
              ColdServers, Limits}),
      Retries(options.Retries), BackendClient(io, backendInit(options)),
      ControlClient(io, clientInit(options, MaxIdlePerControlServer,
                                   ControlConnectTimeout)),
      Catalog(options.Catalog, catalogHooks(WireProtocol, Stats, log)) {}

Error drainingError() {
  // Short, because a retry on a new connection reaches another entry.
  constexpr Duration RetryElsewhereAfter{10'000};
  return {ErrorKind::Draining, "this entry is stopping", RetryElsewhereAfter};
}

void RunningRequests::add(const std::shared_ptr<GatewayRequest> &request) {
  std::lock_guard guard(Lock);
  Requests[request.get()] = request;
}

void RunningRequests::remove(const GatewayRequest *request) {
  std::lock_guard guard(Lock);
  Requests.erase(request);
}

std::vector<std::shared_ptr<GatewayRequest>> RunningRequests::all() const {
  std::vector<std::shared_ptr<GatewayRequest>> out;
  std::lock_guard guard(Lock);
  for (const auto &[raw, weak] : Requests)
    if (auto request = weak.lock())
      out.push_back(std::move(request));
  return out;
}

size_t RunningRequests::size() const {
  std::lock_guard guard(Lock);
  return Requests.size();
}

void GatewayState::advanceSyncTime(TimePoint at) {
  int64_t known = at.time_since_epoch().count();
  if (known <= SyncedAt.load())
    return;
  SyncedAt = known;
  if (catalog()->isAnnounced(Options.Name, Options.Peers))
    AnnouncedAsOf = known;
}

void GatewayState::advanceSyncedRevision(uint64_t revision) {
  SyncedRevision = std::max(SyncedRevision.load(), revision);
}

direct::SourceEligibility GatewayState::sourceEligibility() const {
  direct::SourceEligibility out;
  // AnnouncedAsOf is read before the catalog, so that the catalog is at least
  // as new.
  out.AnnouncedAsOf = TimePoint(Duration(AnnouncedAsOf.load()));
  out.HasReadAll = HasReadAll;
  auto catalog = this->catalog();
  out.KnowsRetired = catalog->IsRetiredRecordReadable;
  out.IsRegistered = catalog->Registered.contains(Options.Peers);
  return out;
}

std::optional<int64_t> GatewayState::serverTimeForFetches(TimePoint now) const {
  if (!direct::mayNameSources(sourceEligibility(), Options.MaxSourceStaleness,
                              now))
    return std::nullopt;
  return Clock.at(now);
}

bool GatewayState::takesRequests(direct::ServerRef server,
                                 TimePoint now) const {
  return catalog()->takesRequests(server) && !Loads.view(server, now).IsLeaving;
}

bool GatewayState::isConfirmed(TimePoint now) const {
  return now.time_since_epoch().count() - ConfirmedAt.load() <
         Options.ConfirmedFor.count();
}

} // namespace daisytack::gateway
