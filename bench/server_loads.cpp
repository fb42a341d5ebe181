/// Cost of reading the load of a server and of handling a load report of
/// another entry, for several fleet sizes. Choosing a server reads the load of
/// each server of the service.
#include "balancing/server_loads.h"
#include "base/clock.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

namespace daisytack::direct {
namespace {

struct Fleet {
  int Servers;
  int Entries;
};

/// Number of busy servers in the report of one entry, limited by the size of a
/// datagram.
constexpr int SharesPerReport = 60;
constexpr int Lookups = 200'000;

double microsecondsPerCall(TimePoint from, int n) {
  return static_cast<double>((monotonicNow() - from).count()) / n;
}

void measure(const Fleet &fleet) {
  balancing::ServerLoads loads{{}};
  TimePoint now = monotonicNow();
  std::vector<std::string> ids;
  for (int i = 0; i < fleet.Servers; ++i)
    ids.push_back("server-" + std::to_string(i));
  TimePoint start = monotonicNow();
  for (int entry = 0; entry < fleet.Entries; ++entry) {
    std::vector<balancing::LoadShare> shares;
    for (int i = 0; i < std::min(SharesPerReport, fleet.Servers); ++i) {
      auto at = static_cast<size_t>((entry * 31 + i) % fleet.Servers);
      shares.push_back({ServerRef{ids[at], 0}.key(), 1, 100, 200});
    }
    loads.onPeerReport("entry-" + std::to_string(entry), shares,
                       Duration(2'000'000), now);
  }
  double message = microsecondsPerCall(start, fleet.Entries);
  start = monotonicNow();
  uint64_t sum = 0;
  for (int i = 0; i < Lookups; ++i)
    sum += loads.view({ids[static_cast<size_t>(i % fleet.Servers)], 0}, now)
               .WaitingTokens;
  std::printf("%6d servers %5d entries: look %.3f us, message %.1f us (%llu)\n",
              fleet.Servers, fleet.Entries, microsecondsPerCall(start, Lookups),
              message, static_cast<unsigned long long>(sum));
}

} // namespace
} // namespace daisytack::direct

int main() {
  using daisytack::direct::Fleet;
  for (const Fleet &fleet :
       {Fleet{12, 5}, Fleet{47, 26}, Fleet{76, 68}, Fleet{300, 68},
        Fleet{1000, 300}, Fleet{10'000, 1300}})
    daisytack::direct::measure(fleet);
}
