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
constexpr size_t SightedPieces = 16'384;

// A piece that is present with this chance is not fetched.
constexpr double LeastPresence = 0.9;

/// One attempt at a request.
struct Job {
  const Request *What = nullptr;
  uint32_t Index = 0;
  uint32_t Server = 0;
  uint32_t Entry = 0;
  std::map<uint32_t, uint32_t> Places;     ///< Of servers among the candidates.
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
  std::vector<SightingHistory> Before; ///< Of each piece.
  std::vector<PieceState> States;      ///< Of each piece, when it was planned.
  uint32_t Recomputed = 0;
  TimePoint Started;
  uint64_t Epoch = 0; ///< Events of an earlier attempt are stale.
};

/// What crosses a link.
struct Cargo {
  uint32_t Job = UINT32_MAX; ///< Of a fetch.
  uint64_t JobEpoch = 0;
  uint32_t Link = 0;
  PieceKey Piece;
  std::string Meta; ///< Of an export.
};

struct AgentModel {
  AgentModel(uint64_t seed, size_t stores, const RunQueueSettings &queue)
      : Engine(seed), Queue(queue), Predictor({}), View(1U << 16U),
        Sights(SightedPieces), Keep({}, Returns) {
    LinkLimits limits;
    limits.BytesPerSecond = LinkRate;
    limits.BurstBytes = 4 * PieceSize;
    limits.ExportBacklogBytes = 64 * PieceSize;
    limits.RoundTrip = FetchRoundTrip;
    for (size_t i = 0; i < stores; ++i)
      Links.emplace_back(limits);
  }

  bool Up = true;
  EngineModel Engine;
  RunQueue Queue;
  ServerPredictor Predictor;
  EngineView View;
  SightingTable Sights;
  ReturnModel Returns;
  KeepPolicy Keep;
  std::vector<LinkScheduler> Links;
  std::unordered_map<uint64_t, Cargo> Cargoes;
  std::set<PieceKey> Exporting;
  std::set<uint32_t> Jobs; ///< Accepted and not done.
};

} // namespace daisytack::bench
