#include "context/plan.h"

#include <algorithm>
#include <cmath>

namespace daisytack {

namespace {

constexpr double TokensPerUnit = 1000;
constexpr double BytesPerUnit = 1e6;
/// Longer than any deadline; keeps sums of durations within range.
constexpr double LongestSeconds = 1e6;
constexpr double MicrosPerSecond = 1e6;

Duration fromSeconds(double seconds) {
  seconds = std::clamp(seconds, 0.0, LongestSeconds);
  return Duration(std::llround(seconds * MicrosPerSecond));
}

double toSeconds(Duration value) {
  return static_cast<double>(value.count()) / MicrosPerSecond;
}

/// Fetch work that one link has been given so far.
struct LinkLoad {
  double Seconds = 0; ///< Including the backlog.
  bool Used = false;
};

double transferSeconds(const LinkState &link, const StoredPiece &piece) {
  double rate = link.BytesPerSecond;
  if (piece.Tier == StoreTier::Disk && link.DiskBytesPerSecond > 0)
    rate = std::min(rate, link.DiskBytesPerSecond);
  return static_cast<double>(piece.Length) / rate;
}

/// Walks the prefix piece by piece and prices each length.
class Planner {
public:
  Planner(const PlanInput &in, const PlanWeights &w)
      : Input(in), Weights(w), Loads(in.Links.size()) {}

  FetchPlan run() {
    FetchPlan best = priced();
    size_t bestFetches = 0;
    bool leadOver = false; // Past the pieces that the engine holds anyway.
    double recomputeCost = best.Cost;
    for (uint32_t i = 0; i < Input.Pieces.size(); ++i) {
      bool inEngine = Input.Pieces[i].InEngine;
      leadOver = leadOver || !inEngine;
      if (!inEngine && !addFetch(i))
        break;
      ++Reused;
      FetchPlan candidate = priced();
      if (!leadOver)
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

  FetchPlan priced() const {
    FetchPlan out;
    out.ReusedPieces = Reused;
    out.Bytes = Bytes;
    out.FetchTime = fromSeconds(FetchSeconds);
    uint32_t reusedTokens = Reused * PieceTokens;
    out.RecomputedTokens = Input.PromptTokens > reusedTokens
                               ? Input.PromptTokens - reusedTokens
                               : 0;
    double prefill =
        out.RecomputedTokens / std::max(1.0, Input.PrefillTokensPerSecond);
    // Fetching goes on while the prompt queues.
    double first = std::max(toSeconds(Input.QueueWait), FetchSeconds) + prefill;
    out.FirstToken = fromSeconds(first);
    out.Cost = Weights.FirstToken * first +
               Weights.Recompute * out.RecomputedTokens / TokensPerUnit +
               Weights.Link * static_cast<double>(Bytes) / BytesPerUnit;
    return out;
  }

  bool isBetter(const FetchPlan &a, const FetchPlan &b) const {
    bool aFits = a.FirstToken <= Input.FirstTokenLimit;
    bool bFits = b.FirstToken <= Input.FirstTokenLimit;
    if (aFits != bFits)
      return aFits;
    return aFits ? a.Cost < b.Cost : a.FirstToken < b.FirstToken;
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
  double waits =
      toSeconds(std::max(Duration(0), fetch.Remaining - fetch.QueueWait));
  double recompute =
      fetch.TokensAtStake / std::max(1.0, fetch.PrefillTokensPerSecond);
  double givenUp = weights.FirstToken * recompute +
                   weights.Recompute * fetch.TokensAtStake / TokensPerUnit;
  return weights.FirstToken * waits < givenUp;
}

FetchPlan planFetch(const PlanInput &input, const PlanWeights &weights) {
  return Planner(input, weights).run();
}

} // namespace daisytack
