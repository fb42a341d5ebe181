#include "context/engine_view.h"

#include <algorithm>

namespace daisytack {

namespace {

/// Pieces whose presence probability is not above this are dropped.
constexpr double MinPresenceProbability = 0.5;
/// Below this value, all entries are rescaled to prevent underflow.
constexpr double MinSurvivalProduct = 1e-100;

} // namespace

EngineView::EngineView(size_t maxPieces) : MaxPieces(maxPieces) {}

bool EngineView::apply(std::span<const CacheEvent> events, uint64_t next) {
  bool contiguous = true;
  for (const CacheEvent &it : events) {
    if (it.Sequence < Next)
      continue;
    if (it.Sequence > Next) {
      applyMissedEvents(it.Sequence - Next);
      contiguous = false;
    }
    applyEvent(it);
    Next = it.Sequence + 1;
  }
  if (next > Next) { // Events at the end of the answer are missing.
    applyMissedEvents(next - Next);
    contiguous = false;
    Next = next;
  }
  if (!contiguous)
    ++Gaps;
  return contiguous;
}

void EngineView::applyEvent(const CacheEvent &event) {
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
  SurvivalProduct = 1;
  Next = fromSequence;
  AllEventsSeen = complete;
}

void EngineView::markPresent(std::span<const PieceKey> pieces) {
  for (const PieceKey &it : pieces)
    insert(it);
}

void EngineView::markAbsent(const PieceKey &piece) { Pieces.erase(piece); }

Presence EngineView::presence(const PieceKey &piece) const {
  auto it = Pieces.find(piece);
  if (it != Pieces.end() && it->second == SurvivalProduct)
    return Presence::Present;
  if (it == Pieces.end() && AllEventsSeen)
    return Presence::Absent;
  return Presence::Unknown;
}

double EngineView::presenceProbability(const PieceKey &piece) const {
  auto it = Pieces.find(piece);
  return it == Pieces.end() ? 0 : SurvivalProduct / it->second;
}

void EngineView::applyMissedEvents(uint64_t events) {
  AllEventsSeen = false;
  // Any missed event may have evicted any one of the pieces.
  auto pieces = static_cast<double>(std::max<size_t>(Pieces.size(), 1));
  SurvivalProduct *= std::max(0.0, 1 - static_cast<double>(events) / pieces);
  std::erase_if(Pieces, [&](const auto &it) {
    return SurvivalProduct <= MinPresenceProbability * it.second;
  });
  if (SurvivalProduct >= MinSurvivalProduct && !Pieces.empty())
    return;
  for (auto &it : Pieces)
    it.second /= SurvivalProduct;
  SurvivalProduct = 1;
}

void EngineView::insert(const PieceKey &piece) {
  if (Pieces.size() >= MaxPieces && !Pieces.contains(piece)) {
    Pieces.clear();
    AllEventsSeen = false;
  }
  Pieces[piece] = SurvivalProduct;
}

} // namespace daisytack
