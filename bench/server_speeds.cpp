/// Cost of a look-up of a server's pace, and of the work on each tick, for
/// several numbers of servers. Choosing a server looks up each server of the
/// service.
#include "balancing/server_speeds.h"
#include "base/clock.h"

#include <cstdio>
#include <vector>

namespace daisytack::balancing {
namespace {

constexpr int Lookups = 1'000'000;
constexpr int Ticks = 20;
constexpr int AnswersPerServer = 10;

double microsecondsPerCall(TimePoint from, int n) {
  return static_cast<double>((monotonicNow() - from).count()) / n;
}

void measure(int servers) {
  ServerSpeeds speeds{{}};
  std::vector<SpeedTarget> targets;
  targets.reserve(static_cast<size_t>(servers));
  for (int i = 0; i < servers; ++i)
    targets.push_back(
        {direct::ServerRef("server", static_cast<uint64_t>(i)).key(),
         "engines"});
  TimePoint start = monotonicNow();
  speeds.setServers(targets);
  double set = microsecondsPerCall(start, 1);
  TimePoint now = monotonicNow();
  start = monotonicNow();
  for (int answer = 0; answer < AnswersPerServer; ++answer)
    for (int i = 0; i < servers; ++i)
      speeds.observe(targets[static_cast<size_t>(i)].ServerKey, 6000, 0, 55,
                     i % 3 == 0 ? Duration(134'000) : Duration(159'000), now);
  double observed = microsecondsPerCall(start, AnswersPerServer * servers);
  start = monotonicNow();
  for (int i = 0; i < Ticks; ++i)
    speeds.onTimer(now);
  double tick = microsecondsPerCall(start, Ticks);
  start = monotonicNow();
  uint64_t sum = 0;
  for (int i = 0; i < Lookups; ++i)
    sum +=
        speeds.pace(targets[static_cast<size_t>(i % servers)].ServerKey, now);
  std::printf("%6d servers: look-up %.3f us, answer %.3f us, tick %.1f us, "
              "new list %.0f us (%llu)\n",
              servers, microsecondsPerCall(start, Lookups), observed, tick, set,
              static_cast<unsigned long long>(sum));
}

} // namespace
} // namespace daisytack::balancing

int main() {
  for (int servers : {50, 850, 10'000})
    daisytack::balancing::measure(servers);
}
