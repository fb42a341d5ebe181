/// What the cap on ejections is worth (RFD 1, "Self-removal hysteresis"): the
/// same faults with no ejection, with ejection, and with capped ejection.
/// Deterministic; a server does so many requests a second in time, and what is
/// beyond that is slow. Of four candidates the least loaded is asked first.
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
constexpr uint32_t Capacity = 10;  // requests a second
constexpr uint32_t UsualLoad = 96; // requests a second, four fifths
constexpr int64_t Seconds = 600;
constexpr int64_t FaultFrom = 60;
constexpr int64_t FaultTo = 180;
constexpr size_t Offers = 4;
constexpr Duration Predicted{100'000};
constexpr Duration Slow{1'000'000};
constexpr uint64_t PoolHash = 7;

enum class Fault : uint8_t { OneDead, DomainDead, OneSlow, Surge, FaultyProbe };

struct Outcome {
  uint64_t Requests = 0;
  uint64_t InTime = 0;
  uint64_t Attempts = 0;
  uint64_t Ejections = 0;
  uint64_t HeldBack = 0;
};

bool isDead(Fault fault, uint32_t server) {
  return (fault == Fault::OneDead && server == 0) ||
         (fault == Fault::DomainDead && server % Domains == 0);
}

class Run {
public:
  Run(Fault fault, bool ejects, const EjectionSettings &settings)
      : What(fault), Ejects(ejects), Health(settings) {}

  Outcome run() {
    for (int64_t t = 0; t < Seconds; ++t) {
      Now = TimePoint(Duration((1'000 + t) * 1'000'000));
      Faulty = t >= FaultFrom && t < FaultTo;
      Load.fill(0);
      uint32_t load = UsualLoad;
      if (Faulty && What == Fault::Surge)
        load += load / 2;
      for (uint32_t i = 0; i < load; ++i)
        request();
    }
    return Out;
  }

private:
  void request() {
    ++Out.Requests;
    std::array<uint32_t, Offers> order = candidates();
    for (uint32_t server : order) {
      ++Out.Attempts;
      if (Faulty && isDead(What, server)) {
        note(Health.onFailure(PoolHash, Servers, server, Now));
        continue;
      }
      uint32_t most = Faulty && What == Fault::OneSlow && server == 0
                          ? Capacity / 10
                          : Capacity;
      bool inTime = ++Load[server] <= most;
      Out.InTime += inTime ? 1 : 0;
      // A faulty probe takes two of five good answers for slow ones.
      bool looksSlow =
          !inTime || (Faulty && What == Fault::FaultyProbe && draw() % 5 < 2);
      note(Health.onAnswer(PoolHash, Servers, server, Predicted,
                           looksSlow ? Slow : Predicted, Now));
      return;
    }
  }
  std::array<uint32_t, Offers> candidates() {
    std::array<uint32_t, Offers> out{};
    auto first = static_cast<uint32_t>(draw() % Servers);
    for (uint32_t i = 0; i < Offers; ++i)
      out[i] = (first + i * 5) % Servers; // 5 and 12 have no common divisor.
    std::stable_sort(out.begin(), out.end(), [&](uint32_t a, uint32_t b) {
      return std::pair(isOut(a), Load[a]) < std::pair(isOut(b), Load[b]);
    });
    return out;
  }
  bool isOut(uint32_t server) const {
    return Ejects && Health.isEjected(server, Now);
  }
  void note(EjectionVerdict verdict) {
    Out.Ejections += verdict == EjectionVerdict::Ejected ? 1 : 0;
    Out.HeldBack += verdict == EjectionVerdict::CapReached ? 1 : 0;
  }
  uint64_t draw() { return mix64(++Draws); }

  Fault What;
  bool Ejects;
  Ejector Health;
  TimePoint Now;
  bool Faulty = false;
  std::array<uint32_t, Servers> Load{};
  uint64_t Draws = 0;
  Outcome Out;
};

void printRow(const char *fault, const char *way, const Outcome &out,
              bool ejects) {
  std::printf("| %-13s | %-9s | %9.3f | %9.3f | %9lu | %9lu |\n", fault, way,
              100.0 * static_cast<double>(out.InTime) /
                  static_cast<double>(out.Requests),
              static_cast<double>(out.Attempts) /
                  static_cast<double>(out.Requests),
              ejects ? out.Ejections : 0UL, ejects ? out.HeldBack : 0UL);
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
