/// The agent's state machine. It takes all decisions of an agent and uses no
/// socket, clock or thread. Inputs may come from many threads, but must be
/// applied one at a time; the state machine returns the actions to perform.
#pragma once

#include "base/rcu.h"
#include "decide/acceptance.h"
#include "decide/predictor.h"
#include "decide/run_queue.h"
#include "once/ticket_ledger.h"
#include "serve/agent_export.h"
#include "serve/agent_fetch.h"
#include "serve/agent_messages.h"
#include "serve/agent_snapshot.h"

#include <memory>
#include <optional>

namespace daisytack::serve {

/// Settings for the decisions of an agent.
struct AgentSettings {
  std::string Instance;
  Incarnation Process;
  std::string Serves;     ///< Name of the model or plain service of this agent.
  bool IsService = false; ///< True for a plain service, false for a model.
  /// Slots is the maximum number of concurrent runs at the backend server.
  RunQueueSettings Queue;
  AcceptanceSettings Acceptance;
  PredictorSettings Predictor;
  /// Maximum number of waiting requests. Limits memory only: the queue is
  /// limited by waiting time.
  uint32_t MaxWaiting = 4096;
  uint32_t DefaultMaxTokens = 256; ///< For offers without a maximum.
  /// Time for which a new ticket is valid.
  Duration TicketLife{10LL * 60 * 1'000'000};
  size_t MaxTickets = 100'000; ///< Maximum records of non-idempotent calls.
  /// Time for which the answer of a run is kept while it has no reader.
  Duration ResumeWindow{10'000'000};
  /// Maximum buffered bytes of one answer.
  size_t MaxAnswerBytes = 4U << 20;
  /// Buffered bytes of all answers above which finished answers are dropped,
  /// the oldest first.
  size_t MaxTotalAnswerBytes = 256U << 20;
  /// Interval of status polls, and of checks for runs that may miss their
  /// deadline.
  Duration StatusPeriod{500'000};
  /// Interval of polls for the engine's cache events.
  Duration CacheEventPeriod{200'000};
  /// Time without a status after which the engine counts as unreachable.
  Duration EngineTimeout{3'000'000};
  Duration SnapshotPeriod{20'000}; ///< Minimum time between two snapshots.
  StoreSettings Stores;
  FetchSettings Fetch;
  ExportSettings Export;
  /// The agent sets the slot's model, instance and process itself.
  swap::ConvergerInit Swap;
  /// Maximum number of pieces tracked in the view of the engine's cache.
  size_t MaxCachedPieces = 1U << 16;
};

/// Not thread-safe: only one thread at a time may apply inputs. Any thread may
/// call snapshot() and load its value.
class AgentCore {
public:
  AgentCore(AgentSettings settings, RandomSource random);
  ~AgentCore();
  AgentCore(const AgentCore &) = delete;
  AgentCore &operator=(const AgentCore &) = delete;

  /// Applies one input and returns the actions, which the caller must perform
  /// in order.
  AgentActions apply(AgentInput input, TimePoint now);
  /// Applies one input and appends the actions to out.
  void apply(AgentInput input, TimePoint now, AgentActions &out);

  /// Time at which the next TimerFired must be applied; nullopt if no timer is
  /// set.
  std::optional<TimePoint> nextTimer() const;
  /// True when a drain was requested and all accepted requests are answered.
  bool isDrained() const;
  /// True while the agent can accept new requests.
  bool isReady() const;
  wire::LoadReport loadReport(TimePoint now) const;
  const Rcu<AgentSnapshot> &snapshot() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace daisytack::serve
