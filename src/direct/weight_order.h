/// Orders to engines to load another version of a model's weights, and the
/// engines' reports.
#pragma once

#include "direct/records.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

/// Tells an engine to load the version as soon as its current runs have
/// finished.
struct WeightOrder {
  std::string ServerId;
  Endpoint Address;
  ModelVersion Desired;
  std::string Holder;        ///< Name of the entry that holds the order lease.
  uint64_t FencingToken = 0; ///< Increases with every holder.
  /// Number of orders that the engine must have accepted so far; it refuses the
  /// order otherwise. Empty: not checked.
  std::optional<uint64_t> OrdersTaken;
  auto operator<=>(const WeightOrder &) const = default;
};

/// An engine's report on its weights, a few hundred milliseconds old when it
/// arrives.
struct EngineReport {
  std::vector<ModelVersion> Weights;
  bool IsBusy = false;      ///< The engine is carrying out an order.
  uint64_t OrdersTaken = 0; ///< Orders accepted since the engine's start.
  uint64_t StartedMs = 0;   ///< See ServerStart; 0: not reported.
  auto operator<=>(const EngineReport &) const = default;
};

} // namespace daisytack::direct
