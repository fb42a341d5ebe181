/// Compares routing and context reuse policies in several scenarios, with
/// request streams modelled on two deployments. The simulation is deterministic
/// for a given length and seed.
///
/// usage: bench_policy [hours] [seed] [scenario]
#include "policy_run.h"

#include <cstdio>
#include <cstdlib>

namespace daisytack::bench {

namespace {

const std::vector<Policy> Policies = {
    {"round robin", Routing::RoundRobin, ContextReuse::EngineOnly, false},
    {"least loaded", Routing::LeastLoaded, ContextReuse::EngineOnly, false},
    {"always recompute", Routing::Daisytack, ContextReuse::EngineOnly, true},
    {"always fetch", Routing::Daisytack, ContextReuse::FetchAll, true},
    {"ours", Routing::Daisytack, ContextReuse::Planned, true},
    {"oracle", Routing::Daisytack, ContextReuse::Oracle, true},
};

const std::vector<Scenario> Scenarios = {
    {"steady"},
    {"bursts", true},
    {"misbehaving", false, true},
    {"slow server", false, false, 0.2},
    {"domain lost", false, false, 1, true},
    {"links at a tenth", false, false, 1, false, 0.1},
};

// Organisations with this rank or a higher number count as small.
constexpr uint32_t FirstSmallRank = 3;

struct Summary {
  /// Time to first token, in seconds.
  double FirstTokenP50 = 0, FirstTokenP95 = 0, FirstTokenP99 = 0;
  /// The same for small organisations.
  double SmallFirstTokenP95 = 0;
  /// Fraction of the prompt tokens that were recomputed.
  double RecomputedShare = 0;
  /// Fraction of the requests within the rate limit that were refused.
  double RefusedShare = 0;
  /// Accepted requests that were late or never answered.
  uint64_t MissedDeadlines = 0;
  /// Fraction of the requests within the rate limit that met their deadline.
  double OnTimeShare = 0;
  /// Lowest OnTimeShare of any organisation.
  double MinOnTimeShare = 1;
};

double percentile(std::vector<double> &values, double share) {
  if (values.empty())
    return 0;
  auto n = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + n, values.end());
  return values[n];
}

Summary summarise(const Deployment &setup, const std::vector<Request> &stream,
                  const RunResult &result) {
  struct Tally {
    uint64_t Requests = 0;
    uint64_t OnTime = 0;
  };
  Summary out;
  std::vector<double> first;
  std::vector<double> small;
  std::vector<Tally> tallies(OrganisationCount);
  double promptTokens = 0;
  double recomputed = 0;
  uint64_t requests = 0;
  uint64_t refused = 0;
  uint64_t onTime = 0;
  for (size_t i = 0; i < stream.size(); ++i) {
    const RequestOutcome &it = result.Outcomes[i];
    if (!it.Counted || it.Limited)
      continue;
    const Request &request = stream[i];
    Tally &tally = tallies[request.Organisation];
    ++requests;
    ++tally.Requests;
    if (it.Refused) {
      ++refused;
      continue;
    }
    bool late = it.Lost || it.TotalTime > setup.Classes[request.Class].Deadline;
    out.MissedDeadlines += late ? 1 : 0;
    onTime += late ? 0 : 1;
    tally.OnTime += late ? 0 : 1;
    first.push_back(seconds(it.FirstTokenTime));
    if (request.Organisation >= FirstSmallRank)
      small.push_back(seconds(it.FirstTokenTime));
    promptTokens += request.PromptTokens;
    recomputed += it.RecomputedTokens;
  }
  out.FirstTokenP50 = percentile(first, 0.5);
  out.FirstTokenP95 = percentile(first, 0.95);
  out.FirstTokenP99 = percentile(first, 0.99);
  out.SmallFirstTokenP95 = percentile(small, 0.95);
  out.RecomputedShare = recomputed / std::max(promptTokens, 1.0);
  auto all = static_cast<double>(std::max<uint64_t>(requests, 1));
  out.RefusedShare = static_cast<double>(refused) / all;
  out.OnTimeShare = static_cast<double>(onTime) / all;
  for (const Tally &it : tallies)
    if (it.Requests > 0)
      out.MinOnTimeShare =
          std::min(out.MinOnTimeShare, static_cast<double>(it.OnTime) /
                                           static_cast<double>(it.Requests));
  return out;
}

void printHead(const Deployment &setup, const Scenario &scenario, size_t n) {
  std::printf("\n%s, %s (%zu requests)\n", setup.Name.c_str(),
              scenario.Name.c_str(), n);
  std::printf("%-17s %7s %7s %7s %8s %8s %8s %7s %6s %7s %8s %7s %7s %6s\n",
              "policy", "p50 s", "p95 s", "p99 s", "small95", "recomp%",
              "fetch GB", "exp GB", "link%", "missed", "refused%", "intime%",
              "worst%", "moves");
}

void printRow(const Policy &policy, const Summary &it, const RunResult &run) {
  std::printf(
      "%-17s %7.3f %7.3f %7.3f %8.3f %8.2f %8.0f %7.0f %6.1f %7lu %8.2f "
      "%7.2f %7.2f %6lu\n",
      policy.Name.c_str(), it.FirstTokenP50, it.FirstTokenP95, it.FirstTokenP99,
      it.SmallFirstTokenP95, it.RecomputedShare * 100,
      static_cast<double>(run.FetchedBytes) / 1e9,
      static_cast<double>(run.ExportedBytes) / 1e9, run.LinkUtilisation * 100,
      it.MissedDeadlines, it.RefusedShare * 100, it.OnTimeShare * 100,
      it.MinOnTimeShare * 100, run.Moves);
  std::fflush(stdout);
}

void runAll(double hours, uint64_t seed, const std::string &only) {
  RunOptions options;
  options.Length = fromSeconds(hours * 3600);
  options.WarmUp = options.Length / 3;
  options.Seed = seed;
  for (const Deployment &setup : {riga(), dakar()})
    for (const Scenario &scenario : Scenarios) {
      if (!only.empty() && scenario.Name != only)
        continue;
      StreamOptions streamOptions;
      streamOptions.Length = options.Length;
      streamOptions.HasBursts = scenario.HasBursts;
      streamOptions.Seed = seed;
      if (scenario.HasMisbehaviour)
        streamOptions.MisbehaviourStart = TimePoint(options.WarmUp);
      auto stream = StreamGenerator(setup, streamOptions).run();
      printHead(setup, scenario, stream.size());
      for (const Policy &policy : Policies) {
        RunResult result =
            PolicyRun(setup, policy, scenario, stream, options).run();
        printRow(policy, summarise(setup, stream, result), result);
      }
    }
}

} // namespace

} // namespace daisytack::bench

int main(int argc, char **argv) {
  double hours = argc > 1 ? std::strtod(argv[1], nullptr) : 3;
  uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  daisytack::bench::runAll(hours, seed, argc > 3 ? argv[3] : "");
}
