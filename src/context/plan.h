/// Decides how much of a prompt's prefix to fetch from the stores and how much
/// to recompute, by a cost formula whose weights come from the settings.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace daisytack {

/// Storage medium on which a store holds a piece.
enum class StoreTier : uint8_t { Memory, Disk };

/// A committed piece as returned by a store's lookup.
struct StoredPiece {
  uint64_t Generation = 0;
  uint64_t Length = 0; ///< Number of bytes to transfer.
  StoreTier Tier = StoreTier::Memory;
  uint32_t Link = 0; ///< Index into PlanInput::Links.
  auto operator<=>(const StoredPiece &) const = default;
};

/// Where one complete piece of the prompt is available.
struct PieceState {
  bool InEngine = false; ///< The engine's cache is expected to hold the piece.
  std::optional<StoredPiece> Stored; ///< Empty when no store holds the piece.
  auto operator<=>(const PieceState &) const = default;
};

/// Current state of a link, as estimated by its scheduler.
struct LinkState {
  double BytesPerSecond = 0; ///< Learned rate; 0 when the link is unusable.
  uint64_t BacklogBytes = 0; ///< Bytes sent before this prompt's fetches.
  /// Latency of a fetch in addition to its transfer time.
  Duration RoundTrip{0};
  /// Read rate of pieces on disk; 0 when only the link limits it.
  double DiskBytesPerSecond = 0;
  auto operator<=>(const LinkState &) const = default;
};

/// Weights of the cost formula: relative costs of one second, 1,000 tokens and
/// one megabyte (10^6 bytes).
struct PlanWeights {
  double FirstToken = 1;    ///< Cost per second until the first token.
  double Recompute = 0.001; ///< Cost per 1,000 prompt tokens prefilled.
  double Link = 0.00001;    ///< Cost per megabyte fetched.
  auto operator<=>(const PlanWeights &) const = default;
};

/// Weights for interactive use, where the time to the first token dominates.
PlanWeights firstTokenWeights();
/// Weights for deployments where the cost of recomputation dominates.
PlanWeights recomputeWeights();

/// Input of planFetch.
struct PlanInput {
  /// Complete pieces of the prompt, in order.
  std::span<const PieceState> Pieces;
  std::span<const LinkState> Links;
  /// All tokens of the prompt, including an incomplete last piece.
  uint32_t PromptTokens = 0;
  Duration QueueWait{0}; ///< Time until the engine could start the prefill.
  double PrefillTokensPerSecond = 1;
  /// Latest useful time to the first token.
  Duration FirstTokenLimit = Duration::max();
};

/// The pieces to fetch, and the predicted times and costs.
struct FetchPlan {
  /// Number of leading pieces that are not recomputed.
  uint32_t ReusedPieces = 0;
  std::vector<uint32_t> Fetch; ///< Indices of pieces to fetch, in order.
  uint64_t Bytes = 0;          ///< Number of bytes to fetch.
  Duration FetchTime{0};       ///< Time until the last fetch ends.
  Duration FirstToken{0}; ///< Predicted time from now until the first token.
  uint32_t RecomputedTokens = 0;
  double Cost = 0;          ///< Cost of this plan.
  double RecomputeCost = 0; ///< Cost of the plan without fetches.
  bool operator==(const FetchPlan &) const = default;
};

/// A prompt whose fetches are not finished at the predicted time.
struct LateFetch {
  Duration Remaining{0}; ///< Predicted time until all fetches are finished.
  Duration QueueWait{0}; ///< Time until the engine could start the prefill.
  /// Number of tokens to recompute if the fetches are cancelled.
  uint32_t TokensAtStake = 0;
  double PrefillTokensPerSecond = 1;
  Duration Limit = Duration::max(); ///< Upper limit on Remaining.
};

/// Decides by the same cost formula whether to wait for the fetches; if not,
/// the prompt runs with the prefix that has arrived.
bool isWorthWaiting(const LateFetch &fetch, const PlanWeights &weights);

/// Returns the plan of lowest cost among those that meet FirstTokenLimit; if
/// none does, the plan with the earliest first token. Linear in the number of
/// pieces.
FetchPlan planFetch(const PlanInput &input, const PlanWeights &weights);

} // namespace daisytack
