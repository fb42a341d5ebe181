/// Fetches kept context from the stores into the engine while a request waits:
/// lookup, plan, verified reads over scheduled links, and import. If a fetch
/// fails, the engine prefills the missing part of the prompt.
#pragma once

#include "context/engine_view.h"
#include "context/verified_read.h"
#include "serve/agent_stores.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace daisytack::serve {

/// Settings of FetchFlow.
struct FetchSettings {
  PlanWeights Weights = firstTokenWeights();
  /// Minimum probability at which a piece counts as present in the engine.
  double MinPresence = 0.9;
  /// Minimum time to the next check of a late fetch.
  Duration MinRecheckDelay{10'000};
};

/// A waiting request whose context is to be fetched.
struct FetchParams {
  RequestId Id;
  Attempt AttemptNumber = 0;
  std::string Organisation;
  std::vector<PieceKey> Pieces; ///< Complete pieces of the prompt, in order.
  std::string Version; ///< Weight version for which the keys were computed.
  uint32_t PromptTokens = 0;
  Duration KeepFor{0};       ///< Maximum age of a piece that may be used.
  TimePoint ExpectedStart;   ///< Predicted end of the request's queueing.
  TimePoint FirstTokenLimit; ///< Latest useful time of the first token.
};

/// Progress of a request's fetch, reported to the core.
struct FetchUpdate {
  RequestId Id;
  bool IsFinal = false; ///< True if no more pieces will be imported.
  TimePoint Ready; ///< Expected end of the fetch; the current time if IsFinal.
  /// Number of prompt tokens that the engine does not have to prefill.
  uint32_t ReusedTokens = 0;
};

/// Functions of the core that FetchFlow calls.
struct FetchHooks {
  /// The engine's prefill rate in tokens per second.
  std::function<double()> PrefillRate;
  /// Weight version that the engine is known to run; empty if it is unknown.
  std::function<std::string()> EngineVersion;
};

/// Fetches the context of all waiting requests. Requests that need the same
/// piece share its fetch. Not thread-safe.
class FetchFlow {
public:
  FetchFlow(FetchSettings settings, StoreTable &stores, const EngineView &view,
            CallIdSource &numbers, FetchHooks hooks);

  /// Number of leading pieces that the engine's cache is expected to hold.
  uint32_t presentPieces(std::span<const PieceKey> pieces) const;

  /// Starts the lookups of a request, or reports its final update at once if
  /// there are none.
  void begin(FetchParams params, Step &step);
  /// Cancels the fetch of a request that no longer waits. No update follows.
  void abandon(const RequestId &id, Step &step);
  /// True from begin() until the final update of the request or abandon().
  bool isPending(const RequestId &id) const { return Jobs.contains(id); }
  /// Starts a transfer that the store's link has scheduled.
  void startTransfer(StoreHandle store, uint64_t transfer, Step &step);
  /// Handles a store's answer. Returns false if this flow did not make the
  /// call.
  bool onAnswer(StoreAnswer &answer, Step &step);
  /// Handles the engine's answer to ImportPiece. Returns false if this flow did
  /// not make the call.
  bool onImport(const PieceImport &answer, Step &step);
  /// Checks the fetches that are due.
  void onTimer(Step &step);
  /// Time of the next check; nullopt if none is scheduled.
  std::optional<TimePoint> nextTimer() const;
  /// Returns the updates since the last call.
  std::vector<FetchUpdate> takeUpdates();
  /// Number of imports that the engine has not answered.
  size_t pendingImports() const { return ImportCalls.size(); }

private:
  /// A piece that a lookup found in a store.
  struct Hit {
    StoreHandle Store;
    LookupAnswer Found;
    bool OnDisk = false;
  };
  /// The fetch of one request.
  struct Job {
    FetchParams Params;
    /// Number of leading pieces expected in the engine's cache when the job
    /// began.
    uint32_t PresentPieces = 0;
    /// Best hit of each piece; empty for a piece that was not found.
    std::vector<std::optional<Hit>> Hits;
    uint32_t PendingLookups = 0; ///< Number of lookups without an answer.
    std::set<uint32_t> Missing;  ///< Indices of pieces being fetched.
    /// Number of leading pieces that are reused if all fetches succeed.
    uint32_t ReusablePieces = 0;
    bool IsFetching = false; ///< True if the plan has fetches.
    /// Time from which the job counts as late; max() before the plan is made.
    TimePoint RecheckAt = TimePoint::max();
  };
  /// The fetch of one piece, shared by all requests that need the piece.
  struct PieceFetch {
    PieceFetch(VerifiedRead read, StoreHandle store)
        : Read(std::move(read)), Store(store) {}

    VerifiedRead Read;
    StoreHandle Store;
    uint64_t Transfer = 0; ///< Id of the transfer; 0 after it left the link.
    bool InFlight = false; ///< True when the link has started the transfer.
    CallId Call = 0;       ///< The last call to the store; 0 if none.
    /// Index of the piece, the same in every prompt that has its key.
    uint32_t Index = 0;
    Duration KeepFor{0}; ///< Maximum age of the piece.
    std::string Organisation;
    std::vector<RequestId> Waiters; ///< Requests that need the piece.
  };
  using FetchMap = std::unordered_map<PieceKey, PieceFetch>;

  bool isInEngine(const PieceKey &piece) const;
  /// Handles a job that takes longer than planned: waits longer, or ends the
  /// job with the pieces imported so far.
  void onLate(Job &job, Step &step);
  /// Predicted time until all missing pieces have arrived, from the current
  /// rate of their links.
  Duration remainingTime(const Job &job, TimePoint now) const;
  void lookUp(Job &job, Step &step);
  void onLookup(const RequestId &id, const StoreAnswer &answer, Step &step);
  /// Records a found piece. A copy in memory is preferred over one on disk.
  void recordHit(Job &job, StoreHandle store, const FoundPiece &found);
  void planFetches(Job &job, Step &step);
  void startFetches(Job &job, const FetchPlan &plan, Step &step);
  /// Starts the fetch of a piece, or adds the job to a running one.
  void startOrJoinFetch(Job &job, uint32_t index, Step &step);
  void onRead(PieceFetch &fetch, StoreAnswer &answer, Step &step);
  /// Performs the next step of a verified read.
  void handleReadStep(PieceFetch &fetch, ReadStep read, Step &step);
  void callStore(PieceFetch &fetch, StoreRequest request, Step &step);
  /// True if the piece belongs to the organisation and has not expired by the
  /// policy of its writer or of this request.
  bool mayUse(const PieceFetch &fetch, const StoreBytes &bytes,
              const Step &step) const;
  /// Removes the transfer from its link; bytes is the transferred size.
  void releaseLink(PieceFetch &fetch, uint64_t bytes, TimePoint now);
  void finishFetch(PieceKey key, bool imported, Step &step);
  /// Gives up the pieces of a job from the index on.
  void dropFromIndex(Job &job, uint32_t index, Step &step);
  /// Removes a request from the fetch of a piece. Without waiters, the fetch is
  /// cancelled unless its import has begun.
  void dropWaiter(const RequestId &id, const PieceKey &key, Step &step);
  /// Ends a job and reports its final update.
  void finishJob(const RequestId &id, Step &step);
  void finishJobIfDone(const RequestId &id, Step &step);
  void record(Step &step, EventKind kind, const FetchParams &params,
              std::array<int64_t, Event::MaxScores> scores = {}) const;

  FetchSettings Settings;
  StoreTable &Stores;
  const EngineView &View;
  CallIdSource &Numbers;
  FetchHooks Hooks;
  std::map<RequestId, Job> Jobs;
  FetchMap ActiveFetches;
  std::unordered_map<CallId, RequestId> LookupCalls;
  std::unordered_map<CallId, PieceKey> ReadCalls;
  std::unordered_map<CallId, PieceKey> ImportCalls;
  std::unordered_map<uint64_t, PieceKey> Transfers;
  std::vector<FetchUpdate> Updates;
};

} // namespace daisytack::serve
