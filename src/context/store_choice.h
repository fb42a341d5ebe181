/// Which store instances hold a piece: rendezvous hashing over the store
/// instances, in different failure domains. Every agent computes the same, so
/// no index is kept.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace daisytack {

/// A store instance from the settings.
struct StoreInstance {
  std::string Name;
  std::string FailureDomain;
  Endpoint Address;
  uint64_t NameHash = 0; ///< hashName(Name).
  auto operator<=>(const StoreInstance &) const = default;
};

/// Copies of a piece at most.
constexpr size_t MaxStoreCopies = 2;

/// Indices of the stores for a piece, the first choice first; each further one
/// lies in a failure domain of its own while there are enough domains.
std::vector<uint32_t> chooseStores(const PieceKey &piece,
                                   std::span<const StoreInstance> stores,
                                   size_t copies = MaxStoreCopies);

} // namespace daisytack
