/// Exports the context of finished runs to the stores. The keep policy selects
/// the pieces by sightings, request class, quota and value. The engine supplies
/// the bytes of a piece, which are written as a new generation and committed.
/// Fetches have priority over exports on every link.
#pragma once

#include "context/keep_policy.h"
#include "serve/agent_stores.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace daisytack::serve {

/// Settings of ExportFlow.
struct ExportSettings {
  KeepSettings Keep;
  size_t MaxJobs = 256; ///< Maximum number of jobs; further runs are skipped.
  /// Maximum number of leading pieces of a prompt that are considered.
  size_t MaxPiecesPerJob = 1024;
  /// Maximum number of pieces whose sightings are remembered.
  size_t Sightings = 1U << 16;
  /// Time after which usage and status are requested from the stores again.
  Duration MaxReportAge{10'000'000};
  /// Number of stored pieces sampled to choose the ones to evict.
  uint32_t SampleSize = 16;
  /// Time from queueing to the deadline that orders exports on a link.
  Duration ExportDeadline{30'000'000};
};

/// A run that completed, and the rules for keeping its context.
struct ExportParams {
  RequestId Id;
  std::string Organisation;
  std::vector<PieceKey> Pieces; ///< Complete pieces of the prompt, in order.
  KeepRule Rule = KeepRule::SecondSight;
  Duration KeepFor{0}; ///< Time after which an exported piece expires.
  uint64_t Quota = 0;  ///< Maximum kept bytes of the organisation.
  std::string Version; ///< Weight version that computed the context.
};

/// Stored pieces and bytes of one organisation, summed over the stores' reports
/// and updated by the exports and evictions of this agent.
struct OrganisationUsage {
  uint64_t Pieces = 0;
  uint64_t Bytes = 0;
  TimePoint ReportedAt; ///< Time at which the reports were requested.
};

/// Runs the export jobs, one at a time. Not thread-safe.
class ExportFlow {
public:
  ExportFlow(ExportSettings settings, StoreTable &stores, CallIdSource &numbers,
             std::function<std::string()> engineVersion);

  /// Records the sightings of a run's pieces and queues an export job if the
  /// keep policy selects any of the pieces.
  void begin(ExportParams params, Step &step);
  /// Starts a transfer that the store's link has scheduled.
  void startTransfer(StoreHandle store, uint64_t transfer, Step &step);
  /// Handles a store's answer. Returns false if this flow did not make the
  /// call.
  bool onAnswer(StoreAnswer &answer, Step &step);
  /// Handles the engine's answer to ExportPiece. Returns false if this flow did
  /// not make the call.
  bool onExport(const PieceExport &answer, Step &step);
  /// Usage by organisation name.
  const std::map<std::string, OrganisationUsage> &usage() const {
    return Usage;
  }
  /// Number of jobs that have not ended, including the current one.
  size_t pendingJobs() const { return Jobs.size(); }

private:
  /// A piece that the keep policy selected before the stores' reports were
  /// known.
  struct Candidate {
    uint32_t Index = 0;     ///< Index into ExportParams::Pieces.
    SightingHistory Before; ///< Sightings of the piece before this run.
  };
  /// The export of one run.
  struct Job {
    ExportParams Params;
    std::vector<Candidate> Candidates;
    size_t CurrentCandidate = 0; ///< Index of the candidate being exported.
    /// Number of usage, status and lookup calls without an answer.
    uint32_t PendingCalls = 0;
    OrganisationUsage ReportedUsage;
    /// Pieces that were found in a store, and need no export to that store.
    std::set<std::pair<StoreHandle, PieceKey>> Stored;
  };
  /// Purpose of a call to a store, by which its answer is handled.
  enum class CallPurpose : uint8_t {
    Usage,
    Status,
    Lookup,
    Replace, ///< Sample of stored pieces, for replaceOwnPieces().
    Write,   ///< A step of CurrentWrite.
    Cleanup  ///< Free of a piece; the answer is ignored.
  };
  /// The write of one piece to one store.
  struct PieceWrite {
    CommittedWrite Write;
    StoreHandle Store;
    uint64_t Transfer = 0; ///< Id of the transfer at the link.
    bool InFlight = false; ///< True when the link has started the transfer.
    CallId Call = 0;       ///< The call whose answer is awaited; 0 if none.
    KeptMeta Meta;
  };

  /// Starts the first job, unless a job is running or none is queued.
  void startNextJob(Step &step);
  void requestUsage(Step &step);
  void requestStatus(Step &step);
  void requestLookups(Step &step);
  void onReport(CallPurpose purpose, const StoreAnswer &answer, Step &step);
  /// Called when all usage, status and lookup calls of the job are answered.
  void onReportsComplete(Step &step);
  /// Requests the next piece that the policy exports from the engine, or ends
  /// the job if there is none.
  void exportNextPiece(Step &step);
  /// Applies the keep policy with the stores' reports. Bytes is 0 while the
  /// size of the piece is unknown.
  ExportDecision decide(const Candidate &candidate, uint64_t bytes) const;
  /// Among the preferred stores of a piece, those that do not hold it yet.
  std::vector<StoreHandle> missingStores(const Candidate &candidate,
                                         uint32_t copies, TimePoint now) const;
  /// Queues the write to the next remaining store, or continues with the next
  /// piece.
  void writeToNextStore(Step &step);
  KeptMeta metaOf(const Candidate &candidate, uint8_t copy,
                  const Step &step) const;
  /// Frees sampled pieces of the same organisation whose value is below that of
  /// the new piece, then writes the new piece. Ends the write if there are
  /// none.
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
  std::deque<Job> Jobs; ///< The first job is the current one.
  bool IsBusy = false;  ///< True while the first job is running.
  std::map<std::string, OrganisationUsage> Usage;
  std::map<StoreHandle, StoreStatus> Status;
  /// Time at which the stores' status was last requested.
  std::optional<TimePoint> StatusAt;
  std::unordered_map<CallId, CallPurpose> Calls;
  CallId ExportCall = 0; ///< The pending call to the engine; 0 if none.
  /// Bytes of the current piece, from the engine.
  std::shared_ptr<const std::string> PieceBytes;
  /// Stores to which the current piece is still to be written.
  std::vector<StoreHandle> RemainingStores;
  uint8_t CopyIndex = 0; ///< Number of the next copy, from 0.
  /// True if the current piece exceeds the quota, and may only replace pieces
  /// of the same organisation.
  bool IsOverQuota = false;
  std::optional<PieceWrite> CurrentWrite;
};

} // namespace daisytack::serve
