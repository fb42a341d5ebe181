/// Cost of the decisions about a shortage: an organisation's factor, the record
/// of a decision, the look-up of a returning request, and the search for silent
/// servers, for several sizes.
#include "admission/organisation_shares.h"
#include "admission/return_schedule.h"
#include "balancing/server_loads.h"
#include "base/clock.h"

#include <cstdio>
#include <string>
#include <vector>

namespace daisytack {
namespace {

using admission::AdmissionOutcome;

constexpr int Calls = 200'000;

double microsecondsPerCall(TimePoint from, int n) {
  return static_cast<double>((monotonicNow() - from).count()) / n;
}

void measureShares(int organisations, bool isShort) {
  admission::OrganisationShares shares({});
  std::vector<std::string> names;
  for (int i = 0; i < organisations; ++i)
    names.push_back("organisation-" + std::to_string(i));
  TimePoint now = monotonicNow();
  for (const std::string &it : names)
    shares.onDecision("engines", it, 1000, AdmissionOutcome::Admitted, now);
  double sum = 0;
  TimePoint start = monotonicNow();
  for (int i = 0; i < Calls; ++i) {
    // A request each 10 us: the factors are computed anew every 10,000.
    now += Duration(10);
    if (isShort && i % 1000 == 0)
      shares.onDecision("engines", names[0], 1000, AdmissionOutcome::Refused,
                        now);
    sum += shares.factor("engines",
                         names[static_cast<size_t>(i % organisations)], now);
  }
  double factor = microsecondsPerCall(start, Calls);
  start = monotonicNow();
  for (int i = 0; i < Calls; ++i)
    shares.onDecision("engines", names[static_cast<size_t>(i % organisations)],
                      1000, AdmissionOutcome::Admitted, now);
  std::printf(
      "%6d organisations, %s: factor %.3f us, decision %.3f us (%.0f)\n",
      organisations, isShort ? "in shortage" : "no shortage", factor,
      microsecondsPerCall(start, Calls), sum);
}

void measureReturns(uint32_t tickets) {
  admission::ReturnSchedule schedule({});
  TimePoint now = monotonicNow();
  for (uint32_t i = 0; i < tickets; ++i)
    schedule.onRefused("engines", i, 1000, Duration(300'000), now);
  uint64_t sum = 0;
  TimePoint start = monotonicNow();
  for (uint32_t i = 0; i < Calls; ++i) {
    now += Duration(10);
    sum += schedule.isEmpty() ? 0 : schedule.dueTokens("engines", now);
    if (!schedule.isEmpty())
      sum += schedule.takeReturn("engines", tickets + i, now) ? 1 : 0;
  }
  std::printf("%6u tickets: look-up %.3f us (%llu)\n", tickets,
              microsecondsPerCall(start, Calls),
              static_cast<unsigned long long>(sum));
}

void measureSilence(int servers) {
  balancing::ServerLoads loads{{}};
  TimePoint now = monotonicNow();
  for (int i = 0; i < servers; ++i)
    loads.onSent("server-" + std::to_string(i),
                 {1000, false, Duration(300'000), now}, now);
  constexpr int Searches = 200;
  size_t sum = 0;
  TimePoint start = monotonicNow();
  for (int i = 0; i < Searches; ++i)
    sum += loads.busyServers(now).Silent.size();
  std::printf("%6d busy servers: search for silent ones %.1f us (%zu)\n",
              servers, microsecondsPerCall(start, Searches), sum);
}

} // namespace
} // namespace daisytack

int main() {
  for (int organisations : {24, 7900})
    for (bool isShort : {false, true})
      daisytack::measureShares(organisations, isShort);
  for (uint32_t tickets : {0U, 100U, 4096U})
    daisytack::measureReturns(tickets);
  for (int servers : {50, 850, 10'000})
    daisytack::measureSilence(servers);
}
