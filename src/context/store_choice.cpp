#include "context/store_choice.h"

#include "base/digest.h"

#include <algorithm>

namespace daisytack {

namespace {

uint64_t weightOf(uint64_t keyHash, const StoreInstance &store) {
  return mix64(keyHash ^ mix64(store.NameHash));
}

bool isChosen(const std::vector<uint32_t> &chosen, uint32_t index) {
  return std::find(chosen.begin(), chosen.end(), index) != chosen.end();
}

bool sharesDomain(const std::vector<uint32_t> &chosen,
                  std::span<const StoreInstance> stores, uint32_t index) {
  return std::any_of(chosen.begin(), chosen.end(), [&](uint32_t it) {
    return stores[it].FailureDomain == stores[index].FailureDomain;
  });
}

} // namespace

std::vector<uint32_t> chooseStores(const PieceKey &piece,
                                   std::span<const StoreInstance> stores,
                                   size_t copies) {
  uint64_t hash = std::hash<PieceKey>{}(piece);
  std::vector<uint32_t> out;
  copies = std::min(copies, stores.size());
  while (out.size() < copies) {
    std::optional<uint32_t> best;
    bool bestSharesDomain = true;
    for (uint32_t i = 0; i < stores.size(); ++i) {
      if (isChosen(out, i))
        continue;
      bool sharesChosenDomain = sharesDomain(out, stores, i);
      bool isBetter =
          !best || (bestSharesDomain && !sharesChosenDomain) ||
          (bestSharesDomain == sharesChosenDomain &&
           weightOf(hash, stores[i]) > weightOf(hash, stores[*best]));
      if (!isBetter || (best && sharesChosenDomain && !bestSharesDomain))
        continue;
      best = i;
      bestSharesDomain = sharesChosenDomain;
    }
    out.push_back(*best);
  }
  return out;
}

} // namespace daisytack
