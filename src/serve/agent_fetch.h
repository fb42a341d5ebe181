/// Brings kept context from the stores into the engine while a request waits:
/// lookup, plan, verified reads over scheduled links, import. Whatever goes
/// wrong, the request is prefilled instead.
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

struct FetchSettings {
  PlanWeights Weights = firstTokenWeights();
  double MinPresence =
      0.9; ///< Chance of being in the engine that is relied on.
  Duration MinRecheckDelay{10'000}; ///< Between two looks at a late fetch.
};

/// What a waiting request wants.
struct FetchParams {
  RequestId Id;
  Attempt Try = 0;
  std::string Organisation;
  std::vector<PieceKey> Pieces; ///< Whole pieces of the prompt, in order.
  std::string Version;          ///< Weight version that the keys are made for.
  uint32_t PromptTokens = 0;
  Duration KeepFor{0};     ///< Older pieces are not to be used.
  TimePoint ExpectedStart; ///< Until then the request queues anyway.
  TimePoint FirstTokenLimit;
};

/// Something that the core wants to know of a request's context.
struct FetchUpdate {
  RequestId Id;
  bool IsFinal = false; ///< Nothing more will be imported for it.
  TimePoint Ready;      ///< When not settled: the fetch is expected to be over.
  uint32_t ReusedTokens = 0; ///< That the engine will not have to prefill.
};

/// What the flow asks the core for.
struct FetchHooks {
  /// The engine's prefill rate, tokens a second.
  std::function<double()> PrefillRate;
  /// Weight version that the engine surely runs; empty when that is unknown.
  std::function<std::string()> EngineVersion;
};

/// Not thread-safe.
class FetchFlow {
public:
  FetchFlow(FetchSettings settings, StoreTable &stores, const EngineView &view,
            CallIdSource &numbers, FetchHooks hooks);

  /// Leading pieces that the engine is believed to have.
  uint32_t presentPieces(std::span<const PieceKey> pieces) const;

  void begin(FetchParams params, Step &step);
  /// The request no longer waits.
  void abandon(const RequestId &id, Step &step);
  /// False when the request has no fetch, or it is over.
  bool isPending(const RequestId &id) const { return Jobs.contains(id); }
  /// A link gives way to a transfer of this flow.
  void startTransfer(StoreHandle store, uint64_t transfer, Step &step);
  /// False when the call is not of this flow.
  bool onAnswer(StoreAnswer &answer, Step &step);
  bool onImport(const PieceImport &answer, Step &step);
  void onTimer(Step &step);
  std::optional<TimePoint> nextTimer() const;
  std::vector<FetchUpdate> takeUpdates();
  /// Pieces on their way into the engine.
  size_t importing() const { return ImportCalls.size(); }

private:
  struct Hit {
    StoreHandle Store;
    LookupAnswer Found;
    bool OnDisk = false;
  };
  struct Job {
    FetchParams Params;
    uint32_t PresentPieces = 0;
    std::vector<std::optional<Hit>> Hits;
    uint32_t PendingLookups = 0; ///< Not answered yet.
    std::set<uint32_t> Missing;  ///< Indices on their way.
    uint32_t ReusablePieces = 0; ///< Pieces, if all goes well.
    bool IsFetching = false;
    TimePoint RecheckAt = TimePoint::max(); ///< When it counts as late.
  };
  struct PieceFetch {
    PieceFetch(VerifiedRead read, StoreHandle store)
        : Read(std::move(read)), Store(store) {}

    VerifiedRead Read;
    StoreHandle Store;
    uint64_t Transfer = 0;
    bool InFlight = false; ///< The link counts it.
    CallId Call = 0;
    uint32_t Index = 0; ///< Within every prompt that has this key.
    Duration KeepFor{0};
    std::string Organisation;
    std::vector<RequestId> Waiters;
  };
  using FetchMap = std::unordered_map<PieceKey, PieceFetch>;

  bool isInEngine(const PieceKey &piece) const;
  /// A fetch is later than planned: wait on, or run with what is there.
  void onLate(Job &job, Step &step);
  Duration remainingTime(const Job &job, TimePoint now) const;
  void lookUp(Job &job, Step &step);
  void onLookup(const RequestId &id, const StoreAnswer &answer, Step &step);
  void recordHit(Job &job, StoreHandle store, const FoundPiece &found);
  void planFetches(Job &job, Step &step);
  void startFetches(Job &job, const FetchPlan &plan, Step &step);
  void startOrJoinFetch(Job &job, uint32_t index, Step &step);
  void onRead(PieceFetch &fetch, StoreAnswer &answer, Step &step);
  void handleReadStep(PieceFetch &fetch, ReadStep read, Step &step);
  void callStore(PieceFetch &fetch, StoreRequest request, Step &step);
  bool mayUse(const PieceFetch &fetch, const StoreBytes &bytes,
              const Step &step) const;
  void releaseLink(PieceFetch &fetch, uint64_t bytes, TimePoint now);
  void finishFetch(PieceKey key, bool imported, Step &step);
  void dropFromIndex(Job &job, uint32_t index, Step &step);
  void dropWaiter(const RequestId &id, const PieceKey &key, Step &step);
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
