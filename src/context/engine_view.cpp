#include "context/engine_view.h"

#include <algorithm>

namespace daisytack {

namespace {

/// Beliefs weaker than this are dropped.
constexpr double LeastChance = 0.5;
/// Below, the product is taken out of all beliefs, so that it stays in range.
constexpr double LeastKept = 1e-100;

} // namespace

EngineView::EngineView(size_t maxPieces) : MaxPieces(maxPieces) {}

bool EngineView::apply(std::span<const CacheEvent> events, uint64_t next) {
  bool whole = true;
  for (const CacheEvent &it : events) {
    if (it.Sequence < Next)
      continue;
    if (it.Sequence > Next) {
      miss(it.Sequence - Next);
      whole = false;
    }
    applyOne(it);
    Next = it.Sequence + 1;
  }
  if (next > Next) { // The answer's tail is missing.
    miss(next - Next);
    whole = false;
    Next = next;
  }
  if (!whole)
    ++Gaps;
  return whole;
}

void EngineView::applyOne(const CacheEvent &event) {
  switch (event.Kind) {
  case CacheEventKind::Stored:
    insert(event.Piece);
    break;
  case CacheEventKind::Evicted:
    Pieces.erase(event.Piece);
    break;
  case CacheEventKind::Cleared:
    reset(event.Sequence, true);
    break;
  }
}

void EngineView::reset(uint64_t fromSequence, bool complete) {
  Pieces.clear();
  Kept = 1;
  Next = fromSequence;
  Complete = complete;
}

void EngineView::confirm(std::span<const PieceKey> pieces) {
  for (const PieceKey &it : pieces)
    insert(it);
}

void EngineView::deny(const PieceKey &piece) { Pieces.erase(piece); }

Presence EngineView::presence(const PieceKey &piece) const {
  auto it = Pieces.find(piece);
  if (it != Pieces.end() && it->second == Kept)
    return Presence::Present;
  if (it == Pieces.end() && Complete)
    return Presence::Absent;
  return Presence::Unknown;
}

double EngineView::chance(const PieceKey &piece) const {
  auto it = Pieces.find(piece);
  return it == Pieces.end() ? 0 : Kept / it->second;
}

void EngineView::miss(uint64_t events) {
  Complete = false;
  // Each missed event may be the eviction of any one piece.
  auto pieces = static_cast<double>(std::max<size_t>(Pieces.size(), 1));
  Kept *= std::max(0.0, 1 - static_cast<double>(events) / pieces);
  std::erase_if(
      Pieces, [&](const auto &it) { return Kept <= LeastChance * it.second; });
  if (Kept >= LeastKept && !Pieces.empty())
    return;
  for (auto &it : Pieces)
    it.second /= Kept;
  Kept = 1;
}

void EngineView::insert(const PieceKey &piece) {
  if (Pieces.size() >= MaxPieces && !Pieces.contains(piece)) {
    Pieces.clear();
    Complete = false;
  }
  Pieces[piece] = Kept;
}

} // namespace daisytack
