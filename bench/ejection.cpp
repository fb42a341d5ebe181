/// Effect of the cap on ejections (RFD 1, "Self-removal hysteresis"): simulates
/// the same faults without ejection, with uncapped ejection and with capped
/// ejection.
///
/// The simulation is deterministic. A server answers a fixed number of requests
/// per second in time; further ones are slow. Of four candidates, the least
/// loaded one is tried first.
#include "decide/ejection.h"
#include "base/digest.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>
#include <vector>

namespace daisytack {

namespace {

constexpr uint32_t Servers = 12;
constexpr uint32_t Domains = 3;
constexpr uint32_t ServerCapacity = 10; // requests per second
// requests per second, four fifths of the capacity of all servers
constexpr uint32_t UsualLoad = 96;
constexpr int64_t RunSeconds = 600;
constexpr int64_t FaultStartSecond = 60;
constexpr int64_t FaultEndSecond = 180;
constexpr size_t CandidateCount = 4;
constexpr Duration PredictedTime{100'000};
constexpr Duration SlowTime{1'000'000};
constexpr uint64_t PoolHash = 7;

enum class Fault : uint8_t { OneDead, DomainDead, OneSlow, Surge, FaultyProbe };

struct Outcome {
  uint64_t Requests = 0;
  uint64_t OnTime = 0;
  uint64_t Attempts = 0;
  uint64_t Ejections = 0;
  uint64_t CapReached = 0;
};

bool isDead(Fault fault, uint32_t server) {
  return (fault == Fault::OneDead && server == 0) ||
         (fault == Fault::DomainDead && server % Domains == 0);
}

class Run {
public:
  Run(Fault fault, bool hasEjection, const EjectionSettings &settings)
      : InjectedFault(fault), HasEjection(hasEjection),
        ServerEjector(settings) {}

  Outcome run() {
    for (int64_t t = 0; t < RunSeconds; ++t) {
      Now = TimePoint(Duration((1'000 + t) * 1'000'000));
      IsFaultActive = t >= FaultStartSecond && t < FaultEndSecond;
      Load.fill(0);
      uint32_t load = UsualLoad;
      if (IsFaultActive && InjectedFault == Fault::Surge)
        load += load / 2;
      for (uint32_t i = 0; i < load; ++i)
        request();
    }
    return Result;
  }

private:
  void request() {
    ++Result.Requests;
    std::array<uint32_t, CandidateCount> order = candidates();
    for (uint32_t server : order) {
      ++Result.Attempts;
      if (IsFaultActive && isDead(InjectedFault, server)) {
        countVerdict(ServerEjector.onFailure(PoolHash, Servers, server, Now));
        continue;
      }
      uint32_t capacity =
          IsFaultActive && InjectedFault == Fault::OneSlow && server == 0
              ? ServerCapacity / 10
              : ServerCapacity;
      bool isOnTime = ++Load[server] <= capacity;
      Result.OnTime += isOnTime ? 1 : 0;
      // A faulty probe reports two of five good answers as slow.
      bool looksSlow =
          !isOnTime || (IsFaultActive && InjectedFault == Fault::FaultyProbe &&
                        nextRandom() % 5 < 2);
      countVerdict(
          ServerEjector.onAnswer(PoolHash, Servers, server, PredictedTime,
                                 looksSlow ? SlowTime : PredictedTime, Now));
      return;
    }
  }
  std::array<uint32_t, CandidateCount> candidates() {
    std::array<uint32_t, CandidateCount> out{};
    auto first = static_cast<uint32_t>(nextRandom() % Servers);
    for (uint32_t i = 0; i < CandidateCount; ++i)
      // Visits distinct servers: 5 and 12 are coprime.
      out[i] = (first + i * 5) % Servers;
    std::stable_sort(out.begin(), out.end(), [&](uint32_t a, uint32_t b) {
      return std::pair(isEjected(a), Load[a]) <
             std::pair(isEjected(b), Load[b]);
    });
    return out;
  }
  bool isEjected(uint32_t server) const {
    return HasEjection && ServerEjector.isEjected(server, Now);
  }
  void countVerdict(EjectionVerdict verdict) {
    Result.Ejections += verdict == EjectionVerdict::Ejected ? 1 : 0;
    Result.CapReached += verdict == EjectionVerdict::CapReached ? 1 : 0;
  }
  uint64_t nextRandom() { return mix64(++RandomCalls); }

  Fault InjectedFault;
  bool HasEjection;
  Ejector ServerEjector;
  TimePoint Now;
  bool IsFaultActive = false;
  std::array<uint32_t, Servers> Load{};
  uint64_t RandomCalls = 0;
  Outcome Result;
};

void printRow(const char *fault, const char *mode, const Outcome &out,
              bool hasEjection) {
  std::printf(
      "| %-13s | %-9s | %9.3f | %9.3f | %9lu | %9lu |\n", fault, mode,
      100.0 * static_cast<double>(out.OnTime) /
          static_cast<double>(out.Requests),
      static_cast<double>(out.Attempts) / static_cast<double>(out.Requests),
      hasEjection ? out.Ejections : 0UL, hasEjection ? out.CapReached : 0UL);
}

void measure(const char *name, Fault fault) {
  EjectionSettings capped;
  EjectionSettings uncapped;
  uncapped.Capped = false;
  printRow(name, "none", Run(fault, false, capped).run(), false);
  printRow(name, "uncapped", Run(fault, true, uncapped).run(), true);
  printRow(name, "capped", Run(fault, true, capped).run(), true);
}

} // namespace

} // namespace daisytack

int main() {
  using namespace daisytack;
  std::printf(
      "| fault         | ejection  | in time %% | attempts  | ejections "
      "| held back |\n|---|---|---|---|---|---|\n");
  measure("one dead", Fault::OneDead);
  measure("domain dead", Fault::DomainDead);
  measure("one slow", Fault::OneSlow);
  measure("surge", Fault::Surge);
  measure("faulty probe", Fault::FaultyProbe);
  return 0;
}
