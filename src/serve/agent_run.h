/// One accepted request at its agent, and the table of all of them.
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

/// A connection that the answer goes to, under the attempt that it asked with.
struct Reader {
  LinkHandle Link;
  Attempt Try = 0;
  bool operator==(const Reader &) const = default;
};

/// Kept while the request waits and runs, and for the resume window after.
struct Run {
  Run(std::shared_ptr<const wire::Offer> offer, size_t maxAnswerBytes)
      : Request(std::move(offer)), Token{Request->Id, Request->Try, 0},
        Organisation(Request->Organisation),
        Answer(Request->GeneratedChunks, maxAnswerBytes) {}

  std::shared_ptr<const wire::Offer> Request; ///< Dropped when finished.
  RunToken Token;
  std::string Organisation;
  std::string Version; ///< Weight version that it runs on.
  uint64_t RequestHash = 0;
  RunState State = RunState::Waiting;
  /// Holds a slot of the queue; a run that does may still wait for its context.
  bool HasSlot = false;
  /// Record in the ledger of a call that may run at most once.
  std::optional<TicketKey> Ticket;
  Duration PredictedFirstToken{0};
  Duration PredictedCompletion{0};
  uint32_t ExpectedPrefill = 0; ///< Tokens that the engine has to prefill.
  /// Some start may have reached the backend server.
  bool MayHaveRun = false;
  bool MayHaveRunBefore = false; ///< MayHaveRun before the present start.
  /// Readers that got the final message.
  std::vector<Reader> NotifiedReaders;
  TimePoint Arrived;
  TimePoint Deadline;
  TimePoint Started;
  bool WasSuspended = false; ///< Its times teach nothing.
  std::optional<TimePoint> FirstToken;
  /// Until when it is kept without a reader.
  std::optional<TimePoint> RetainUntil;
  /// Place in RunTable's timers.
  std::optional<TimePoint> WakeAt;
  uint32_t NextSequence = 0; ///< Of the server's stream.
  std::vector<Reader> Readers;
  AnswerBuffer Answer;
  std::optional<wire::Finished> Final;

  bool isFinished() const { return State == RunState::Finished; }
  bool wasNotified(const Reader &reader) const;
};

/// All runs by request, with their timers and the connections that read them.
class RunTable {
public:
  Run *find(const RequestId &id);
  const Run *find(const RequestId &id) const;
  Run &insert(std::unique_ptr<Run> run);
  void erase(const RequestId &id);

  /// Adds a reader unless it is there already; false in that case.
  bool addReader(Run &run, const Reader &reader);
  /// False when there was no such reader.
  bool removeReader(Run &run, const Reader &reader);
  void clearReaders(Run &run);
  /// Requests that the connection reads.
  std::vector<RequestId> requestsReadBy(LinkHandle link) const;

  /// Sets when the run wants the timer: its deadline while unfinished, the end
  /// of its resume window while nobody reads.
  void schedule(Run &run);
  std::optional<TimePoint> nextWake() const;
  /// Requests whose time has come, earliest first.
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
