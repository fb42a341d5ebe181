/// A simulation of agents with their servers and one key-value service. It
/// advances in fixed steps of time and records the extremes that tests check.
#pragma once

#include "fakes/fake_kv.h"
#include "swap/converge.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace daisytack::test {

/// What happens to one call to the key-value service.
enum class CallFate : uint8_t { Answered, AnswerLost, NeverSent };

struct FleetInit {
  size_t Servers = 12;
  uint32_t MinServers = 1;
  Duration LoadTime{1'100'000};
  Duration StatusLag{500'000};
  bool ChecksFencing = true;
  uint64_t Seed = 1;
};

class SwapFleet {
public:
  explicit SwapFleet(FleetInit init);

  void setDesired(std::string version) { Desired = std::move(version); }
  /// Chooses what happens to each call. If empty, all calls are answered.
  std::function<CallFate()> Fate;
  void pause(size_t agent, bool paused) { Agents[agent].Paused = paused; }
  void setActiveRuns(size_t agent, uint32_t runs) {
    Agents[agent].ActiveRuns = runs;
  }
  /// Advances the simulation by the given time.
  void run(Duration time);
  /// Advances until all servers run the desired version. Returns false if they
  /// don't within the limit.
  bool runUntilConverged(Duration limit);

  size_t agents() const { return Agents.size(); }
  TimePoint now() const { return Now; }
  const std::string &loaded(size_t agent) const { return Agents[agent].Loaded; }
  const swap::Converger &core(size_t agent) const {
    return *Agents[agent].Core;
  }
  uint32_t maxLoading() const { return MaxLoading; }
  uint32_t minInService() const { return MinInService; }
  uint64_t calls() const { return Calls; }
  uint64_t orders() const { return Orders; }
  uint64_t staleOrdersExecuted() const { return StaleOrdersExecuted; }
  /// Number of updates after which nextTimer() was not in the future. The owner
  /// of such a timer would loop without waiting.
  uint64_t overdueTimers() const { return OverdueTimers; }
  void setReachable(size_t agent, bool reachable) {
    Agents[agent].Reachable = reachable;
  }
  /// Sends an order that the Converger knows nothing of, like an earlier agent
  /// process that resumes after a pause.
  void sendForeignOrder(size_t agent, const std::string &version,
                        uint64_t fence) {
    order(Agents[agent], {{version, ""}, fence});
  }

private:
  struct Agent {
    std::unique_ptr<swap::Converger> Core;
    std::string Loaded = "v1";
    std::string LoadTarget;
    TimePoint LoadedAt;
    uint64_t Fence = 0;
    uint32_t ActiveRuns = 0;
    bool Paused = false;
    bool Reachable = true;
    /// The view that the agent sees; up to StatusLag old.
    swap::SwapView ReportedView;
    TimePoint ReportedAt;
    std::vector<swap::SlotResult> Answers;
  };

  void step();
  void refreshStatus(Agent &agent);
  void execute(Agent &agent, const swap::SwapActions &actions);
  void executeCall(Agent &agent, const swap::SlotCall &call);
  swap::SlotResult answer(const swap::SlotCall &call, FakeKv &kv) const;
  void order(Agent &agent, const swap::LoadOrder &order);
  void updateExtremes();

  FleetInit Init;
  FakeKv Kv;
  std::vector<Agent> Agents;
  std::string Desired = "v1";
  TimePoint Now{Duration(10'000'000)};
  uint32_t MaxLoading = 0;
  uint32_t MinInService = UINT32_MAX;
  uint64_t Calls = 0;
  uint64_t OverdueTimers = 0;
  uint64_t Orders = 0;
  uint64_t StaleOrdersExecuted = 0;
};

} // namespace daisytack::test
