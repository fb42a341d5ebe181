/// The parts of AgentCore. Its functions stand in agent_core.cpp (dispatch,
/// timers, pictures), agent_links.cpp (what entries say) and agent_runs.cpp
/// (what the backend server says).
#pragma once

#include "serve/agent_core.h"
#include "serve/agent_run.h"

#include <deque>
#include <map>

namespace daisytack::serve {

/// One application of an input: the present time and where actions go.
struct Step {
  TimePoint Now;
  AgentActions &Out;
};

/// An attempt that was cancelled before it was offered, as far as this agent
/// saw them: crossed messages.
struct CancelledAttempt {
  Attempt Try = 0;
  TimePoint Until;
};

struct AgentCore::Impl {
  Impl(AgentSettings settings, RandomSource random);

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
  void on(const StoreAnswer &input, Step &step);
  void on(const AgentConfig &input, Step &step);
  void on(const DrainRequested &input, Step &step);
  void on(const TimerFired &input, Step &step);

  // What entries say.
  void onOffer(LinkHandle link, const wire::Offer &offer, Step &step);
  void onCancel(LinkHandle link, const wire::Cancel &cancel, Step &step);
  void onResume(LinkHandle link, const wire::Resume &resume, Step &step);
  void onTicketRequest(LinkHandle link, const wire::TicketRequest &request,
                       Step &step);
  /// Why the offer can't be taken; Kind None when it can.
  Error judgeOffer(const wire::Offer &offer, Step &step) const;
  Error judgeRepeat(const Run &run, const wire::Offer &offer) const;
  void accept(LinkHandle link, const wire::Offer &offer, Step &step);
  void refuse(LinkHandle link, const wire::Offer &offer, const Error &why,
              Outcome ran, Step &step);
  void join(Run &run, LinkHandle link, const wire::Offer &offer, Step &step);
  void sendAccepted(const Run &run, const Reader &reader, Step &step);
  /// Chunks from the index on, and the final message when there is one.
  void replay(Run &run, const Reader &reader, uint32_t from, Step &step);
  bool wasCancelled(const wire::Offer &offer, TimePoint now) const;
  void forgetCancelled(TimePoint now);

  // Runs.
  void startWaiting(Step &step);
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
  void leaveServer(Run &run);
  void keepForReaders(Run &run, TimePoint now);
  void handBackWaiting(const Error &why, Step &step);
  void boundHeldBytes(Step &step);

  // Pictures and timers.
  void wakeRun(const RequestId &id, Step &step);
  void poll(Step &step);
  void publish(TimePoint now);
  std::optional<TimePoint> nextTimer() const;
  bool isDrained() const;
  bool isReady() const;
  bool isLeaving() const { return Draining || Config.Drained; }
  bool isReachable() const;
  const std::string &version() const { return Engine.Version; }
  wire::LoadReport loadReport(TimePoint now) const;
  std::shared_ptr<const AgentSnapshot> picture(TimePoint now) const;
  void record(Step &step, EventKind kind, const Run &run,
              ErrorKind reason = ErrorKind::None,
              std::array<int64_t, Event::MaxScores> scores = {});
  void send(Step &step, LinkHandle link, wire::Message message);

  AgentSettings Settings;
  RandomSource Random;
  RunTable Runs;
  std::deque<RequestId> Queue;
  uint32_t Running = 0;
  uint32_t Starts = 0;
  size_t HeldBytes = 0;
  std::map<RequestId, CancelledAttempt> CancelledEarly;
  std::deque<RefusalView> Refusals;

  AgentConfig Config;
  bool Draining = false;
  EngineStatus Engine;
  std::optional<TimePoint> EngineSeen;
  TimePoint NextStatus;
  TimePoint NextCacheEvents;
  uint64_t CacheNext = 0;

  bool Dirty = true;
  TimePoint NextPicture;
  Rcu<AgentSnapshot> Picture;
};

} // namespace daisytack::serve
