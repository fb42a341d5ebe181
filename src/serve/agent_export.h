/// Keeps context of finished runs in the stores: second sight or class, quota
/// and value decide; the bytes come from the engine and are written under a new
/// generation with one commit. Gives way to fetches on every link.
#pragma once

#include "context/keep_policy.h"
#include "serve/agent_stores.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace daisytack::serve {

struct ExportSettings {
  KeepSettings Keep;
  size_t MaxJobs = 256;          ///< Finished runs that wait for their export.
  size_t MaxPiecesPerJob = 1024; ///< A longer prompt keeps its beginning.
  size_t Sightings = 1U << 16;   ///< Pieces whose sightings are remembered.
  Duration UsageAge{10'000'000}; ///< What stores reported is asked again after.
  uint32_t SampleSize = 16;      ///< Pieces weighed when a store is full.
  Duration ExportDeadline{30'000'000}; ///< Orders exports on a link.
};

/// A run that ended well.
struct ExportWish {
  RequestId Id;
  std::string Organisation;
  std::vector<PieceKey> Pieces;
  KeepRule Rule = KeepRule::SecondSight;
  Duration KeepFor{0};
  uint64_t Quota = 0;
  std::string Version;
};

/// What stores report of one organisation.
struct KeptUsage {
  uint64_t Pieces = 0;
  uint64_t Bytes = 0;
  TimePoint At;
};

/// Not thread-safe.
class ExportFlow {
public:
  ExportFlow(ExportSettings settings, StoreTable &stores, CallIdSource &numbers,
             std::function<std::string()> engineVersion);

  void begin(ExportWish wish, Step &step);
  void startTransfer(StoreHandle store, uint64_t transfer, Step &step);
  /// False when the call is not of this flow.
  bool onAnswer(StoreAnswer &answer, Step &step);
  bool onExport(const PieceExport &answer, Step &step);
  const std::map<std::string, KeptUsage> &usage() const { return Usage; }
  size_t waiting() const { return Jobs.size(); }

private:
  struct Candidate {
    uint32_t Index = 0;
    SightingHistory Before;
  };
  struct Job {
    ExportWish Wish;
    std::vector<Candidate> Candidates;
    size_t At = 0;
    uint32_t Pending = 0; ///< Usage, status and lookups not answered yet.
    KeptUsage Sum;
    std::set<std::pair<StoreHandle, PieceKey>> Stored;
  };
  /// What an answer is for.
  enum class Asked : uint8_t { Usage, Status, Lookup, Replace, Write, Nothing };
  struct Writing {
    CommittedWrite Write;
    StoreHandle Store;
    uint64_t Transfer = 0;
    bool InFlight = false;
    CallId Call = 0;
    KeptMeta Meta;
  };

  void pump(Step &step);
  void askUsage(Step &step);
  void askStatus(Step &step);
  void lookUp(Step &step);
  void onInfo(Asked asked, const StoreAnswer &answer, Step &step);
  void infoComplete(Step &step);
  /// Goes to the next piece that is worth an export, or to the next job.
  void nextPiece(Step &step);
  ExportDecision decide(const Candidate &candidate, uint64_t bytes) const;
  std::vector<StoreHandle> targetsOf(const Candidate &candidate,
                                     uint32_t copies, TimePoint now) const;
  void nextTarget(Step &step);
  KeptMeta metaOf(const Candidate &candidate, uint8_t copy,
                  const Step &step) const;
  /// Frees pieces of the organisation that are worth less than the new one;
  /// without any the new one is not written.
  void replaceOwn(const StoreAnswer &answer, Step &step);
  void freeVictims(std::span<const SampledPiece> victims, Step &step);
  void onWrite(const StoreAnswer &answer, Step &step);
  void advance(WriteStep write, Step &step);
  void endWrite(Step &step);
  CallId call(Asked asked, StoreHandle store, StoreRequest request, Step &step);
  void record(Step &step, EventKind kind, const std::string &subject,
              std::array<int64_t, Event::MaxScores> scores) const;

  ExportSettings Settings;
  StoreTable &Stores;
  CallIdSource &Numbers;
  std::function<std::string()> EngineVersion;
  SightingTable Sights;
  ReturnModel Returns;
  KeepPolicy Policy;
  std::deque<Job> Jobs; ///< The first one is worked on.
  bool IsBusy = false;
  std::map<std::string, KeptUsage> Usage;
  std::map<StoreHandle, StoreStatus> Status;
  std::optional<TimePoint> StatusAt;
  std::unordered_map<CallId, Asked> Calls;
  CallId ExportCall = 0;
  std::shared_ptr<const std::string> Bytes; ///< Of the piece on its way.
  std::vector<StoreHandle> Targets;         ///< It is still to be written to.
  uint8_t Copy = 0;
  bool IsOverQuota = false; ///< Only in place of the organisation's own pieces.
  std::optional<Writing> Current;
};

} // namespace daisytack::serve
