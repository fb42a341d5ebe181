/// Cost of the agent core: time and allocations for each offer, chunk and end
/// of a run, and memory per streaming run, for several numbers of concurrent
/// runs. No sockets are used. Times depend on the machine.
#include "serve/agent_core.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

namespace {

uint64_t Allocations = 0;
size_t HeapBytes = 0;

} // namespace

void *operator new(size_t n) {
  ++Allocations;
  void *out = std::malloc(n);
  if (!out)
    throw std::bad_alloc();
  HeapBytes += malloc_usable_size(out);
  return out;
}
void operator delete(void *p) noexcept {
  HeapBytes -= malloc_usable_size(p);
  std::free(p);
}
void operator delete(void *p, size_t /*n*/) noexcept { operator delete(p); }

namespace daisytack::serve {

namespace {

constexpr uint32_t ChunksPerRun = 64;
constexpr size_t PromptBytes = 2048;
constexpr LinkHandle Link{1};
constexpr TimePoint StartTime{Duration{1'000'000'000}};

AgentSettings makeSettings(uint32_t runs) {
  AgentSettings out;
  out.Instance = "agent-1";
  out.Serves = "m";
  out.Queue.Slots = runs;
  return out;
}

EngineStatus makeEngineStatus() {
  EngineStatus out;
  out.Model = "m";
  out.Version = "v1";
  return out;
}

wire::Offer makeOffer(uint64_t n) {
  wire::Offer out;
  out.Id = {1, n + 1};
  out.AttemptNumber = 1;
  out.Organisation = "organisation-" + std::to_string(n % 10);
  out.Model = "m";
  out.Version = "v1";
  out.Class = "default";
  out.Priority = 5;
  out.RemainingMicros = 3'600'000'000;
  out.PromptTokens = PromptBytes / BytesPerToken;
  out.MaxTokens = ChunksPerRun;
  out.Body = std::string(PromptBytes, 'x');
  return out;
}

struct Cost {
  double Nanoseconds = 0;
  double Allocations = 0;
};

/// Applies inputs at a constant time and collects the runs that were started.
class Bench {
public:
  explicit Bench(uint32_t runs) : Core(makeSettings(runs), [] { return 7; }) {
    Core.apply(makeEngineStatus(), StartTime, Actions);
    Core.apply(LinkOpened{Link}, StartTime, Actions);
    Actions.clear();
  }

  Cost apply(std::vector<AgentInput> inputs) {
    using Clock = std::chrono::steady_clock;
    uint64_t before = Allocations;
    auto from = Clock::now();
    for (AgentInput &it : inputs) {
      Core.apply(std::move(it), StartTime, Actions);
      for (const AgentAction &action : Actions)
        if (const auto *start = std::get_if<StartRun>(&action))
          StartedRuns.push_back(start->Run);
      Actions.clear();
    }
    std::chrono::duration<double, std::nano> took = Clock::now() - from;
    auto n = static_cast<double>(inputs.size());
    return {took.count() / n, static_cast<double>(Allocations - before) / n};
  }

  AgentCore Core;
  AgentActions Actions;
  std::vector<RunToken> StartedRuns;
};

void measure(uint32_t runs) {
  Bench bench(runs);
  size_t before = HeapBytes;
  std::vector<AgentInput> offers;
  for (uint32_t i = 0; i < runs; ++i)
    offers.push_back(LinkMessage{Link, makeOffer(i)});
  Cost offer = bench.apply(std::move(offers));
  std::vector<AgentInput> chunks;
  for (uint32_t n = 0; n < ChunksPerRun; ++n)
    for (const RunToken &run : bench.StartedRuns)
      chunks.push_back(RunText{run, run, n, 1, "a word or two"});
  Cost chunk = bench.apply(std::move(chunks));
  auto memory = static_cast<double>(HeapBytes - before) / runs;
  std::vector<AgentInput> ends;
  for (const RunToken &run : bench.StartedRuns)
    ends.push_back(RunDone{run, run, "stop", 512, 0, ChunksPerRun, 0, {}});
  Cost end = bench.apply(std::move(ends));
  std::printf("| %6u | %8.0f | %6.1f | %8.0f | %6.2f | %8.0f | %6.1f | %8.0f "
              "|\n",
              runs, offer.Nanoseconds, offer.Allocations, chunk.Nanoseconds,
              chunk.Allocations, end.Nanoseconds, end.Allocations, memory);
}

} // namespace

} // namespace daisytack::serve

int main() {
  std::printf("| runs   | offer ns | allocs | chunk ns | allocs |   end ns | "
              "allocs | bytes a run |\n|---|---|---|---|---|---|---|---|\n");
  for (uint32_t runs : {1U, 32U, 64U, 1'000U, 10'000U})
    daisytack::serve::measure(runs);
  return 0;
}
