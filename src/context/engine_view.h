/// The agent's view of its engine's cache, built from cache events that may
/// arrive late or be lost. A piece is reported present only if no events were
/// lost since it was last known to be present. A wrong report costs time, but
/// never correctness.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace daisytack {

enum class CacheEventKind : uint8_t { Stored, Evicted, Cleared };

/// A cache event published by the engine.
struct CacheEvent {
  uint64_t Sequence = 0; ///< Consecutive while the engine process runs.
  CacheEventKind Kind = CacheEventKind::Stored;
  PieceKey Piece; ///< Unused for Cleared.
  auto operator<=>(const CacheEvent &) const = default;
};

/// Whether the engine's cache holds a piece.
enum class Presence : uint8_t { Unknown, Absent, Present };

/// Not thread-safe; owned by one agent's core.
class EngineView {
public:
  /// Inserting into a view that holds maxPieces discards all its pieces, whose
  /// presence is then Unknown.
  explicit EngineView(size_t maxPieces);

  /// Applies the events that the engine returned from nextSequence() on; `next`
  /// is the sequence after the last published event. Skips events that were
  /// applied before. Returns false if events were missed: pieces not reported
  /// present since then become Unknown.
  bool apply(std::span<const CacheEvent> events, uint64_t next);

  /// Discards all pieces after the engine restarted, changed its weights or
  /// lost its cache. The next expected event is `fromSequence`; `complete` is
  /// true when the cache is known to be empty.
  void reset(uint64_t fromSequence, bool complete);

  /// Marks the leading pieces of a prompt that the engine reported as reused.
  void markPresent(std::span<const PieceKey> pieces);

  /// Marks a piece that the engine recomputed although the view expected it to
  /// be present.
  void markAbsent(const PieceKey &piece);

  Presence presence(const PieceKey &piece) const;

  /// Estimated probability, 0 to 1, that the engine holds the piece. After a
  /// gap of few events, a piece that was present is Unknown but still likely.
  /// A plan may rely on it; a wrong estimate costs time.
  double presenceProbability(const PieceKey &piece) const;

  /// Sequence of the first event to request from the engine.
  uint64_t nextSequence() const { return Next; }
  /// Number of answers in which events were missing.
  uint64_t gaps() const { return Gaps; }
  size_t size() const { return Pieces.size(); }

private:
  void applyEvent(const CacheEvent &event);
  /// Lowers the presence probability of all pieces after missed events.
  void applyMissedEvents(uint64_t events);
  void insert(const PieceKey &piece);

  /// Maps each piece that may be present to the value of SurvivalProduct when
  /// the piece was last known to be present.
  std::unordered_map<PieceKey, double> Pieces;
  size_t MaxPieces;
  /// Product over all gaps of the estimated share of pieces that survived the
  /// gap.
  double SurvivalProduct = 1;
  uint64_t Next = 0;
  uint64_t Gaps = 0;
  /// True if all events since the cache was empty were applied and no piece was
  /// discarded.
  bool AllEventsSeen = true;
};

} // namespace daisytack
