/// What the decisions are worth: one table of policies against scenarios over
/// request streams shaped like the two deployments. Deterministic: seed and
/// length are arguments. usage: bench_policy [hours] [seed] [scenario]
#include "policy_run.h"

#include <cstdio>
#include <cstdlib>

namespace daisytack::bench {

namespace {

const std::vector<Policy> Policies = {
    {"round robin", Routing::RoundRobin, Context::EngineOnly, false},
    {"least loaded", Routing::LeastLoaded, Context::EngineOnly, false},
    {"always recompute", Routing::Ours, Context::EngineOnly, true},
    {"always fetch", Routing::Ours, Context::FetchAll, true},
    {"ours", Routing::Ours, Context::Planned, true},
    {"oracle", Routing::Ours, Context::Oracle, true},
};

const std::vector<Scenario> Scenarios = {
    {"steady"},
    {"bursts", true},
    {"misbehaving", false, true},
    {"slow server", false, false, 0.2},
    {"domain lost", false, false, 1, true},
    {"links at a tenth", false, false, 1, false, 0.1},
};

// Organisations of this rank and below count as small.
constexpr uint32_t SmallFrom = 3;

struct Summary {
  double P50 = 0, P95 = 0, P99 = 0; ///< First token, seconds.
  double SmallP95 = 0;              ///< Of small organisations.
  double Recomputed = 0;            ///< Share of prompt tokens.
  double Refused = 0;               ///< Share, those over the limit left out.
  uint64_t Missed = 0;              ///< Accepted, and late or never answered.
  double InTime = 0;                ///< Share of those within the limit.
  double WorstInTime = 1;           ///< Of the organisation worst off.
};

double percentile(std::vector<double> &values, double share) {
  if (values.empty())
    return 0;
  auto n = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + n, values.end());
  return values[n];
}

Summary summarise(const Deployment &what, const std::vector<Request> &stream,
                  const RunResult &result) {
  struct Tally {
    uint64_t Asked = 0;
    uint64_t InTime = 0;
  };
  Summary out;
  std::vector<double> first;
  std::vector<double> small;
  std::vector<Tally> tallies(Organisations);
  double prompt = 0;
  double recomputed = 0;
  uint64_t asked = 0;
  uint64_t refused = 0;
  uint64_t inTime = 0;
  for (size_t i = 0; i < stream.size(); ++i) {
    const Record &it = result.Records[i];
    if (!it.Counted || it.Limited)
      continue;
    const Request &request = stream[i];
    Tally &tally = tallies[request.Organisation];
    ++asked;
    ++tally.Asked;
    if (it.Refused) {
      ++refused;
      continue;
    }
    bool late = it.Lost || it.Took > what.Classes[request.Class].Deadline;
    out.Missed += late ? 1 : 0;
    inTime += late ? 0 : 1;
    tally.InTime += late ? 0 : 1;
    first.push_back(seconds(it.FirstToken));
    if (request.Organisation >= SmallFrom)
      small.push_back(seconds(it.FirstToken));
    prompt += request.PromptTokens;
    recomputed += it.Recomputed;
  }
  out.P50 = percentile(first, 0.5);
  out.P95 = percentile(first, 0.95);
  out.P99 = percentile(first, 0.99);
  out.SmallP95 = percentile(small, 0.95);
  out.Recomputed = recomputed / std::max(prompt, 1.0);
  auto all = static_cast<double>(std::max<uint64_t>(asked, 1));
  out.Refused = static_cast<double>(refused) / all;
  out.InTime = static_cast<double>(inTime) / all;
  for (const Tally &it : tallies)
    if (it.Asked > 0)
      out.WorstInTime =
          std::min(out.WorstInTime, static_cast<double>(it.InTime) /
                                        static_cast<double>(it.Asked));
  return out;
}

void printHead(const Deployment &what, const Scenario &scenario, size_t n) {
  std::printf("\n%s, %s (%zu requests)\n", what.Name.c_str(),
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
      policy.Name.c_str(), it.P50, it.P95, it.P99, it.SmallP95,
      it.Recomputed * 100, static_cast<double>(run.Fetched) / 1e9,
      static_cast<double>(run.Exported) / 1e9, run.LinkUse * 100, it.Missed,
      it.Refused * 100, it.InTime * 100, it.WorstInTime * 100, run.Moves);
  std::fflush(stdout);
}

void runAll(double hours, uint64_t seed, const std::string &only) {
  RunOptions options;
  options.Length = fromSeconds(hours * 3600);
  options.WarmUp = options.Length / 3;
  options.Seed = seed;
  for (const Deployment &what : {riga(), dakar()})
    for (const Scenario &scenario : Scenarios) {
      if (!only.empty() && scenario.Name != only)
        continue;
      StreamOptions shape;
      shape.Length = options.Length;
      shape.Bursts = scenario.Bursts;
      shape.Seed = seed;
      if (scenario.Misbehaviour)
        shape.MisbehavesFrom = TimePoint(options.WarmUp);
      auto stream = StreamGenerator(what, shape).run();
      printHead(what, scenario, stream.size());
      for (const Policy &policy : Policies) {
        RunResult result =
            PolicyRun(what, policy, scenario, stream, options).run();
        printRow(policy, summarise(what, stream, result), result);
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
