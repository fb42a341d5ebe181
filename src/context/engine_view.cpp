#include "context/engine_view.h"

namespace daisytack {

EngineView::EngineView(size_t maxPieces) : MaxPieces(maxPieces) {}

bool EngineView::apply(std::span<const CacheEvent> events, uint64_t next) {
  bool whole = true;
  for (const CacheEvent &it : events) {
    if (it.Sequence < Next)
      continue;
    if (it.Sequence > Next) {
      forget();
      whole = false;
    }
    applyOne(it);
    Next = it.Sequence + 1;
  }
  if (next > Next) { // The answer's tail is missing.
    forget();
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
    Pieces.clear();
    Complete = true;
    break;
  }
}

void EngineView::reset(uint64_t fromSequence, bool complete) {
  Pieces.clear();
  Next = fromSequence;
  Complete = complete;
}

void EngineView::confirm(std::span<const PieceKey> pieces) {
  for (const PieceKey &it : pieces)
    insert(it);
}

void EngineView::deny(const PieceKey &piece) { Pieces.erase(piece); }

Presence EngineView::presence(const PieceKey &piece) const {
  if (Pieces.contains(piece))
    return Presence::Present;
  return Complete ? Presence::Absent : Presence::Unknown;
}

void EngineView::forget() {
  Pieces.clear();
  Complete = false;
}

void EngineView::insert(const PieceKey &piece) {
  if (Pieces.size() >= MaxPieces && !Pieces.contains(piece))
    forget();
  Pieces.insert(piece);
}

} // namespace daisytack
