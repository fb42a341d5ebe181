/// Chooses the store instances that hold a piece, by rendezvous hashing across
/// failure domains. All agents compute the same result, so that no index is
/// needed.
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

/// Maximum number of copies of a piece.
constexpr size_t MaxStoreCopies = 2;

/// Indices of the stores for a piece, in order of preference. The stores are in
/// different failure domains while enough domains exist.
std::vector<uint32_t> chooseStores(const PieceKey &piece,
                                   std::span<const StoreInstance> stores,
                                   size_t copies = MaxStoreCopies);

} // namespace daisytack
