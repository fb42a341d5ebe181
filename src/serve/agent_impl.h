/// The parts of AgentCore. Its functions stand in agent_core.cpp (dispatch,
/// timers, pictures), agent_offers.cpp (accept or refuse), agent_links.cpp
/// (what else entries say), agent_queue.cpp (who runs next), agent_runs.cpp
/// (what the backend server says, and how runs end), agent_context.cpp (kept
/// context) and agent_swap.cpp (weight versions).
#pragma once

#include "serve/agent_core.h"
#include "serve/agent_run.h"
#include "serve/agent_step.h"

#include <deque>
#include <unordered_map>

namespace daisytack::serve {

/// An attempt that is over, so that an offer of it that comes late or twice is
/// not taken for a new one.
struct ClosedAttempt {
  Attempt Try = 0;
  TimePoint Until;
};

/// Sequence of an engine's first cache event after its start.
constexpr uint64_t FirstCacheEvent = 1;

struct AgentCore::Impl {
  Impl(AgentSettings settings, RandomSource random);
  /// Events of the parts become actions of the present step.
  EventSink sink();

  // Dispatch: one function per input.
  void on(const LinkOpened &input, Step &step);
  void on(const LinkMessage &input, Step &step);
  void on(const LinkClosed &input, Step &step);
  void on(const RunText &input, Step &step);
  void on(const RunDone &input, Step &step);
  void on(const RunFailed &input, Step &step);
  void on(const EngineStatus &input, Step &step);
  void on(const EngineSilent &input, Step &step);
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

  // What entries say.
  void onOffer(LinkHandle link, const wire::Offer &offer, Step &step);
  void onCancel(LinkHandle link, const wire::Cancel &cancel, Step &step);
  void sendLeft(const Run &run, const Reader &reader, Step &step);
  void onResume(LinkHandle link, const wire::Resume &resume, Step &step);
  void onTicketRequest(LinkHandle link, const wire::TicketRequest &request,
                       Step &step);
  /// An offer that may run at most once.
  void onTicketOffer(LinkHandle link, const wire::Offer &offer, Step &step);
  /// Accepts it or refuses it; false when refused.
  bool decideOffer(LinkHandle link, const wire::Offer &offer,
                   std::optional<TicketKey> ticket, Step &step);
  /// Why the offer can't be taken, whatever the load; Kind None when it can.
  /// The offer as this server may run it: pieces keyed under a version that it
  /// does not run are left out, so that nothing kept is read or written for it.
  wire::Offer withOwnPieces(wire::Offer offer) const;
  Error judgeOffer(const wire::Offer &offer, Step &step) const;
  Error judgeRepeat(const Run &run, const wire::Offer &offer) const;
  /// Predicts, and preempts lower priority where only that makes it fit.
  AcceptanceDecision judgeLoad(const RunRequest &request, Step &step);
  void accept(LinkHandle link, std::unique_ptr<Run> run,
              const RunRequest &request, const AcceptanceDecision &decision,
              Step &step);
  void refuse(LinkHandle link, const wire::Offer &offer, const Error &why,
              Outcome ran, Step &step,
              std::array<int64_t, Event::MaxScores> scores = {});
  void join(Run &run, LinkHandle link, const wire::Offer &offer, Step &step);
  void sendAccepted(const Run &run, const Reader &reader, Step &step);
  /// Chunks from the index on, and the final message when there is one.
  void replay(Run &run, const Reader &reader, uint32_t from, Step &step);
  void close(const RequestId &id, Attempt attempt, TimePoint now);
  bool isClosed(const wire::Offer &offer, TimePoint now) const;
  void forgetClosed(TimePoint now);
  void forgetOldestClosed();

  // Queue.
  RunRequest queueRequest(const Run &run, TimePoint now) const;
  uint32_t tokensToPrefill(const wire::Offer &offer) const;
  void startWaiting(Step &step);
  /// The run has its slot: start it as soon as its context is there.
  void useSlot(Run &run, Step &step);
  void suspend(Run &run, Step &step);
  void resume(Run &run, Step &step);
  /// Moves accepted runs that would miss their deadline here.
  void saveRunsAtRisk(Step &step);
  bool saveRunAtRisk(const RunRequest &risk, Step &step);
  /// Learns from runs that take longer than predicted.
  void observeRunning(TimePoint now);
  void observeFinished(const Run &run, const RunDone &done, TimePoint now);

  // Kept context.
  void fetchContext(Run &run, const AcceptanceDecision &decision, Step &step);
  void keepContext(const Run &run, const RunDone &done, Step &step);
  /// Applies what fetches have come to, and starts what the links permit.
  void settleContext(Step &step);
  void onFetchNews(const FetchNews &news, Step &step);
  void startTransfers(Step &step);

  // Weight versions.
  swap::SwapView swapView() const;
  void converge(Step &step);
  void perform(swap::SwapActions actions, Step &step);
  void order(const swap::LoadOrder &load, Step &step);
  /// The version that the engine surely runs; empty when that is unknown.
  std::string trustedVersion() const;

  // Runs.
  bool isOvertaken(const Run &run) const;
  void start(Run &run, Step &step);
  /// The unfinished run that an input of the backend server is for; nothing
  /// when it is late.
  Run *current(const RunToken &token);
  /// True when the answer names its own run; else the attempt is lost.
  bool isOwnAnswer(Run &run, const RunToken &answer, Step &step);
  void lose(Run &run, const Error &why, Step &step);
  /// Ends the run and tells its readers; the backend server is told nothing.
  void finish(Run &run, wire::Finished final, Step &step);
  /// Ends a run that the backend server never saw: Refused after Accepted.
  void handBack(Run &run, const Error &why, Step &step);
  void fail(Run &run, const Error &why, Step &step);
  void stopAtServer(Run &run, Step &step);
  void sendFinal(Run &run, const Reader &reader, Step &step);
  void leaveServer(Run &run, Step &step);
  void keepForReaders(Run &run, TimePoint now);
  void handBackWaiting(const Error &why, Step &step);
  void settleTicket(const Run &run, const wire::Finished &final, Step &step);
  void boundHeldBytes();
  void forgetFinished();

  // Pictures and timers.
  void wakeRun(const RequestId &id, Step &step);
  void tick(Step &step);
  /// Sets or clears the time of the next tick.
  bool wantsTicks() const;
  void publish(TimePoint now);
  std::optional<TimePoint> nextTimer() const;
  bool isDrained() const;
  bool isReady() const;
  bool isLeaving() const { return Draining || Config.Drained; }
  bool isReachable() const;
  /// Whether the engine's status may still be acted on.
  bool isStatusFresh(TimePoint now) const;
  const std::string &version() const { return Engine.Version; }
  wire::LoadReport loadReport(TimePoint now) const;
  /// Pieces of the organisation that were reused.
  uint64_t hitsOf(const std::string &organisation) const;
  std::shared_ptr<const AgentSnapshot> picture(TimePoint now) const;
  void record(Step &step, EventKind kind, const Run &run,
              ErrorKind reason = ErrorKind::None,
              std::array<int64_t, Event::MaxScores> scores = {});
  void send(Step &step, LinkHandle link, wire::Message message);

  AgentSettings Settings;
  RandomSource Random;
  RunTable Runs;
  RunQueue Queue;
  ServerPredictor Predictor;
  AgentActions *Out =
      nullptr; ///< Of the present step, for the ledger's events.
  TicketLedger Tickets;
  uint32_t Starts = 0;
  CallNumbers Numbers;
  EngineView View;
  StoreTable Stores;
  FetchFlow Fetch;
  ExportFlow Exports;
  std::unordered_map<std::string, uint64_t> Hits; ///< By organisation.
  swap::Converger Swap;
  swap::SwapView SwapSeen; ///< By Swap, last.
  CallId OrderCall = 0;    ///< The one whose answer counts.
  Duration WallOffset{0};  ///< Wall clock less monotonic clock.
  TimePoint Latest;        ///< Of the present or last step.
  size_t HeldBytes = 0;
  std::deque<RequestId> FinishedOrder; ///< Oldest first; some are gone.
  std::unordered_map<RequestId, ClosedAttempt> Closed;
  std::deque<RequestId> ClosedOrder; ///< Oldest first.
  std::deque<RefusalView> Refusals;

  AgentConfig Config;
  bool Draining = false;
  EngineStatus Engine;
  std::optional<TimePoint> EngineSeen;
  TimePoint NextTick;
  TimePoint NextCacheEvents;

  bool Dirty = true;
  TimePoint NextPicture;
  Rcu<AgentSnapshot> Picture;
};

} // namespace daisytack::serve
