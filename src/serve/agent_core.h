/// The agent's state machine: every decision that an agent takes, without a
/// socket, clock or thread. Work arrives on many threads, and is applied here
/// by one at a time; what follows from it is returned as actions.
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

/// Settings of an agent that its decisions use.
struct AgentSettings {
  std::string Instance;
  Incarnation Process;
  std::string Serves; ///< Model or plain service behind this agent.
  bool IsService = false;
  RunQueueSettings Queue; ///< Slots: runs at the backend server at once.
  AcceptanceSettings Acceptance;
  PredictorSettings Predictor;
  uint32_t MaxWaiting = 4096; ///< A bound on memory; time bounds the queue.
  uint32_t DefaultMaxTokens = 256; ///< For offers that name none.
  Duration TicketLife{10LL * 60 * 1'000'000};
  size_t MaxTickets = 100'000;       ///< Records of non-idempotent calls.
  Duration ResumeWindow{10'000'000}; ///< How long an answer without a reader
                                     ///< is kept.
  size_t MaxAnswerBytes = 4U << 20;  ///< Held of one answer.
  size_t MaxHeldBytes = 256U << 20;  ///< Held of all answers.
  Duration StatusPeriod{500'000};    ///< Also between looks for runs at risk.
  Duration CacheEventPeriod{200'000};
  Duration SilenceLimit{3'000'000}; ///< Engine counts as unreachable after.
  Duration SnapshotPeriod{20'000};  ///< Least time between two snapshots.
  StoreSettings Stores;
  FetchSettings Fetch;
  ExportSettings Export;
  swap::ConvergerInit Swap; ///< Model, instance and process are filled in.
  size_t MaxCachedPieces = 1U << 16; ///< Believed of the engine's cache.
};

/// Not thread-safe: one thread at a time applies inputs. snapshot() and load()
/// of it may be read by any.
class AgentCore {
public:
  AgentCore(AgentSettings settings, RandomSource random);
  ~AgentCore();
  AgentCore(const AgentCore &) = delete;
  AgentCore &operator=(const AgentCore &) = delete;

  /// Applies one input. Actions are to be carried out in order.
  AgentActions apply(AgentInput input, TimePoint now);
  /// The same, appending to actions that are there already.
  void apply(AgentInput input, TimePoint now, AgentActions &out);

  /// When TimerFired is wanted next; nothing when no time is awaited.
  std::optional<TimePoint> nextTimer() const;
  /// True once a drain was asked for and no accepted request is left to
  /// answer.
  bool isDrained() const;
  /// True while new requests could be accepted.
  bool isReady() const;
  wire::LoadReport loadReport(TimePoint now) const;
  const Rcu<AgentSnapshot> &snapshot() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

} // namespace daisytack::serve
