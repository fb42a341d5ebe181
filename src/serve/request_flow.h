/// The path of one request at an entry: every decision from the first offer to
/// the final answer, without a socket, clock or thread. See docs/ENTRY.md.
///
/// What it keeps to, whatever is lost, late, doubled or crossed:
/// - The caller sees each chunk once and in order, and one final answer.
/// - Only messages of its own request, from the server and attempt that were
///   asked, have any effect.
/// - A non-idempotent request is never offered again once an offer may have
///   reached a server that did not refuse it.
/// - A request that is given up is answered at once.
#pragma once

#include "serve/request_messages.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::entry {

/// A server that an attempt may be offered to.
struct Candidate {
  std::string Server;
  Duration FirstToken{0}; ///< Predicted by the entry.
  Duration Patience{0};   ///< Longest wait to ask it for while others are left.
  auto operator<=>(const Candidate &) const = default;
};

/// Decisions that a flow leaves to its owner. Called during apply().
struct FlowHooks {
  /// Servers for the request, best first. Those tried before are left out by
  /// the flow itself.
  std::function<std::vector<Candidate>(const RequestSpec &,
                                       const FlowContext &)>
      Rank;
  /// Takes one retry from the budget; false when it is spent. Empty: none is
  /// kept.
  std::function<bool()> TakeRetry;
  /// For jitter. Empty: waits are the shortest that are allowed.
  RandomSource Random;
  /// Brings version, adapter and piece keys of an offer up to date with the
  /// configuration, for a new attempt.
  std::function<void(wire::Offer &, const RequestSpec &, const FlowContext &)>
      Refresh;
};

/// Not thread-safe: one thread at a time applies inputs.
class RequestFlow {
public:
  RequestFlow(RequestSpec spec, FlowSettings settings, FlowHooks hooks);

  /// Applies one input. Actions are to be carried out in order.
  FlowActions apply(const FlowInput &input, const FlowContext &context);

  const RequestSpec &spec() const { return Spec; }
  bool isEnded() const { return Phase == FlowPhase::Ended; }
  /// True while the whole answer waits for its class's release time.
  bool isHeld() const { return Phase == FlowPhase::Held; }
  /// True once a server has accepted it, or begun to answer.
  bool isAccepted() const { return WasAccepted; }
  uint32_t chunks() const { return ChunksReceived; }
  /// Servers that may be working on it now.
  std::vector<std::string> servers() const;
  uint32_t attempts() const { return static_cast<uint32_t>(Tries.size()); }

private:
  enum class FlowPhase : uint8_t { Waiting, Running, Held, Ended };
  enum class TryPhase : uint8_t { Offered, Accepted, Streaming, Closed };

  /// One attempt.
  struct Try {
    Attempt Number = 0;
    std::string Server;
    TryPhase Phase = TryPhase::Offered;
    bool Refused = false;           ///< Surely not run.
    bool MayHaveArrived = true;     ///< False: it surely never arrived.
    bool HasWaitLimit = false;      ///< Offered for a limited wait.
    bool ExceededWaitLimit = false; ///< Refused for that.
    bool IsResume = false;          ///< Reads an answer, never starts a run.
    TimePoint SentAt;
    TimePoint HedgeAt;     ///< Help is sought from then on.
    Duration Predicted{0}; ///< First token, by the agent's own word.

    bool isOpen() const { return Phase != TryPhase::Closed; }
  };

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

  void onAccepted(Try &attempt, const wire::Accepted &message, Step &step);
  void onRefused(Try &attempt, const wire::Refused &message, Step &step);
  void onChunk(Try &attempt, const wire::Chunk &message, Step &step);
  void onFinished(Try &attempt, const wire::Finished &message, Step &step);

  void offer(const Candidate &candidate, Step &step);
  void resume(const std::string &server, Attempt number, Step &step);
  /// The attempt ended without an answer and surely did not run.
  void retryOrGiveUp(const Error &reason, Step &step);
  /// The attempt may have run, and its answer is not to be had from it.
  void onAttemptLost(Try &attempt, const Error &reason, Step &step);
  std::optional<Candidate> pickServer(const FlowContext &context) const;
  bool canRetry(const FlowContext &context) const;
  bool takeRetry() const;
  /// Attempts that count: those refused for a limited wait cost a trip, not a
  /// retry.
  uint32_t countedAttempts() const;
  bool waitForRetry(const FlowContext &context);
  bool hasOpenTry() const;
  bool mayHaveRun() const;
  Try *findTry(Attempt number, std::string_view server);
  void hedge(Step &step);
  void cancel(Try &attempt, Step &step);
  void cancelOthers(const Attempt winner, Step &step);
  void cancelAll(Step &step);

  void completeAnswer(Try &attempt, const wire::Finished &message, Step &step);
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
  std::vector<Try> Tries;
  bool WasAccepted = false;
  bool HasWaitLimit = true;       ///< Servers are asked for a limited wait.
  bool HasWaitedForRetry = false; ///< Servers that refused may be asked again.
  uint32_t ReconnectCount = 0;
  Error LastReason;
  std::optional<TimePoint>
      RetryAt; ///< An accepted request waits to be offered.

  std::string Text; ///< All chunks so far, while they may be needed.
  uint32_t ChunksReceived =
      0;                   ///< Chunks so far, from index 0 of the whole answer.
  uint32_t ChunksSent = 0; ///< Chunks that the caller was sent.
  size_t BytesSent = 0;    ///< Of Text.
  std::string LastServer;  ///< That the last chunk came from.
  std::optional<TimePoint> FirstTokenAt;
  AnswerSummary Summary;

  bool CallerLeft = false;
  std::optional<TimePoint> ResumeGraceEndsAt;
  std::optional<TimePoint> NextReleaseCheckAt;
  std::optional<TimePoint> ArmedTimer;
};

} // namespace daisytack::entry
