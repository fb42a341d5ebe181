/// Private implementation of AgentCore. Its functions are defined in
/// agent_core.cpp (dispatch, timers, snapshots), agent_offers.cpp (accepting
/// and refusing offers), agent_links.cpp (other messages from entries),
/// agent_queue.cpp (queueing and preemption), agent_runs.cpp (output of the
/// backend server and the end of runs), agent_context.cpp (kept context) and
/// agent_swap.cpp (weight versions).
#pragma once

#include "serve/agent_core.h"
#include "serve/agent_run.h"
#include "serve/agent_step.h"

#include <deque>
#include <unordered_map>

namespace daisytack::serve {

/// A refused or cancelled attempt. Remembered so that a delayed or duplicate
/// offer of the same attempt is not accepted as a new one.
struct ClosedAttempt {
  Attempt AttemptNumber = 0;
  TimePoint ExpiresAt; ///< The attempt is removed at this time.
};

/// Sequence number of the first cache event after an engine starts.
constexpr uint64_t FirstCacheEvent = 1;

struct AgentCore::Impl {
  Impl(AgentSettings settings, RandomSource random);
  /// Returns a sink that turns each event of a component into an action of the
  /// step in progress.
  EventSink sink();

  // Input handlers, one per type of AgentInput.
  void on(const LinkOpened &input, Step &step);
  void on(const LinkMessage &input, Step &step);
  void on(const LinkClosed &input, Step &step);
  void on(const RunText &input, Step &step);
  void on(const RunDone &input, Step &step);
  void on(const RunFailed &input, Step &step);
  void on(const EngineStatus &input, Step &step);
  void on(const EngineUnresponsive &input, Step &step);
  void on(const CacheEvents &input, Step &step);
  void on(const PieceExport &input, Step &step);
  void on(const PieceImport &input, Step &step);
  void on(const OrderAnswer &input, Step &step);
  void on(const SlotAnswer &input, Step &step);
  void on(StoreAnswer &input, Step &step);
  void on(const AgentConfig &input, Step &step);
  void on(const StopRequested &input, Step &step);
  void on(const DrainRequested &input, Step &step);
  void on(const TimerFired &input, Step &step);

  // Messages from entries.
  void onOffer(LinkHandle link, const wire::Offer &offer, Step &step);
  void onCancel(LinkHandle link, const wire::Cancel &cancel, Step &step);
  /// Tells a cancelled reader that its attempt is over while the run continues
  /// for other readers.
  void confirmCancel(const Run &run, const Reader &reader, Step &step);
  void onResume(LinkHandle link, const wire::Resume &resume, Step &step);
  void onTicketRequest(LinkHandle link, const wire::TicketRequest &request,
                       Step &step);
  /// Handles an offer of a request that must run at most once.
  void onTicketOffer(LinkHandle link, const wire::Offer &offer, Step &step);
  /// Accepts or refuses the offer. Returns false if it was refused.
  bool decideOffer(LinkHandle link, const wire::Offer &offer,
                   std::optional<TicketKey> ticket, Step &step);
  /// Returns the offer without its pieces if they are keyed under a weight
  /// version that the engine does not run, so that no kept context is read or
  /// written for it.
  wire::Offer withUsablePieces(wire::Offer offer) const;
  /// Returns why the offer can't be accepted regardless of load, or Kind None
  /// if it can.
  Error checkOffer(const wire::Offer &offer, Step &step) const;
  /// Returns why an offer with the id of a known run can't join that run, or
  /// Kind None if it can.
  Error checkRepeatedOffer(const Run &run, const wire::Offer &offer) const;
  /// Decides by predicted load. Suspends a preemptible run of lower priority if
  /// the request can only be accepted that way.
  AcceptanceDecision decideByLoad(const RunRequest &request, Step &step);
  void accept(LinkHandle link, std::unique_ptr<Run> run,
              const RunRequest &request, const AcceptanceDecision &decision,
              Step &step);
  void refuse(LinkHandle link, const wire::Offer &offer, const Error &why,
              Outcome ran, Step &step,
              std::array<int64_t, Event::MaxScores> scores = {});
  /// Adds the offer's link as a reader of a run that already exists.
  void join(Run &run, LinkHandle link, const wire::Offer &offer, Step &step);
  void sendAccepted(const Run &run, const Reader &reader, Step &step);
  /// Sends the reader the chunks from index `from` on, and the final message if
  /// the run has finished. Sends Refused if these chunks are no longer held.
  void replay(Run &run, const Reader &reader, uint32_t from, Step &step);
  /// Marks the attempt and all earlier ones of the request as closed.
  void rememberClosed(const RequestId &id, Attempt attempt, TimePoint now);
  bool isClosed(const wire::Offer &offer, TimePoint now) const;
  void expireClosedAttempts(TimePoint now);
  void removeOldestClosedAttempt();

  // Queue.
  RunRequest queueRequest(const Run &run, TimePoint now) const;
  /// Prompt tokens that are not in the engine's cache.
  uint32_t tokensToPrefill(const wire::Offer &offer) const;
  /// Gives free slots to waiting and suspended runs.
  void startWaiting(Step &step);
  /// Starts a run that has a slot, unless its context is still being fetched.
  void onSlotAcquired(Run &run, Step &step);
  void suspend(Run &run, Step &step);
  void resume(Run &run, Step &step);
  /// Preempts other runs for accepted runs that are predicted to miss their
  /// deadline, or fails those that another server may still finish in time.
  void handleRunsAtRisk(Step &step);
  /// Handles one run at risk. Returns false if neither would help.
  bool handleRunAtRisk(const RunRequest &risk, Step &step);
  /// Updates the predictor from runs that are still in progress.
  void observeRunning(TimePoint now);
  /// Updates the predictor from a run that has completed.
  void observeFinished(const Run &run, const RunDone &done, TimePoint now);

  // Kept context.
  /// Starts fetching the run's kept context from the stores.
  void fetchContext(Run &run, const AcceptanceDecision &decision, Step &step);
  /// Starts writing a completed run's context to the stores.
  void keepContext(const Run &run, const RunDone &done, Step &step);
  /// Applies the progress of fetches, and starts the transfers that the store
  /// links allow.
  void processFetches(Step &step);
  void onFetchUpdate(const FetchUpdate &update, Step &step);
  /// Starts the transfers that the store links allow.
  void startTransfers(Step &step);

  // Weight versions.
  swap::SwapView swapView() const;
  /// Moves the engine towards the weight version in the configuration.
  void converge(Step &step);
  void performSwapActions(swap::SwapActions actions, Step &step);
  /// Orders the engine to load weights or an adapter.
  void sendOrder(const swap::LoadOrder &load, Step &step);
  /// Weight version that the engine is known to run. Empty if unknown.
  std::string trustedVersion() const;

  // Runs.
  /// True if the engine has changed its weight version since the offer arrived.
  bool hasOutdatedVersion(const Run &run) const;
  /// Sends the run to the backend server.
  void start(Run &run, Step &step);
  /// Returns the unfinished run with this token, or null if an input from the
  /// backend server is about an earlier start or a finished run.
  Run *findActive(const RunToken &token);
  /// Returns true if the answer carries the token of the run. Fails the run
  /// otherwise.
  bool checkAnswerToken(Run &run, const RunToken &answer, Step &step);
  /// Cancels the run at the backend server and fails it.
  void loseAttempt(Run &run, const Error &why, Step &step);
  /// Finishes the run and sends the final message to its readers. Sends nothing
  /// to the backend server.
  void finish(Run &run, wire::Finished final, Step &step);
  /// Removes an accepted run that never reached the backend server, and sends
  /// Refused to its readers.
  void refuseAccepted(Run &run, const Error &why, Step &step);
  /// Ends the run with an error: refuses it if it can't have run, and finishes
  /// it otherwise.
  void fail(Run &run, const Error &why, Step &step);
  /// Cancels the run at the backend server if it was started there.
  void stopAtServer(Run &run, Step &step);
  void sendFinal(Run &run, const Reader &reader, Step &step);
  /// Abandons the run's fetch and removes the run from the queue.
  void releaseQueueEntry(Run &run, Step &step);
  /// Starts the resume window if the run has no reader, and ends it if it has
  /// one.
  void updateRetention(Run &run, TimePoint now);
  /// Fails all runs that wait for a slot or their context.
  void failWaiting(const Error &why, Step &step);
  /// Stores the outcome in the ledger if the run must run at most once.
  void finishTicket(const Run &run, const wire::Finished &final, Step &step);
  /// Removes the oldest finished runs while answers exceed MaxHeldBytes.
  void evictFinishedAnswers();
  /// Drops leading ids of FinishedOrder whose runs were removed.
  void pruneFinishedOrder();

  // Snapshots and timers.
  /// Ends a run whose deadline or resume window has passed.
  void onRunTimer(const RequestId &id, Step &step);
  /// Polls the engine and looks for runs at risk when these are due.
  void tick(Step &step);
  /// Whether periodic ticks are needed at present.
  bool needsTick() const;
  /// Publishes a snapshot if the state has changed and one is due.
  void publish(TimePoint now);
  std::optional<TimePoint> nextTimer() const;
  bool isDrained() const;
  bool isReady() const;
  bool isLeaving() const { return Draining || Config.Drained; }
  bool isReachable() const;
  /// Whether the engine's last status is recent enough to act on.
  bool isStatusFresh(TimePoint now) const;
  const std::string &version() const { return Engine.Version; }
  wire::LoadReport loadReport(TimePoint now) const;
  /// Number of reused pieces of the organisation.
  uint64_t hitsOf(const std::string &organisation) const;
  std::shared_ptr<const AgentSnapshot> makeSnapshot(TimePoint now) const;
  void record(Step &step, EventKind kind, const Run &run,
              ErrorKind reason = ErrorKind::None,
              std::array<int64_t, Event::MaxScores> scores = {});
  void send(Step &step, LinkHandle link, wire::Message message);

  AgentSettings Settings;
  RandomSource Random;
  RunTable Runs;
  RunQueue Queue;
  ServerPredictor Predictor;
  AgentActions *CurrentActions =
      nullptr; ///< Of the step in progress, for sink(); else null.
  TicketLedger Tickets;
  uint32_t StartCount = 0; ///< Gives each start a RunToken::Start of its own.
  CallIdSource CallIds;
  EngineView CacheView;
  StoreTable Stores;
  FetchFlow Fetch;
  ExportFlow Exports;
  std::unordered_map<std::string, uint64_t>
      Hits; ///< Reused pieces by organisation.
  swap::Converger Swap;
  swap::SwapView LastSwapView; ///< Last one passed to Swap.
  CallId LatestOrderCall = 0;  ///< Answers to other calls are ignored. 0: none.
  Duration WallOffset{0};      ///< Wall clock minus monotonic clock.
  TimePoint LastStepAt;        ///< Time of the latest step.
  size_t HeldBytes = 0;        ///< Size of the answers of all runs.
  std::deque<RequestId> FinishedOrder; ///< Oldest first; may name removed runs.
  std::unordered_map<RequestId, ClosedAttempt> ClosedAttempts;
  std::deque<RequestId> ClosedOrder; ///< Oldest first.
  std::deque<RefusalView> Refusals;  ///< The latest, oldest first.

  AgentConfig Config;
  bool Draining = false;
  EngineStatus Engine;
  /// Time of the engine's last status; empty if it does not answer.
  std::optional<TimePoint> EngineSeenAt;
  TimePoint NextTick;
  TimePoint NextCacheEvents;

  bool Dirty = true;      ///< The state has changed since the last snapshot.
  TimePoint NextSnapshot; ///< No snapshot is published before this time.
  Rcu<AgentSnapshot> Snapshot;
};

} // namespace daisytack::serve
