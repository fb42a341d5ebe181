#include "context/plan.h"

#include <algorithm>
#include <cmath>

namespace daisytack {

namespace {

constexpr double TokensPerCostUnit = 1000;
constexpr double BytesPerMegabyte = 1e6;
/// Upper bound, longer than any deadline; prevents overflow of durations.
constexpr double MaxSeconds = 1e6;
constexpr double MicrosPerSecond = 1e6;

Duration fromSeconds(double seconds) {
  seconds = std::clamp(seconds, 0.0, MaxSeconds);
  return Duration(std::llround(seconds * MicrosPerSecond));
}

double toSeconds(Duration value) {
  return static_cast<double>(value.count()) / MicrosPerSecond;
}

/// Fetches assigned to one link so far.
struct LinkLoad {
  /// Time until the assigned fetches end, including the backlog.
  double Seconds = 0;
  bool Used = false;
};

double transferSeconds(const LinkState &link, const StoredPiece &piece) {
  double rate = link.BytesPerSecond;
  if (piece.Tier == StoreTier::Disk && link.DiskBytesPerSecond > 0)
    rate = std::min(rate, link.DiskBytesPerSecond);
  return static_cast<double>(piece.Length) / rate;
}

/// Extends the prefix piece by piece and computes the cost of each length.
class Planner {
public:
  Planner(const PlanInput &in, const PlanWeights &w)
      : Input(in), Weights(w), Loads(in.Links.size()) {}

  FetchPlan choose() {
    FetchPlan best = planForPrefix();
    size_t bestFetches = 0;
    bool pastEnginePrefix = false; // The engine's leading pieces have ended.
    double recomputeCost = best.Cost;
    for (uint32_t i = 0; i < Input.Pieces.size(); ++i) {
      bool inEngine = Input.Pieces[i].InEngine;
      pastEnginePrefix = pastEnginePrefix || !inEngine;
      if (!inEngine && !addFetch(i))
        break;
      ++Reused;
      FetchPlan candidate = planForPrefix();
      if (!pastEnginePrefix)
        recomputeCost = candidate.Cost;
      if (!isBetter(candidate, best))
        continue;
      best = candidate;
      bestFetches = Fetched.size();
    }
    best.RecomputeCost = recomputeCost;
    best.Fetch.assign(Fetched.begin(),
                      Fetched.begin() + static_cast<ptrdiff_t>(bestFetches));
    return best;
  }

private:
  bool addFetch(uint32_t index) {
    const auto &stored = Input.Pieces[index].Stored;
    if (!stored || stored->Link >= Input.Links.size())
      return false;
    const LinkState &link = Input.Links[stored->Link];
    if (link.BytesPerSecond <= 0)
      return false;
    LinkLoad &load = Loads[stored->Link];
    if (!load.Used)
      load.Seconds =
          toSeconds(link.RoundTrip) +
          static_cast<double>(link.BacklogBytes) / link.BytesPerSecond;
    load.Used = true;
    load.Seconds += transferSeconds(link, *stored);
    FetchSeconds = std::max(FetchSeconds, load.Seconds);
    Bytes += stored->Length;
    Fetched.push_back(index);
    return true;
  }

  FetchPlan planForPrefix() const {
    FetchPlan out;
    out.ReusedPieces = Reused;
    out.Bytes = Bytes;
    out.FetchTime = fromSeconds(FetchSeconds);
    uint32_t reusedTokens = Reused * PieceTokens;
    out.RecomputedTokens = Input.PromptTokens > reusedTokens
                               ? Input.PromptTokens - reusedTokens
                               : 0;
    double prefillSeconds =
        out.RecomputedTokens / std::max(1.0, Input.PrefillTokensPerSecond);
    // Fetches run while the prompt is queued.
    double firstTokenSeconds =
        std::max(toSeconds(Input.QueueWait), FetchSeconds) + prefillSeconds;
    out.FirstToken = fromSeconds(firstTokenSeconds);
    out.Cost = Weights.FirstToken * firstTokenSeconds +
               Weights.Recompute * out.RecomputedTokens / TokensPerCostUnit +
               Weights.Link * static_cast<double>(Bytes) / BytesPerMegabyte;
    return out;
  }

  bool isBetter(const FetchPlan &a, const FetchPlan &b) const {
    bool aMeetsLimit = a.FirstToken <= Input.FirstTokenLimit;
    bool bMeetsLimit = b.FirstToken <= Input.FirstTokenLimit;
    if (aMeetsLimit != bMeetsLimit)
      return aMeetsLimit;
    return aMeetsLimit ? a.Cost < b.Cost : a.FirstToken < b.FirstToken;
  }

  const PlanInput &Input;
  const PlanWeights &Weights;
  std::vector<LinkLoad> Loads;
  std::vector<uint32_t> Fetched;
  uint32_t Reused = 0;
  uint64_t Bytes = 0;
  double FetchSeconds = 0;
};

} // namespace

PlanWeights firstTokenWeights() { return {1.0, 0.005, 0.001}; }

PlanWeights recomputeWeights() { return {0.05, 1.0, 0.00001}; }

bool isWorthWaiting(const LateFetch &fetch, const PlanWeights &weights) {
  if (fetch.Remaining > fetch.Limit)
    return false;
  double waitSeconds =
      toSeconds(std::max(Duration(0), fetch.Remaining - fetch.QueueWait));
  double recomputeSeconds =
      fetch.TokensAtStake / std::max(1.0, fetch.PrefillTokensPerSecond);
  double giveUpCost =
      weights.FirstToken * recomputeSeconds +
      weights.Recompute * fetch.TokensAtStake / TokensPerCostUnit;
  return weights.FirstToken * waitSeconds < giveUpCost;
}

FetchPlan planFetch(const PlanInput &input, const PlanWeights &weights) {
  return Planner(input, weights).choose();
}

} // namespace daisytack
