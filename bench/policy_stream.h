/// Synthetic request streams modelled on two deployments: organisations of
/// unequal size, a prefix shared within an organisation, documents requested
/// again after heavy-tailed gaps, and bursts before a deadline.
#pragma once

#include "policy_model.h"

#include "base/digest.h"
#include "daisytack/objects.h"

#include <cmath>
#include <string>
#include <vector>

namespace daisytack::bench {

constexpr size_t OrganisationCount = 10;
// Organisation sizes fall with the rank to this power, so that a few are large.
constexpr double SizeExponent = 1.0;
// Gaps between requests for the same document: a bounded Pareto distribution
// from two minutes to one day. With an exponent near 1, gaps of every order of
// magnitude are about equally common.
constexpr double MinGapSeconds = 120;
constexpr double MaxGapSeconds = 86'400;
constexpr double GapExponent = 1.1;
// Rate limit of an organisation, as a multiple of its usual rate.
constexpr double LimitFactor = 3;
// In the last five minutes of every half hour, the rate is multiplied by this
// factor.
constexpr double BurstPeriodSeconds = 1'800;
constexpr double BurstSeconds = 300;
constexpr double BurstFactor = 2.2;
// Rate of the misbehaving organisation, as a multiple of its limit.
constexpr double MisbehaviourFactor = 10;

/// Parameters of one request class.
struct RequestClass {
  std::string Name;
  double DocumentShare = 1; ///< Fraction of the documents.
  /// Leading pieces shared by all requests of an organisation.
  uint32_t SharedPieces = 0;
  /// Pieces shared by all requests for the same document.
  uint32_t DocumentPieces = 0;
  uint32_t NewTokens = 0; ///< Tokens that differ in every request.
  uint32_t AnswerTokens = 0;
  Duration Deadline{0};
  uint32_t Priority = 5;
  KeepRule Keep = KeepRule::SecondSight;
};

struct Deployment {
  std::string Name;
  std::vector<std::string> Domains;
  uint32_t Servers = 0;
  uint32_t Stores = 2;
  uint32_t Entries = 3;
  double RequestsPerSecond = 0; ///< Usual rate over all organisations.
  PlanWeights Weights;
  std::vector<RequestClass> Classes;
};

// Quotes, needed within three seconds while a trader waits on the phone, and
// drafts of commentary, which must be ready before a bulletin closes.
inline Deployment riga() {
  Deployment out;
  out.Name = "Riga";
  out.Domains = {"kengarags", "imanta", "jugla"};
  out.Servers = 12;
  out.RequestsPerSecond = 8;
  out.Weights = firstTokenWeights();
  out.Classes = {{"quote", 0.7, 3, 2, 200, 24, std::chrono::seconds(3), 8,
                  KeepRule::SecondSight},
                 {"draft", 0.3, 3, 8, 800, 600, std::chrono::seconds(90), 4,
                  KeepRule::SecondSight}};
  return out;
}

// Notices, whose prompt has a long style guide and past notices before the
// draft, and short checks of names and dates. The prefixes are known to be
// reused, so both classes always keep their context.
inline Deployment dakar() {
  Deployment out;
  out.Name = "Dakar";
  out.Domains = {"plateau", "medina", "pikine", "rufisque"};
  out.Servers = 9;
  out.RequestsPerSecond = 3;
  out.Weights = recomputeWeights();
  out.Classes = {{"notice", 0.6, 6, 10, 900, 400, std::chrono::seconds(120), 5,
                  KeepRule::Always},
                 {"check", 0.4, 6, 4, 500, 60, std::chrono::seconds(20), 7,
                  KeepRule::Always}};
  return out;
}

struct Request {
  TimePoint ArrivedAt;
  uint32_t Organisation = 0;
  uint32_t Class = 0;
  std::vector<PieceKey> Pieces;
  uint32_t PromptTokens = 0;
  bool IsExcess = false; ///< Sent by the misbehaving organisation in excess of
                         ///< its usual rate.
};

/// Returns the share of the load that the organisation of the given rank has.
inline double loadShare(size_t rank) {
  double sum = 0;
  for (size_t i = 1; i <= OrganisationCount; ++i)
    sum += std::pow(i, -SizeExponent);
  return std::pow(rank + 1, -SizeExponent) / sum;
}

/// Replaces the keyed hash of piece contents, which would slow the benchmark
/// and does not affect the decisions.
inline PieceKey benchKey(uint64_t organisation, uint64_t document,
                         uint64_t index) {
  PieceKey out;
  uint64_t word = mix64(organisation * 0x9e3779b97f4a7c15ULL + document);
  for (size_t i = 0; i < out.Bytes.size(); ++i) {
    if (i % 8 == 0)
      word = mix64(word + index * 0xd1342543de82ef95ULL + i + 1);
    out.Bytes[i] = static_cast<uint8_t>(word >> (8 * (i % 8)));
  }
  return out;
}

struct StreamOptions {
  Duration Length{0};
  bool HasBursts = false;
  /// Start of the misbehaviour of organisation 0, which lasts to the end; empty
  /// if there is none.
  std::optional<TimePoint> MisbehaviourStart;
  uint64_t Seed = 1;
};

/// Generates a request stream, sorted by arrival time.
class StreamGenerator {
public:
  StreamGenerator(const Deployment &deployment, const StreamOptions &options)
      : Setup(deployment), Options(options), Rng(options.Seed) {}

  std::vector<Request> run() {
    auto documents =
        static_cast<uint64_t>(Setup.RequestsPerSecond * meanGapSeconds());
    for (uint64_t i = 0; i < documents; ++i)
      addDocument(i);
    if (Options.HasBursts)
      addBursts(documents);
    if (Options.MisbehaviourStart)
      addMisbehaviour(documents);
    std::stable_sort(Requests.begin(), Requests.end(),
                     [](const Request &a, const Request &b) {
                       return a.ArrivedAt < b.ArrivedAt;
                     });
    return std::move(Requests);
  }

private:
  static double gapSeconds(double quantile, double exponent = GapExponent) {
    double lowest = std::pow(MinGapSeconds, -exponent);
    double highest = std::pow(MaxGapSeconds, -exponent);
    return std::pow(lowest - quantile * (lowest - highest), -1 / exponent);
  }
  static double meanGapSeconds() {
    double sum = 0;
    constexpr int Points = 10'000;
    for (int i = 0; i < Points; ++i)
      sum += gapSeconds((i + 0.5) / Points);
    return sum / Points;
  }
  /// Returns the organisation of a document, derived from its number, so that
  /// all its requests have the same one. The same holds for classOf().
  uint32_t organisationOf(uint64_t document) const {
    double draw = static_cast<double>(mix64(document) >> 11U) * 0x1.0p-53;
    for (uint32_t i = 0; i + 1 < OrganisationCount; ++i)
      if ((draw -= loadShare(i)) < 0)
        return i;
    return OrganisationCount - 1;
  }
  uint32_t classOf(uint64_t document) const {
    double draw = static_cast<double>(mix64(~document) >> 11U) * 0x1.0p-53;
    return draw < Setup.Classes[0].DocumentShare ? 0 : 1;
  }
  void add(double at, uint64_t document, uint32_t organisation, bool isExcess) {
    Request out;
    out.ArrivedAt = TimePoint(fromSeconds(at));
    out.Organisation = organisation;
    out.Class = classOf(document);
    out.IsExcess = isExcess;
    const RequestClass &requestClass = Setup.Classes[out.Class];
    for (uint32_t i = 0; i < requestClass.SharedPieces; ++i)
      out.Pieces.push_back(benchKey(organisation, 0, i));
    for (uint32_t i = 0; i < requestClass.DocumentPieces; ++i)
      out.Pieces.push_back(benchKey(organisation, document + 1, i));
    out.PromptTokens = static_cast<uint32_t>(out.Pieces.size()) * PieceTokens +
                       requestClass.NewTokens;
    Requests.push_back(std::move(out));
  }
  void addDocument(uint64_t document) {
    // A renewal process observed at a random time is within a gap. The
    // probability of that gap is proportional to its length, and the position
    // in it is uniformly distributed.
    double at = gapSeconds(uniform(Rng), GapExponent - 1) * uniform(Rng);
    double end = seconds(Options.Length);
    while (at < end) {
      add(at, document, organisationOf(document), false);
      at += gapSeconds(uniform(Rng));
    }
  }
  void addBursts(uint64_t documents) {
    double extra = Setup.RequestsPerSecond * (BurstFactor - 1);
    for (double from = BurstPeriodSeconds - BurstSeconds;
         from < seconds(Options.Length); from += BurstPeriodSeconds)
      for (double at = from; at < from + BurstSeconds;
           at -= std::log(1 - uniform(Rng)) / extra) {
        uint64_t document = Rng() % documents;
        add(at, document, organisationOf(document), false);
      }
  }
  void addMisbehaviour(uint64_t documents) {
    double rate = Setup.RequestsPerSecond * loadShare(0) * LimitFactor *
                  MisbehaviourFactor;
    double end = seconds(Options.Length);
    for (double at = seconds(Options.MisbehaviourStart->time_since_epoch());
         at < end; at -= std::log(1 - uniform(Rng)) / rate)
      add(at, Rng() % documents, 0, true);
  }

  const Deployment &Setup;
  StreamOptions Options;
  Random Rng;
  std::vector<Request> Requests;
};

} // namespace daisytack::bench
