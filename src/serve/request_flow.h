/// State machine of one request at an entry, from the first offer to the final
/// answer. Uses no socket, clock or thread. See docs/ENTRY.md.
///
/// Guarantees, even if messages are lost, delayed, duplicated or reordered:
/// - The caller receives each chunk once and in order, and one final answer.
/// - Only messages of this request that match an open attempt and its server
///   have any effect.
/// - A non-idempotent request is not offered again if a server that did not
///   refuse it may have received an offer.
/// - A request that is given up is answered immediately.
#pragma once

#include "serve/request_messages.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::entry {

/// A server that the request may be offered to.
struct Candidate {
  std::string Server;
  Duration FirstToken{0}; ///< Time to the first token that the entry predicts.
  /// Longest predicted queue wait that the first offer to the server allows;
  /// zero: no limit.
  Duration WaitLimit{0};
  auto operator<=>(const Candidate &) const = default;
};

/// Callbacks through which the owner of a flow makes decisions. Called during
/// apply().
struct FlowHooks {
  /// Returns the servers for the request, best first. The flow itself skips
  /// those that it has tried.
  std::function<std::vector<Candidate>(const RequestSpec &,
                                       const FlowContext &)>
      Rank;
  /// Takes one retry from the budget; false when the budget is spent. Empty:
  /// retries have no budget.
  std::function<bool()> TakeRetry;
  /// Source of jitter. Empty: retry delays have no jitter and are the shortest
  /// allowed.
  RandomSource Random;
  /// Updates version, adapter and piece keys of an offer to the configuration
  /// before a new attempt. Empty: offers keep them unchanged.
  std::function<void(wire::Offer &, const RequestSpec &, const FlowContext &)>
      Refresh;
};

/// State machine of one request. Not thread-safe: one thread at a time may
/// apply inputs.
class RequestFlow {
public:
  RequestFlow(RequestSpec spec, FlowSettings settings, FlowHooks hooks);

  /// Applies one input. The caller performs the returned actions in order.
  FlowActions apply(const FlowInput &input, const FlowContext &context);

  const RequestSpec &spec() const { return Spec; }
  bool isEnded() const { return Phase == FlowPhase::Ended; }
  /// True while the complete answer is held until its class's release time.
  bool isHeld() const { return Phase == FlowPhase::Held; }
  /// True once a server has accepted an offer.
  bool isAccepted() const { return WasAccepted; }
  /// Number of chunks received so far, counted from the start of the answer; a
  /// resumed stream starts with those that its caller already had.
  uint32_t chunks() const { return ChunksReceived; }
  /// Servers of the open attempts.
  std::vector<std::string> servers() const;
  /// Number of attempts so far, resumptions included.
  uint32_t attempts() const { return static_cast<uint32_t>(Attempts.size()); }

private:
  enum class FlowPhase : uint8_t { Waiting, Running, Held, Ended };
  enum class AttemptPhase : uint8_t { Offered, Accepted, Streaming, Closed };

  /// State of one attempt.
  struct AttemptState {
    Attempt Number = 0;
    std::string Server;
    AttemptPhase Phase = AttemptPhase::Offered;
    /// True if the server reported that it did not run the request.
    bool Refused = false;
    /// False if the server can't have received the offer.
    bool MayHaveArrived = true;
    bool HasWaitLimit = false; ///< True if the offer limited the queue wait.
    /// True if the server refused it as overloaded.
    bool ExceededWaitLimit = false;
    bool IsResume = false; ///< True if the attempt reads an existing answer and
                           ///< starts no run.
    TimePoint SentAt;
    TimePoint HedgeAt;     ///< From this time on the request may be hedged.
    Duration Predicted{0}; ///< Time to the first token that the agent predicts.

    bool isOpen() const { return Phase != AttemptPhase::Closed; }
  };

  /// Context of the current input, and the actions that it has caused so far.
  struct Step {
    const FlowContext &Context;
    FlowActions Out;
  };

  void on(const FlowStarted &input, Step &step);
  void on(const ServerMessage &input, Step &step);
  void on(const LinkLost &input, Step &step);
  void on(const TimerFired &input, Step &step);
  void on(const CallerDisconnected &input, Step &step);
  void on(const StopRequested &input, Step &step);
  void on(const ConfigChanged &input, Step &step);

  void onAccepted(AttemptState &attempt, const wire::Accepted &message,
                  Step &step);
  void onRefused(AttemptState &attempt, const wire::Refused &message,
                 Step &step);
  void onChunk(AttemptState &attempt, const wire::Chunk &message, Step &step);
  void onFinished(AttemptState &attempt, const wire::Finished &message,
                  Step &step);

  void offer(const Candidate &candidate, Step &step);
  void resume(const std::string &server, Attempt number, Step &step);
  /// Offers the request to another server, schedules a retry or gives up, after
  /// an attempt that ended without an answer. Does nothing while another
  /// attempt is open.
  void retryOrGiveUp(const Error &reason, Step &step);
  /// Closes an attempt that may have run but can't deliver its answer, then
  /// retries, reads the answer again or gives up.
  void onAttemptLost(AttemptState &attempt, const Error &reason, Step &step);
  std::optional<Candidate> pickServer(const FlowContext &context) const;
  bool canRetry(const FlowContext &context) const;
  bool takeRetry() const;
  /// Attempts that count against the limit: all but those refused because of a
  /// queue wait limit.
  uint32_t countedAttempts() const;
  bool waitForRetry(const FlowContext &context);
  bool hasOpenAttempt() const;
  bool mayHaveRun() const;
  AttemptState *findAttempt(Attempt number, std::string_view server);
  void hedge(Step &step);
  void cancel(AttemptState &attempt, Step &step);
  void cancelOthers(const Attempt winner, Step &step);
  void cancelAll(Step &step);

  void completeAnswer(AttemptState &attempt, const wire::Finished &message,
                      Step &step);
  void deliverAnswer(Step &step);
  void deliverOrHold(Step &step);
  void giveUp(Error reason, Outcome ran, Step &step);
  void end(Step &step);
  void armTimer(Step &step);
  std::optional<TimePoint> earliestTimer() const;
  void record(Step &step, EventKind kind, Attempt attempt,
              ErrorKind reason = ErrorKind::None, std::string subject = {},
              std::array<int64_t, Event::MaxScores> scores = {}) const;

  std::optional<WallTime> releaseTime(const FlowContext &context) const;
  void sendParts(Step &step);

  const RequestSpec Spec;
  const FlowSettings Settings;
  const FlowHooks Hooks;

  FlowPhase Phase = FlowPhase::Waiting;
  std::vector<AttemptState> Attempts;
  bool WasAccepted = false;
  bool HasWaitLimit = true;       ///< True while offers limit the queue wait.
  bool HasWaitedForRetry = false; ///< True once a retry was delayed: servers
                                  ///< that refused may get the offer again.
  uint32_t ReconnectCount = 0;
  Error LastReason;
  /// When an accepted request is offered again; unset if no retry is pending.
  std::optional<TimePoint> RetryAt;

  std::string Text; ///< Text of the chunks that are still needed.
  /// Chunks received, counted from index 0 of the answer.
  uint32_t ChunksReceived = 0;
  uint32_t ChunksSent = 0; ///< Chunks that the caller has been sent.
  size_t BytesSent = 0;    ///< Bytes of Text that the caller has been sent.
  std::string LastServer;  ///< Server that sent the last chunk.
  std::optional<TimePoint> FirstTokenAt;
  AnswerSummary Summary;

  bool CallerLeft = false;
  /// Unset while the caller is connected.
  std::optional<TimePoint> ResumeGraceEndsAt;
  /// Unset until an answer is held.
  std::optional<TimePoint> NextReleaseCheckAt;
  std::optional<TimePoint> ArmedTimer; ///< Unset: no timer is armed.
};

} // namespace daisytack::entry
