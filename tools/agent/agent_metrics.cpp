#include "agent_metrics.h"

#include "base/standard_metrics.h"

namespace daisytack::agent {

namespace {

uint64_t scoreOf(const Event &event, size_t i) {
  return static_cast<uint64_t>(std::max<int64_t>(event.Scores[i], 0));
}

} // namespace

AgentMetrics::ByKind AgentMetrics::byKind(Metrics &metrics,
                                          const std::string &name,
                                          const std::string &help) {
  ByKind out{};
  for (size_t i = 0; i < KindCount; ++i) {
    std::string kind(errorName(static_cast<ErrorKind>(i)));
    out[i] = &metrics.counter(name, help, {{"kind", kind}});
  }
  return out;
}

AgentMetrics::AgentMetrics(Metrics &metrics)
    : Accepted(
          metrics.counter("daisytack_agent_accepted_total", "Offers accepted")),
      Refused(byKind(metrics, "daisytack_agent_refused_total",
                     "Offers refused, and accepted ones handed back")),
      Finished(byKind(metrics, "daisytack_agent_finished_total",
                      "Runs ended; kind none: whole")),
      Started(metrics.counter("daisytack_agent_started_total",
                              "Runs handed to the backend server")),
      AttemptsLost(metrics.counter("daisytack_agent_attempts_lost_total",
                                   "Runs that broke at the backend server")),
      Preempted(metrics.counter("daisytack_agent_preempted_total",
                                "Runs suspended for a higher priority")),
      Resumed(metrics.counter("daisytack_agent_resumed_total",
                              "Answers resumed over another connection")),
      PromptTokens(metrics.counter("daisytack_agent_prompt_tokens_total",
                                   "Prompt tokens of whole answers")),
      RecomputedTokens(
          metrics.counter("daisytack_agent_recomputed_tokens_total",
                          "Prompt tokens that were prefilled again")),
      GeneratedTokens(metrics.counter("daisytack_agent_generated_tokens_total",
                                      "Tokens of answers")),
      PiecesFetched(metrics.counter("daisytack_agent_pieces_fetched_total",
                                    "Pieces whose fetch was started")),
      FetchedBytes(LinkMetrics::bytes(metrics, "fetch")),
      PiecesRejected(
          metrics.counter("daisytack_agent_pieces_rejected_total",
                          "Pieces that were not used after a check")),
      PiecesExported(metrics.counter("daisytack_agent_pieces_exported_total",
                                     "Pieces committed to a store")),
      ExportedBytes(LinkMetrics::bytes(metrics, "export")),
      PiecesEvicted(metrics.counter("daisytack_agent_pieces_evicted_total",
                                    "Pieces freed in a full store")),
      CacheGaps(metrics.counter("daisytack_agent_cache_gaps_total",
                                "Gaps in the engine's cache events")),
      TicketsRefused(metrics.counter("daisytack_agent_tickets_refused_total",
                                     "Calls refused by their ticket")),
      PeersRejected(metrics.counter("daisytack_agent_peers_rejected_total",
                                    "Messages of entries that can't be read")),
      FirstToken(
          metrics.distribution("daisytack_agent_first_token_seconds",
                               "From an offer's arrival to the first token",
                               Distribution::Unit::Seconds)),
      RunDuration(metrics.distribution("daisytack_agent_run_seconds",
                                       "From an offer's arrival to the end",
                                       Distribution::Unit::Seconds)),
      Running(metrics.gauge("daisytack_agent_running",
                            "Runs at the backend server")),
      Waiting(metrics.gauge("daisytack_agent_waiting", "Runs that wait")),
      WaitMicros(metrics.gauge("daisytack_agent_wait_microseconds",
                               "Predicted wait of a new request")),
      Reachable(metrics.gauge("daisytack_agent_server_reachable",
                              "1 while the backend server answers")) {}

void AgentMetrics::count(const Event &event) {
  switch (event.Kind) {
  case EventKind::OfferAccepted:
    return Accepted.add();
  case EventKind::OfferRefused:
    return Refused[static_cast<size_t>(event.Reason)]->add();
  case EventKind::RunStarted:
    return Started.add();
  case EventKind::FirstToken:
    return FirstToken.observe(Duration(event.Scores[0]));
  case EventKind::RunFinished:
    return countFinished(event);
  case EventKind::AttemptLost:
    return AttemptsLost.add();
  case EventKind::RunPreempted:
    return Preempted.add();
  case EventKind::StreamResumed:
    return Resumed.add();
  case EventKind::FetchStarted:
    PiecesFetched.add(scoreOf(event, 0));
    return FetchedBytes.add(scoreOf(event, 1));
  case EventKind::PieceRejected:
    return PiecesRejected.add();
  case EventKind::PieceExported:
    PiecesExported.add();
    return ExportedBytes.add(scoreOf(event, 1));
  case EventKind::PieceEvicted:
    return PiecesEvicted.add();
  case EventKind::CacheGap:
    return CacheGaps.add();
  case EventKind::TicketRefused:
    return TicketsRefused.add();
  case EventKind::PeerRejected:
    return PeersRejected.add();
  default:
    return;
  }
}

void AgentMetrics::countFinished(const Event &event) {
  Finished[static_cast<size_t>(event.Reason)]->add();
  RunDuration.observe(Duration(event.Scores[0]));
  PromptTokens.add(scoreOf(event, 1));
  RecomputedTokens.add(scoreOf(event, 2));
  GeneratedTokens.add(scoreOf(event, 3));
}

void AgentMetrics::updateGauges(const serve::AgentSnapshot &snapshot) {
  Running.set(snapshot.Load.Running);
  Waiting.set(snapshot.Load.Waiting);
  WaitMicros.set(static_cast<int64_t>(snapshot.Load.WaitMicros));
  Reachable.set(snapshot.EngineReachable ? 1 : 0);
}

} // namespace daisytack::agent
