/// What the agent may believe about its engine's cache, from events that come
/// late and with gaps. Presence is claimed only on unbroken evidence; a wrong
/// claim costs time, never correctness.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace daisytack {

enum class CacheEventKind : uint8_t { Stored, Evicted, Cleared };

/// One event as the engine publishes it.
struct CacheEvent {
  uint64_t Sequence = 0; ///< Consecutive within one run of the engine.
  CacheEventKind Kind = CacheEventKind::Stored;
  PieceKey Piece; ///< Unused for Cleared.
  auto operator<=>(const CacheEvent &) const = default;
};

enum class Presence : uint8_t { Unknown, Absent, Present };

/// Not thread-safe; owned by one agent's core.
class EngineView {
public:
  /// Beyond so many pieces the view forgets, and answers Unknown.
  explicit EngineView(size_t maxPieces);

  /// Applies the answer to "events from wanted()". Returns false when there
  /// was a gap, of which the view has then recovered: what it believed before
  /// is unknown. Events already applied are skipped.
  bool apply(std::span<const CacheEvent> events, uint64_t next);

  /// The engine restarted, changed its weights or lost its cache: nothing of
  /// what was believed holds. Events are awaited from that sequence on;
  /// complete is true when the cache is known to be empty.
  void reset(uint64_t fromSequence, bool complete);

  /// The engine answered that it reused these leading pieces just now.
  void markPresent(std::span<const PieceKey> pieces);

  /// The engine recomputed a piece that was believed present.
  void markAbsent(const PieceKey &piece);

  Presence presence(const PieceKey &piece) const;

  /// Chance that the engine holds the piece, 0..1. A gap of few events leaves
  /// most of what was there before: a piece that was present is then unknown,
  /// but likely. A plan may bet on it; the bet costs time when it is lost.
  double presenceProbability(const PieceKey &piece) const;

  /// Sequence to ask the engine for next.
  uint64_t nextSequence() const { return Next; }
  uint64_t gaps() const { return Gaps; }
  size_t size() const { return Pieces.size(); }

private:
  void applyEvent(const CacheEvent &event);
  /// So many events were missed: every belief fades.
  void applyMissedEvents(uint64_t events);
  void insert(const PieceKey &piece);

  /// Believed pieces, with the product of what was left of all beliefs after
  /// each gap, as of when the piece was last known to be present.
  std::unordered_map<PieceKey, double> Pieces;
  size_t MaxPieces;
  double SurvivalProduct = 1; ///< That product now.
  uint64_t Next = 0;
  uint64_t Gaps = 0;
  bool AllEventsSeen = true; ///< Every event since an empty cache was seen.
};

} // namespace daisytack
