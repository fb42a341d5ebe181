/// One agent of the policy benchmark: the project's own decisions on top of the
/// cost models.
#pragma once

#include "policy_stream.h"

#include "context/link_scheduler.h"
#include "context/store_choice.h"
#include "decide/acceptance.h"
#include "decide/predictor.h"

#include <deque>
#include <memory>

namespace daisytack::bench {

// Sightings that one agent remembers, at 16 bytes each.
constexpr size_t SightingCapacity = 16'384;

// A piece that is present with this chance is not fetched.
constexpr double MinPresenceProbability = 0.9;

/// One attempt at a request.
struct Job {
  const Request *Incoming = nullptr;
  uint32_t Index = 0;
  uint32_t Server = 0;
  uint32_t Entry = 0;
  std::map<uint32_t, uint32_t>
      CandidateIndexes;                    ///< Of servers among the candidates.
  std::map<uint32_t, Duration> WaitLimits; ///< With each of them.
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
  std::vector<SightingHistory> EarlierSightings; ///< Of each piece.
  std::vector<PieceState> PieceStates; ///< Of each piece, when it was planned.
  uint32_t RecomputedTokens = 0;
  TimePoint PhaseStart;
  uint64_t Epoch = 0; ///< Events of an earlier attempt are stale.
};

/// What crosses a link.
struct PendingTransfer {
  uint32_t JobIndex = UINT32_MAX; ///< Of a fetch.
  uint64_t JobEpoch = 0;
  uint32_t Link = 0;
  PieceKey Piece;
  std::string Meta; ///< Of an export.
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
  std::set<uint32_t> Jobs; ///< Accepted and not done.
};

} // namespace daisytack::bench
