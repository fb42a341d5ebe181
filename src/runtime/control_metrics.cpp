#include "runtime/control_metrics.h"

namespace daisytack::runtime {

namespace {

/// Raises the counter to a total that another component maintains.
void raiseTo(Counter &counter, uint64_t total) {
  uint64_t shown = counter.get();
  if (total > shown)
    counter.add(total - shown);
}

} // namespace

ControlMetrics::ControlMetrics(Metrics &metrics)
    : Registry(metrics),
      Revision(metrics.gauge("daisytack_config_revision",
                             "Revision of the configuration in force")),
      Objects(metrics.gauge("daisytack_config_objects",
                            "Configuration objects in force")),
      Members(metrics.gauge("daisytack_members", "Instances known")),
      Reader(metrics.gauge("daisytack_platform_reader",
                           "1 when this process reads the platform")),
      ReachedMillis(metrics.gauge(
          "daisytack_platform_reached_age_milliseconds",
          "Since any reader was last answered, as far as known; -1: never")),
      UnreadableObjects(metrics.gauge(
          "daisytack_config_not_understood",
          "Objects whose value needs a newer build or does not parse")),
      Sent(metrics.counter("daisytack_control_sent_bytes_total",
                           "Bytes sent to peers, with headers")),
      Received(metrics.counter("daisytack_control_received_bytes_total",
                               "Bytes received from peers, with headers")),
      RateLimited(metrics.counter("daisytack_control_held_total",
                                  "Messages held back by the budget of bytes")),
      StateMismatches(
          metrics.counter("daisytack_control_other_state_total",
                          "Messages of another lineage or service")) {}

void ControlMetrics::update(const ControlStats &stats) {
  Revision.set(static_cast<int64_t>(stats.ConfigRevision));
  Objects.set(static_cast<int64_t>(stats.Objects));
  Members.set(static_cast<int64_t>(stats.Members));
  Reader.set(stats.Reader ? 1 : 0);
  ReachedMillis.set(stats.SinceReached
                        ? std::chrono::duration_cast<std::chrono::milliseconds>(
                              *stats.SinceReached)
                              .count()
                        : -1);
  UnreadableObjects.set(static_cast<int64_t>(stats.UnreadableObjects));
  raiseTo(Sent, stats.BytesSent);
  raiseTo(Received, stats.BytesReceived);
  raiseTo(RateLimited, stats.Gossip.RateLimited);
  raiseTo(StateMismatches, stats.Gossip.StateMismatches);
}

void ControlMetrics::countRejected(ErrorKind kind) {
  Registry
      .counter("daisytack_peer_rejected_total",
               "Messages of peers that were refused",
               {{"reason", std::string(errorName(kind))}})
      .add();
}

void ControlMetrics::countCommand(control::CommandOutcome outcome) {
  Registry
      .counter("daisytack_commands_total", "Commands by their outcome",
               {{"outcome", std::string(commandOutcomeName(outcome))}})
      .add();
}

} // namespace daisytack::runtime
