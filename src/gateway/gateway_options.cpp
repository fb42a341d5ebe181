#include "gateway/gateway_options.h"

#include <algorithm>
#include <chrono>

namespace daisytack::gateway {

using namespace std::chrono_literals;

namespace {

constexpr int64_t ConnectionsUpperBound = 1'000'000;
constexpr int64_t LoadsUpperBound = 1000;
constexpr double MemoryMbLowerBound = 16;
constexpr double BytesPerMb = 1e6;
constexpr int64_t LogLinesUpperBound = 100'000;
constexpr int64_t SlackUpperBound = 1'000'000;
constexpr double NumberUpperBound = 1e6;
constexpr int64_t CandidatesUpperBound = 10'000;
constexpr int64_t PeersUpperBound = 10'000;
/// A crash report names at most eight servers.
constexpr int64_t QuarantineServersUpperBound = 8;
/// Time between the choice of a server and the start of the request there, not
/// counting the server's queue.
constexpr Duration OldWeightsMargin{1'000'000};

constexpr double OvershootUpperBound = 1000;

/// Memory of the instance for each connection of a caller: the head of a
/// request, input ahead of its answer, and a part of the request's own state.
constexpr size_t BytesPerConnection = 80U << 10;
/// On smaller instances, receive buffers don't grow beyond the usual initial
/// size: many connections that are not read would fill the memory.
constexpr size_t SmallInstanceBytes = 256'000'000;
constexpr size_t SmallReceiveBufferBytes = 64U << 10;

/// Reads a list of "DOMAIN:REGION".
void readRegions(Settings &settings, GatewayOptions &out) {
  constexpr std::string_view Key = "instance.regions";
  for (const std::string &it : settings.list(Key)) {
    size_t colon = it.find(':');
    if (colon == 0 || colon == std::string::npos || colon + 1 == it.size()) {
      settings.reject(Key, "write each failure domain as DOMAIN:REGION");
      continue;
    }
    out.Regions[it.substr(0, colon)] = it.substr(colon + 1);
  }
}

void readSlowStart(Settings &settings, GatewayOptions &out) {
  balancing::SlowStartSettings &start = out.SlowStart;
  start.Overshoot = settings.number("slow_start.overshoot", start.Overshoot, 0,
                                    OvershootUpperBound);
  start.Slack =
      settings.number("slow_start.slack", start.Slack, 0, NumberUpperBound);
}

void readLimits(Settings &settings, GatewayOptions &out) {
  out.MaxConnections = static_cast<size_t>(settings.integer(
      "callers.max_connections", static_cast<int64_t>(out.MaxConnections), 1,
      ConnectionsUpperBound));
  out.Drain.NoticePeriod =
      settings.duration("entry.drain_notice", out.Drain.NoticePeriod, 0s, 1min);
  out.ConfirmedFor =
      settings.duration("store.confirmed_for", out.ConfirmedFor, 100ms, 1min);
  out.LeaseTerm =
      settings.duration("store.lease_term", out.LeaseTerm, 500ms, 10min);
  out.WakeDelay =
      settings.duration("store.wake_pause", out.WakeDelay, 0s, 1min);
  out.Catalog.ExpiryGrace =
      settings.duration("store.lapse_grace", out.Catalog.ExpiryGrace, 0s, 1min);
  out.Retries.Share = settings.number("retries.share", out.Retries.Share, 0, 1);
  out.Retries.Slack = static_cast<uint32_t>(
      settings.integer("retries.slack", out.Retries.Slack, 0, SlackUpperBound));
  out.Suspects.ServersToQuarantine = static_cast<size_t>(
      settings.integer("quarantine.servers",
                       static_cast<int64_t>(out.Suspects.ServersToQuarantine),
                       0, QuarantineServersUpperBound));
  out.Suspects.QuarantineDuration = settings.duration(
      "quarantine.time", out.Suspects.QuarantineDuration, 10s, 24h);
  out.LoadExchange.MaxPeersPerInterval = static_cast<size_t>(settings.integer(
      "peers.loads_at_once",
      static_cast<int64_t>(out.LoadExchange.MaxPeersPerInterval), 1,
      PeersUpperBound));
  out.LoadExchange.Interval = settings.duration(
      "peers.load_interval", out.LoadExchange.Interval, 10ms, 1min);
  out.Follow.EntriesPerReader = static_cast<size_t>(settings.integer(
      "store.entries_per_reader",
      static_cast<int64_t>(out.Follow.EntriesPerReader), 0, PeersUpperBound));
  out.ConcurrentLoads = static_cast<uint32_t>(settings.integer(
      "weights.concurrent_loads", out.ConcurrentLoads, 1, LoadsUpperBound));
  out.ConcurrentLoadShare = settings.number("weights.concurrent_share",
                                            out.ConcurrentLoadShare, 0, 1);
  out.ServersCheckFence =
      settings.flag("weights.servers_check_fence", out.ServersCheckFence);
  out.Log.LinesPerSecond = static_cast<uint32_t>(settings.integer(
      "log.lines_per_second", out.Log.LinesPerSecond, 1, LogLinesUpperBound));
}

void readPlacement(Settings &settings, GatewayOptions &out) {
  direct::PlacementSettings &place = out.Placement;
  out.PrefillRate.InitialTokensPerMs = settings.number(
      "placement.prefill_tokens_per_ms", out.PrefillRate.InitialTokensPerMs,
      0.001, NumberUpperBound);
  place.OtherDomainMs = settings.number(
      "placement.other_domain_ms", place.OtherDomainMs, 0, NumberUpperBound);
  place.SessionCandidates = static_cast<size_t>(settings.integer(
      "placement.session_candidates",
      static_cast<int64_t>(place.SessionCandidates), 1, CandidatesUpperBound));
  place.PatienceShare = settings.number(
      "placement.patience_share", place.PatienceShare, 0, NumberUpperBound);
  place.FetchedWeight = settings.number(
      "placement.fetched_weight", place.FetchedWeight, 0, NumberUpperBound);
  place.Queue.QueueShare = settings.number(
      "placement.queue_share", place.Queue.QueueShare, 0, NumberUpperBound);
  place.Queue.UrgentFactor =
      settings.number("placement.urgent_queue_factor", place.Queue.UrgentFactor,
                      0, NumberUpperBound);
  place.Queue.IsByTarget =
      settings.flag("admission.queue_by_target", place.Queue.IsByTarget);
  out.Silence.Share =
      settings.number("balancing.silence_share", out.Silence.Share, 0, 1);
  out.Silence.ProbeTimeout = settings.duration(
      "balancing.probe_timeout", out.Silence.ProbeTimeout, 10ms, 10s);
  out.Limits.HasLoans =
      settings.flag("balancing.quota_loans", out.Limits.HasLoans);
  out.SlowStart.HasLoans = out.Limits.HasLoans;
  out.Returns.Spread = settings.number("admission.return_spread",
                                       out.Returns.Spread, 0, NumberUpperBound);
  out.Returns.UsesTickets =
      settings.flag("admission.return_priority", out.Returns.UsesTickets);
  out.Shares.IsEnabled =
      settings.flag("admission.fair_shares", out.Shares.IsEnabled);
  out.Shares.MinFactor =
      settings.number("admission.min_share_factor", out.Shares.MinFactor, 0, 1);
  place.OverloadRetryShare =
      settings.number("placement.overload_retry_share",
                      place.OverloadRetryShare, 0, NumberUpperBound);
  place.MemoryShare = settings.number("placement.memory_share",
                                      place.MemoryShare, 0, NumberUpperBound);
  place.MinFetchMs = settings.number("placement.least_fetch_ms",
                                     place.MinFetchMs, 0, NumberUpperBound);
  place.FetchShare = settings.number("placement.fetch_share", place.FetchShare,
                                     0, NumberUpperBound);
  out.Forward.ResponseTimeoutFactor =
      settings.number("entry.silence_factor", out.Forward.ResponseTimeoutFactor,
                      0, NumberUpperBound);
  place.OldWeightsMs = settings.number("placement.old_weights_ms",
                                       place.OldWeightsMs, 0, NumberUpperBound);
  place.OldWeightsLimit =
      settings.duration("placement.old_weights_limit",
                        place.OldWeightsLimit + OldWeightsMargin, 2s, 1h) -
      OldWeightsMargin;
}

} // namespace

size_t GatewayOptions::connectionLimit() const {
  return std::min(MaxConnections, MemoryBytes / BytesPerConnection);
}

size_t GatewayOptions::receiveBufferBytes() const {
  return MemoryBytes < SmallInstanceBytes ? SmallReceiveBufferBytes : 0;
}

bool isGatewaySettings(const Settings &settings) {
  return settings.has("store.address");
}

GatewayOptions readGatewayOptions(Settings &settings) {
  GatewayOptions out;
  // Three failures in a row of requests on their first server are rare even
  // where one call in seven fails by itself, and an ejected server is soon
  // tried again.
  out.Ejection = {4, 1e9, 2s, 20s, 10s, 600s, true};
  out.Name = settings.text("instance.name", std::nullopt);
  out.FailureDomain = settings.text("instance.failure_domain", std::nullopt);
  out.LinkMbps = static_cast<uint32_t>(
      settings.number("instance.link_mbps", 0, 0, NumberUpperBound));
  out.MemoryBytes = static_cast<size_t>(
      settings.number("instance.memory_mb",
                      static_cast<double>(out.MemoryBytes) / BytesPerMb,
                      MemoryMbLowerBound, NumberUpperBound) *
      BytesPerMb);
  out.Callers = settings.endpoint("callers.listen", std::nullopt);
  out.Readiness = settings.endpoint("readiness.listen", std::nullopt);
  out.ReadinessPath = settings.text("readiness.path", "/ready");
  out.Metrics = settings.endpoint("metrics.listen", std::nullopt);
  out.Peers = settings.endpoint("peers.listen", std::nullopt);
  out.Seeds = settings.endpoints("peers.seeds");
  out.Store = settings.endpoint("store.address", std::nullopt);
  readRegions(settings, out);
  readSlowStart(settings, out);
  readLimits(settings, out);
  readPlacement(settings, out);
  return out;
}

} // namespace daisytack::gateway
