/// Accepted requests at an agent, and the table that holds them.
#pragma once

#include "once/ticket_ledger.h"
#include "serve/agent_answer.h"
#include "serve/agent_messages.h"
#include "serve/agent_snapshot.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace daisytack::serve {

/// A link that receives an answer, and the attempt that it receives it for.
struct Reader {
  LinkHandle Link;
  Attempt AttemptNumber = 0;
  bool operator==(const Reader &) const = default;
};

/// One accepted request. Kept while it waits and runs, and for the resume
/// window after that.
struct Run {
  Run(std::shared_ptr<const wire::Offer> offer, size_t maxAnswerBytes)
      : Request(std::move(offer)), Token{Request->Id, Request->AttemptNumber,
                                         0},
        Organisation(Request->Organisation),
        Answer(Request->GeneratedChunks, maxAnswerBytes) {}

  std::shared_ptr<const wire::Offer> Request; ///< Null once finished.
  RunToken Token;
  std::string Organisation;
  std::string Version; ///< Engine's weight version at acceptance.
  uint64_t RequestHash = 0;
  RunState State = RunState::Waiting;
  /// Whether the run holds a slot of the queue. Such a run may still wait for
  /// its context.
  bool HasSlot = false;
  /// Key of the ledger record if the request must run at most once.
  std::optional<TicketKey> Ticket;
  Duration PredictedFirstToken{0};
  Duration PredictedCompletion{0};
  uint32_t ExpectedPrefill = 0; ///< Tokens that the engine has to prefill.
  /// Whether any start may have reached the backend server.
  bool MayHaveRun = false;
  bool MayHaveRunBefore = false; ///< MayHaveRun before the current start.
  /// Readers that were sent the final message.
  std::vector<Reader> NotifiedReaders;
  TimePoint Arrived;
  TimePoint Deadline;
  TimePoint Started;
  bool WasSuspended = false;           ///< The predictor ignores its times.
  std::optional<TimePoint> FirstToken; ///< Arrival of the first token.
  /// End of the resume window; empty while the run has a reader.
  std::optional<TimePoint> RetainUntil;
  /// Time of the run's entry in RunTable's timers; empty if it has none.
  std::optional<TimePoint> WakeAt;
  uint32_t NextSequence = 0; ///< Next expected part of the server's stream.
  std::vector<Reader> Readers;
  AnswerBuffer Answer;
  std::optional<wire::Finished> Final; ///< Final message, once finished.

  bool isFinished() const { return State == RunState::Finished; }
  bool wasNotified(const Reader &reader) const;
};

/// All runs by request id, with their timers and an index by link.
class RunTable {
public:
  Run *find(const RequestId &id);
  const Run *find(const RequestId &id) const;
  Run &insert(std::unique_ptr<Run> run);
  void erase(const RequestId &id);

  /// Adds a reader. Returns false if the run already has it.
  bool addReader(Run &run, const Reader &reader);
  /// Returns false if the run has no such reader.
  bool removeReader(Run &run, const Reader &reader);
  void clearReaders(Run &run);
  /// Requests that the link is a reader of, in order of their ids.
  std::vector<RequestId> requestsReadBy(LinkHandle link) const;

  /// Sets the run's timer to the earlier of its deadline, if it is unfinished,
  /// and the end of its resume window, if it has no reader.
  void schedule(Run &run);
  std::optional<TimePoint> nextWake() const;
  /// Requests whose timer has expired, earliest first.
  std::vector<RequestId> due(TimePoint now) const;

  size_t size() const { return Runs.size(); }
  const std::unordered_map<RequestId, std::unique_ptr<Run>> &all() const {
    return Runs;
  }

private:
  void unschedule(Run &run);

  std::unordered_map<RequestId, std::unique_ptr<Run>> Runs;
  std::unordered_map<uint32_t, std::unordered_set<RequestId>> ByLink;
  std::set<std::pair<TimePoint, RequestId>> Timers;
};

} // namespace daisytack::serve
