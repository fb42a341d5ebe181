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
  Duration MaxReportAge{
      10'000'000};          ///< What stores reported is asked again after.
  uint32_t SampleSize = 16; ///< Pieces weighed when a store is full.
  Duration ExportDeadline{30'000'000}; ///< Orders exports on a link.
};

/// A run that ended well.
struct ExportParams {
  RequestId Id;
  std::string Organisation;
  std::vector<PieceKey> Pieces;
  KeepRule Rule = KeepRule::SecondSight;
  Duration KeepFor{0};
  uint64_t Quota = 0;
  std::string Version;
};

/// What stores report of one organisation.
struct OrganisationUsage {
  uint64_t Pieces = 0;
  uint64_t Bytes = 0;
  TimePoint ReportedAt;
};

/// Not thread-safe.
class ExportFlow {
public:
  ExportFlow(ExportSettings settings, StoreTable &stores, CallIdSource &numbers,
             std::function<std::string()> engineVersion);

  void begin(ExportParams params, Step &step);
  void startTransfer(StoreHandle store, uint64_t transfer, Step &step);
  /// False when the call is not of this flow.
  bool onAnswer(StoreAnswer &answer, Step &step);
  bool onExport(const PieceExport &answer, Step &step);
  const std::map<std::string, OrganisationUsage> &usage() const {
    return Usage;
  }
  size_t waiting() const { return Jobs.size(); }

private:
  struct Candidate {
    uint32_t Index = 0;
    SightingHistory Before;
  };
  struct Job {
    ExportParams Params;
    std::vector<Candidate> Candidates;
    size_t NextCandidate = 0;
    uint32_t PendingCalls = 0; ///< Usage, status and lookups not answered yet.
    OrganisationUsage ReportedUsage;
    std::set<std::pair<StoreHandle, PieceKey>> Stored;
  };
  /// What an answer is for.
  enum class CallPurpose : uint8_t {
    Usage,
    Status,
    Lookup,
    Replace,
    Write,
    Free
  };
  struct PieceWrite {
    CommittedWrite Write;
    StoreHandle Store;
    uint64_t Transfer = 0;
    bool InFlight = false;
    CallId Call = 0;
    KeptMeta Meta;
  };

  void startNextJob(Step &step);
  void requestUsage(Step &step);
  void requestStatus(Step &step);
  void requestLookups(Step &step);
  void onInfo(CallPurpose purpose, const StoreAnswer &answer, Step &step);
  void onInfoComplete(Step &step);
  /// Goes to the next piece that is worth an export, or to the next job.
  void exportNextPiece(Step &step);
  ExportDecision decide(const Candidate &candidate, uint64_t bytes) const;
  std::vector<StoreHandle> missingStores(const Candidate &candidate,
                                         uint32_t copies, TimePoint now) const;
  void writeToNextStore(Step &step);
  KeptMeta metaOf(const Candidate &candidate, uint8_t copy,
                  const Step &step) const;
  /// Frees pieces of the organisation that are worth less than the new one;
  /// without any the new one is not written.
  void replaceOwnPieces(const StoreAnswer &answer, Step &step);
  void freeVictims(std::span<const SampledPiece> victims, Step &step);
  void onWrite(const StoreAnswer &answer, Step &step);
  void performWriteStep(WriteStep write, Step &step);
  void finishWrite(Step &step);
  CallId callStore(CallPurpose purpose, StoreHandle store, StoreRequest request,
                   Step &step);
  void record(Step &step, EventKind kind, const std::string &subject,
              std::array<int64_t, Event::MaxScores> scores) const;

  ExportSettings Settings;
  StoreTable &Stores;
  CallIdSource &Numbers;
  std::function<std::string()> EngineVersion;
  SightingTable RecentSightings;
  ReturnModel Returns;
  KeepPolicy Policy;
  std::deque<Job> Jobs; ///< The first one is worked on.
  bool IsBusy = false;
  std::map<std::string, OrganisationUsage> Usage;
  std::map<StoreHandle, StoreStatus> Status;
  std::optional<TimePoint> StatusAt;
  std::unordered_map<CallId, CallPurpose> Calls;
  CallId ExportCall = 0;
  std::shared_ptr<const std::string> PieceBytes; ///< Of the piece on its way.
  std::vector<StoreHandle> RemainingStores; ///< It is still to be written to.
  uint8_t CopyIndex = 0;
  bool IsOverQuota = false; ///< Only in place of the organisation's own pieces.
  std::optional<PieceWrite> CurrentWrite;
};

} // namespace daisytack::serve
