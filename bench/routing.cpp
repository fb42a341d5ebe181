/// Compares algorithms that map prompts to backend servers: lookup time,
/// evenness, number of prompts that move when a server is removed, and time and
/// memory to build the table. Inputs are deterministic; times depend on the
/// machine.
#include "base/digest.h"
#include "decide/hash_ring.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <vector>

namespace daisytack {

namespace {

using Clock = std::chrono::steady_clock;
using Hashes = std::vector<uint64_t>;

constexpr uint64_t Lookups = 20'000;
constexpr uint64_t KeysPerServer = 200;

/// A mapping of keys to server indexes.
struct Placement {
  std::function<uint32_t(uint64_t)> Lookup;
  size_t Bytes = 0;
};
using Builder = std::function<Placement(const Hashes &)>;

double microsecondsSince(Clock::time_point from) {
  return std::chrono::duration<double, std::micro>(Clock::now() - from).count();
}

/// Rendezvous hashing over all servers.
Placement flat(const Hashes &servers) {
  auto all = std::make_shared<const Hashes>(servers);
  return {[all](uint64_t key) {
            uint32_t best = 0;
            uint64_t bestWeight = 0;
            for (uint32_t i = 0; i < all->size(); ++i) {
              uint64_t weight = mix64(key ^ (*all)[i]);
              if (weight > bestWeight) {
                best = i;
                bestWeight = weight;
              }
            }
            return best;
          },
          servers.size() * sizeof(uint64_t)};
}

/// Weighted rendezvous hashing over fixed groups, then rendezvous hashing
/// within the group.
Placement grouped(const Hashes &servers) {
  constexpr size_t Groups = 64;
  struct Group {
    std::vector<uint32_t> Index;
    Hashes Servers;
  };
  auto groups = std::make_shared<std::vector<Group>>(Groups);
  for (uint32_t i = 0; i < servers.size(); ++i) {
    Group &group = (*groups)[servers[i] % Groups];
    group.Index.push_back(i);
    group.Servers.push_back(servers[i]);
  }
  return {[groups](uint64_t key) {
            const Group *best = nullptr;
            double bestTime = 0;
            for (size_t i = 0; i < groups->size(); ++i) {
              const Group &group = (*groups)[i];
              if (group.Index.empty())
                continue;
              double draw =
                  (static_cast<double>(mix64(key + i) >> 11U) + 1) * 0x1p-53;
              double time =
                  -std::log(draw) / static_cast<double>(group.Index.size());
              if (best == nullptr || time < bestTime) {
                best = &group;
                bestTime = time;
              }
            }
            uint32_t server = 0;
            uint64_t bestWeight = 0;
            for (size_t i = 0; i < best->Servers.size(); ++i) {
              uint64_t weight = mix64(key ^ best->Servers[i]);
              if (weight > bestWeight) {
                server = best->Index[i];
                bestWeight = weight;
              }
            }
            return server;
          },
          servers.size() * (sizeof(uint64_t) + sizeof(uint32_t))};
}

/// Maglev hashing: servers take turns to claim slots of a table, each in its
/// own pseudo-random order. The table has 100 to 200 slots per server.
Placement maglev(const Hashes &servers) {
  size_t size = std::bit_ceil(servers.size()) * 100 | 1U;
  auto table = std::make_shared<std::vector<uint32_t>>(size, UINT32_MAX);
  std::vector<uint64_t> next(servers.size());
  size_t filled = 0;
  for (size_t i = 0; filled < size; i = (i + 1) % servers.size()) {
    for (;;) {
      size_t at = mix64(servers[i] + next[i]++) % size;
      if ((*table)[at] != UINT32_MAX)
        continue;
      (*table)[at] = static_cast<uint32_t>(i);
      ++filled;
      break;
    }
  }
  return {[table](uint64_t key) { return (*table)[key % table->size()]; },
          size * sizeof(uint32_t)};
}

Placement ring(const Hashes &servers) {
  auto built = std::make_shared<const HashRing>(servers);
  return {[built](uint64_t key) { return built->walk(key).member(); },
          built->memory()};
}

Hashes makeServers(uint32_t n) {
  Hashes out;
  for (uint32_t i = 0; i < n; ++i)
    out.push_back(mix64(i + 1));
  return out;
}

double lookupNanoseconds(const Placement &placement) {
  double best = 1e18;
  uint64_t sink = 0;
  for (int round = 0; round < 5; ++round) {
    auto from = Clock::now();
    for (uint64_t i = 0; i < Lookups; ++i)
      sink += placement.Lookup(mix64(i));
    best = std::min(best, microsecondsSince(from) * 1e3 / Lookups);
  }
  return sink == 0 ? 0 : best;
}

/// Standard deviation and maximum of the servers' loads are divided by the mean
/// load; they include the random variation of the keys. The number of moved
/// prompts is divided by the mean load.
void printRow(const char *name, const Builder &build, uint32_t n) {
  Hashes servers = makeServers(n);
  auto from = Clock::now();
  Placement before = build(servers);
  double buildMicros = microsecondsSince(from);
  uint32_t removed = n / 2;
  Hashes remaining = servers;
  remaining.erase(remaining.begin() + removed);
  Placement after = build(remaining);

  uint64_t keys = std::min<uint64_t>(n * KeysPerServer, 200'000);
  std::vector<double> load(n);
  uint64_t moved = 0;
  for (uint64_t i = 0; i < keys; ++i) {
    uint32_t server = before.Lookup(mix64(i));
    load[server] += 1;
    moved += servers[server] != remaining[after.Lookup(mix64(i))] ? 1 : 0;
  }
  double mean = static_cast<double>(keys) / n;
  double square = 0;
  for (double it : load)
    square += (it - mean) * (it - mean);
  std::printf("| %-22s | %6u | %9.0f | %9.2f | %9.2f | %7.2f | %10.0f | %9zu "
              "|\n",
              name, n, lookupNanoseconds(before), std::sqrt(square / n) / mean,
              *std::max_element(load.begin(), load.end()) / mean,
              static_cast<double>(moved) / static_cast<double>(keys) * n,
              buildMicros, before.Bytes / 1024);
}

} // namespace

} // namespace daisytack

int main() {
  using namespace daisytack;
  std::printf("| way                    | servers| lookup ns | deviation "
              "| largest   | moved*n | build us   | KB        |\n"
              "|---|---|---|---|---|---|---|---|\n");
  for (uint32_t n : {12U, 100U, 1'250U, 10'000U}) {
    printRow("flat rendezvous", flat, n);
    printRow("grouped rendezvous", grouped, n);
    if (n > 1)
      printRow("Maglev table", maglev, n);
    printRow("ring", ring, n);
  }
  return 0;
}
