/// Metrics of an agent, updated from its events and snapshots.
#pragma once

#include "base/metrics.h"
#include "daisytack/event.h"
#include "serve/agent_snapshot.h"

#include <array>

namespace daisytack::agent {

/// Thread-safe.
class AgentMetrics {
public:
  explicit AgentMetrics(Metrics &metrics);

  /// Updates the counters and distributions.
  void count(const Event &event);
  void updateGauges(const serve::AgentSnapshot &snapshot);

private:
  static constexpr size_t KindCount =
      static_cast<size_t>(ErrorKind::Internal) + 1;
  using ByKind = std::array<Counter *, KindCount>;

  static ByKind byKind(Metrics &metrics, const std::string &name,
                       const std::string &help);
  void countFinished(const Event &event);

  Counter &Accepted;
  ByKind Refused;
  ByKind Finished;
  Counter &Started;
  Counter &AttemptsLost;
  Counter &Preempted;
  Counter &Resumed;
  Counter &PromptTokens;
  Counter &RecomputedTokens;
  Counter &GeneratedTokens;
  Counter &PiecesFetched;
  Counter &FetchedBytes;
  Counter &PiecesRejected;
  Counter &PiecesExported;
  Counter &ExportedBytes;
  Counter &PiecesEvicted;
  Counter &CacheGaps;
  Counter &TicketsRefused;
  Counter &PeersRejected;
  Distribution &FirstToken;
  Distribution &RunDuration;
  Gauge &Running;
  Gauge &Waiting;
  Gauge &WaitMicros;
  Gauge &Reachable;
};

} // namespace daisytack::agent
