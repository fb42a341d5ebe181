#include "gateway/gateway_options.h"

#include <chrono>

namespace daisytack::gateway {

using namespace std::chrono_literals;

namespace {

constexpr int64_t MostConnections = 1'000'000;
constexpr int64_t MostLoads = 1000;
constexpr int64_t MostLogLines = 100'000;
constexpr int64_t MostSlack = 1'000'000;
constexpr double MostWeight = 1e6;
constexpr int64_t MostCandidates = 10'000;
constexpr int64_t MostPeersAtOnce = 10'000;
/// Reports hold eight servers.
constexpr int64_t MostServersToEnd = 8;
/// Between the choice of a server and the start of a run, beyond what the
/// server's queue takes.
constexpr Duration OldWeightsMargin{1'000'000};

constexpr double MostOvershoot = 1000;

/// "DOMAIN:REGION" each.
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
  direct::SlowStartSettings &start = out.SlowStart;
  start.Overshoot = settings.number("slow_start.overshoot", start.Overshoot, 0,
                                    MostOvershoot);
  start.Slack = settings.number("slow_start.slack", start.Slack, 0, MostWeight);
}

void readLimits(Settings &settings, GatewayOptions &out) {
  out.MaxConnections = static_cast<size_t>(settings.integer(
      "callers.max_connections", static_cast<int64_t>(out.MaxConnections), 1,
      MostConnections));
  out.Drain.NoticePeriod =
      settings.duration("entry.drain_notice", out.Drain.NoticePeriod, 0s, 1min);
  out.ConfirmedFor =
      settings.duration("store.confirmed_for", out.ConfirmedFor, 100ms, 1min);
  out.LeaseTerm =
      settings.duration("store.lease_term", out.LeaseTerm, 500ms, 10min);
  out.WakePause =
      settings.duration("store.wake_pause", out.WakePause, 0s, 1min);
  out.Catalog.LapseGrace =
      settings.duration("store.lapse_grace", out.Catalog.LapseGrace, 0s, 1min);
  out.Retries.Share = settings.number("retries.share", out.Retries.Share, 0, 1);
  out.Retries.Slack = static_cast<uint32_t>(
      settings.integer("retries.slack", out.Retries.Slack, 0, MostSlack));
  out.Suspects.ServersToQuarantine = static_cast<size_t>(
      settings.integer("quarantine.servers",
                       static_cast<int64_t>(out.Suspects.ServersToQuarantine),
                       0, MostServersToEnd));
  out.Suspects.QuarantineDuration = settings.duration(
      "quarantine.time", out.Suspects.QuarantineDuration, 10s, 24h);
  out.LoadExchange.MostAtOnce = static_cast<size_t>(settings.integer(
      "peers.loads_at_once", static_cast<int64_t>(out.LoadExchange.MostAtOnce),
      1, MostPeersAtOnce));
  out.LoadExchange.Interval = settings.duration(
      "peers.load_interval", out.LoadExchange.Interval, 10ms, 1min);
  out.Follow.EntriesPerReader = static_cast<size_t>(settings.integer(
      "store.entries_per_reader",
      static_cast<int64_t>(out.Follow.EntriesPerReader), 0, MostPeersAtOnce));
  out.ConcurrentLoads = static_cast<uint32_t>(settings.integer(
      "weights.concurrent_loads", out.ConcurrentLoads, 1, MostLoads));
  out.ConcurrentLoadShare = settings.number("weights.concurrent_share",
                                            out.ConcurrentLoadShare, 0, 1);
  out.ServersCheckFence =
      settings.flag("weights.servers_check_fence", out.ServersCheckFence);
  out.Log.LinesPerSecond = static_cast<uint32_t>(settings.integer(
      "log.lines_per_second", out.Log.LinesPerSecond, 1, MostLogLines));
}

void readPlacement(Settings &settings, GatewayOptions &out) {
  direct::PlacementSettings &place = out.Placement;
  out.Reading.PriorTokensPerMs =
      settings.number("placement.prefill_tokens_per_ms",
                      out.Reading.PriorTokensPerMs, 0.001, MostWeight);
  place.OtherDomainMs = settings.number("placement.other_domain_ms",
                                        place.OtherDomainMs, 0, MostWeight);
  place.SessionCandidates = static_cast<size_t>(settings.integer(
      "placement.session_candidates",
      static_cast<int64_t>(place.SessionCandidates), 1, MostCandidates));
  place.PatienceShare = settings.number("placement.patience_share",
                                        place.PatienceShare, 0, MostWeight);
  place.FetchedWeight = settings.number("placement.fetched_weight",
                                        place.FetchedWeight, 0, MostWeight);
  place.QueueShare =
      settings.number("placement.queue_share", place.QueueShare, 0, MostWeight);
  place.UrgentQueueFactor = settings.number(
      "placement.urgent_queue_factor", place.UrgentQueueFactor, 0, MostWeight);
  place.OverloadRetryShare =
      settings.number("placement.overload_retry_share",
                      place.OverloadRetryShare, 0, MostWeight);
  place.MemoryShare = settings.number("placement.memory_share",
                                      place.MemoryShare, 0, MostWeight);
  place.LeastFetchMs = settings.number("placement.least_fetch_ms",
                                       place.LeastFetchMs, 0, MostWeight);
  place.FetchShare =
      settings.number("placement.fetch_share", place.FetchShare, 0, MostWeight);
  out.Forward.SilenceFactor = settings.number(
      "entry.silence_factor", out.Forward.SilenceFactor, 0, MostWeight);
  place.OldWeightsMs = settings.number("placement.old_weights_ms",
                                       place.OldWeightsMs, 0, MostWeight);
  place.OldWeightsLimit =
      settings.duration("placement.old_weights_limit",
                        place.OldWeightsLimit + OldWeightsMargin, 2s, 1h) -
      OldWeightsMargin;
}

} // namespace

bool isGatewaySettings(const Settings &settings) {
  return settings.has("store.address");
}

GatewayOptions readGatewayOptions(Settings &settings) {
  GatewayOptions out;
  // A request on its first server failing thrice in a row is rare even where
  // one in seven calls fails by itself; a server is tried again soon.
  out.Ejection = {4, 1e9, 2s, 20s, 10s, 600s, true};
  out.Name = settings.text("instance.name", std::nullopt);
  out.FailureDomain = settings.text("instance.failure_domain", std::nullopt);
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
