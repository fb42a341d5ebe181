/// Model of one agent in the policy benchmark: the production decision code
/// driven by the cost models.
#pragma once

#include "policy_stream.h"

#include "context/link_scheduler.h"
#include "context/store_choice.h"
#include "decide/acceptance.h"
#include "decide/predictor.h"

#include <deque>
#include <memory>

namespace daisytack::bench {

// Sightings that one agent stores, at 16 bytes each.
constexpr size_t SightingCapacity = 16'384;

// A piece that the engine holds with at least this probability is not fetched.
constexpr double MinPresenceProbability = 0.9;

/// State of one request. It describes the current attempt; a request is
/// attempted again when it is moved to another server.
struct Job {
  const Request *Incoming = nullptr;
  uint32_t Index = 0;
  uint32_t Server = 0;
  uint32_t Entry = 0;
  /// Server index to its position in the candidate list.
  std::map<uint32_t, uint32_t> CandidateIndexes;
  /// Server index to the longest queue wait to accept there.
  std::map<uint32_t, Duration> WaitLimits;
  uint32_t Moves = 0;
  bool Accepted = false;
  bool InSlot = false;
  bool Done = false;
  bool HasFirstToken = false;
  RunRequest Run;
  FetchPlan Plan;
  uint32_t FetchesLeft = 0;
  TimePoint FetchDeadline;
  std::vector<PieceKey> Imported;
  /// Per piece, the sightings before this attempt.
  std::vector<SightingHistory> EarlierSightings;
  /// Per piece, its state when the fetches were planned.
  std::vector<PieceState> PieceStates;
  uint32_t RecomputedTokens = 0;
  TimePoint PhaseStart;
  uint64_t Epoch = 0; ///< Incremented for each attempt; events with an older
                      ///< value are ignored.
};

/// A transfer over a store's link that has not finished.
struct PendingTransfer {
  /// Index of the fetching job; UINT32_MAX for an export.
  uint32_t JobIndex = UINT32_MAX;
  uint64_t JobEpoch = 0;
  uint32_t Link = 0;
  PieceKey Piece;
  /// Encoded metadata of an exported piece; empty for a fetch.
  std::string Meta;
};

struct AgentModel {
  AgentModel(uint64_t seed, size_t stores, const RunQueueSettings &queue)
      : Engine(seed), Queue(queue), Predictor({}), View(1U << 16U),
        Sightings(SightingCapacity), Keep({}, Returns) {
    LinkLimits limits;
    limits.BytesPerSecond = LinkBytesPerSecond;
    limits.BurstBytes = 4 * KeptPieceBytes;
    limits.ExportBacklogBytes = 64 * KeptPieceBytes;
    limits.RoundTrip = FetchRoundTrip;
    for (size_t i = 0; i < stores; ++i)
      Links.emplace_back(limits);
  }

  bool Up = true;
  EngineModel Engine;
  RunQueue Queue;
  ServerPredictor Predictor;
  EngineView View;
  SightingTable Sightings;
  ReturnModel Returns;
  KeepPolicy Keep;
  std::vector<LinkScheduler> Links;
  std::unordered_map<uint64_t, PendingTransfer> Transfers;
  std::set<PieceKey> Exporting;
  /// Indexes of jobs that were accepted and have not finished.
  std::set<uint32_t> Jobs;
};

} // namespace daisytack::bench
