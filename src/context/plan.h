/// Fetch or recompute: how much of a prompt's prefix to take from the stores
/// before its run, by one cost formula whose weights come from the deployment's
/// settings.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace daisytack {

/// Where a store holds a piece.
enum class StoreTier : uint8_t { Memory, Disk };

/// A committed piece as a store's lookup answered it.
struct StoredPiece {
  uint64_t Generation = 0;
  uint64_t Length = 0; ///< Bytes that cross the link.
  StoreTier Tier = StoreTier::Memory;
  uint32_t Link = 0; ///< Index into PlanInput::Links.
  auto operator<=>(const StoredPiece &) const = default;
};

/// What is known of one whole piece of the prompt.
struct PieceState {
  bool InEngine = false; ///< EngineView says present.
  std::optional<StoredPiece> Stored;
  auto operator<=>(const PieceState &) const = default;
};

/// A link as its scheduler sees it at this moment.
struct LinkState {
  double BytesPerSecond = 0;     ///< Learned; 0 means unusable.
  uint64_t BacklogBytes = 0;     ///< That go before this prompt's fetches.
  Duration RoundTrip{0};         ///< Of one fetch, beyond its bytes.
  double DiskBytesPerSecond = 0; ///< Of pieces on disk; 0: as the link.
  auto operator<=>(const LinkState &) const = default;
};

/// What one second, one thousand tokens and one megabyte (10^6 bytes) cost
/// against each other.
struct PlanWeights {
  double FirstToken = 1;    ///< Per second until the first token.
  double Recompute = 0.001; ///< Per 1,000 prompt tokens prefilled.
  double Link = 0.00001;    ///< Per megabyte fetched.
  auto operator<=>(const PlanWeights &) const = default;
};

/// For deployments where the caller waits on the line (Riga).
PlanWeights firstTokenWeights();
/// For deployments where recomputing is what costs (Dakar).
PlanWeights recomputeWeights();

struct PlanInput {
  std::span<const PieceState> Pieces; ///< Whole pieces, in order.
  std::span<const LinkState> Links;
  uint32_t PromptTokens = 0; ///< Whole pieces and the rest.
  Duration QueueWait{0};     ///< Until the engine could start the prefill.
  double PrefillTokensPerSecond = 1;
  Duration FirstTokenLimit = Duration::max(); ///< Later is as good as never.
};

/// What to fetch, and what is expected of it.
struct FetchPlan {
  uint32_t ReusedPieces = 0;   ///< The prefix that will not be recomputed.
  std::vector<uint32_t> Fetch; ///< Indices of pieces to fetch, in order.
  uint64_t Bytes = 0;          ///< To fetch.
  Duration FetchTime{0};       ///< Until the last fetch is done.
  Duration FirstToken{0};      ///< Predicted, from now.
  uint32_t RecomputedTokens = 0;
  double Cost = 0;          ///< Of this plan.
  double RecomputeCost = 0; ///< Of the plan without any fetch.
  bool operator==(const FetchPlan &) const = default;
};

/// A prompt whose fetch is not done when its plan said it would be.
struct LateFetch {
  Duration Remaining{0};      ///< Until all is there, as predicted now.
  Duration QueueWait{0};      ///< Until the engine could start the prefill.
  uint32_t TokensAtStake = 0; ///< Recomputed if the fetch is given up.
  double PrefillTokensPerSecond = 1;
  Duration Limit = Duration::max(); ///< Of Remaining.
};

/// Whether to wait on, by the same formula; otherwise the prompt runs with the
/// prefix that has arrived.
bool isWorthWaiting(const LateFetch &fetch, const PlanWeights &weights);

/// The plan of least cost among those that keep the limit; when none keeps it,
/// the one with the earliest first token. Linear in the number of pieces.
FetchPlan planFetch(const PlanInput &input, const PlanWeights &weights);

} // namespace daisytack
