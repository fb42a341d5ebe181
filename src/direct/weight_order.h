/// Orders to engines to load another version of a model's weights, and what an
/// engine says of itself.
#pragma once

#include "direct/records.h"

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace daisytack::direct {

/// Load the version once the runs under way have finished.
struct WeightOrder {
  std::string ServerId;
  Endpoint Address;
  ModelVersion Wanted;
  std::string Holder;        ///< Name of the entry that gives orders.
  uint64_t FencingToken = 0; ///< Grows with every holder.
  /// The engine refuses if it has accepted another number of orders so far.
  std::optional<uint64_t> OrdersTaken;
  auto operator<=>(const WeightOrder &) const = default;
};

/// Some hundred milliseconds old when it arrives.
struct EngineReport {
  std::vector<ModelVersion> Weights;
  bool IsBusy = false;      ///< An order is being carried out.
  uint64_t OrdersTaken = 0; ///< Since its start.
  uint64_t StartedMs = 0;   ///< See ServerStart.
  auto operator<=>(const EngineReport &) const = default;
};

} // namespace daisytack::direct
