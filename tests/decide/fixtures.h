/// Snapshots and requests for the tests of the decision code.
#pragma once

#include "base/digest.h"
#include "control/snapshot.h"
#include "decide/run_queue.h"

#include <memory>
#include <string>
#include <vector>

namespace daisytack {

/// Time at which the tests start.
constexpr TimePoint Epoch{Duration{1'000'000'000}};

/// The time point that is the given number of milliseconds after Epoch.
inline TimePoint at(int64_t millis) { return Epoch + Duration(millis * 1000); }

inline Duration millis(int64_t n) { return Duration(n * 1000); }

/// A snapshot with a pool "m" whose servers are spread evenly over the regions
/// "r0", "r1"... and over the failure domains "r0d0", "r0d1"... of each region.
inline std::shared_ptr<Snapshot>
makeSnapshot(size_t servers, size_t regions = 1, size_t domains = 3) {
  auto out = std::make_shared<Snapshot>();
  Pool pool;
  pool.Name = "m";
  for (size_t i = 0; i < servers; ++i) {
    Server server;
    server.Name = "server" + std::to_string(100'000 + i);
    server.Serves = "m";
    server.Region = "r" + std::to_string(i % regions);
    server.FailureDomain =
        server.Region + "d" + std::to_string(i / regions % domains);
    server.NameHash = hashName(server.Name);
    out->Servers.push_back(server);
    pool.Servers.push_back({static_cast<uint32_t>(i)});
  }
  out->Pools.push_back(pool);
  return out;
}

/// A copy of the snapshot with one server removed from the pool, as by a drain.
/// The handles of the other servers stay the same.
inline std::shared_ptr<Snapshot> without(const Snapshot &source,
                                         uint32_t server) {
  auto out = std::make_shared<Snapshot>(source);
  std::erase(out->Pools[0].Servers, ServerHandle{server});
  return out;
}

/// The first attempt at a request whose context is ready at Epoch.
inline RunRequest makeRun(uint64_t id, uint64_t organisation, Duration prefill,
                          Duration decode, TimePoint deadline,
                          uint8_t priority = 5) {
  RunRequest out;
  out.Id = {1, id};
  out.AttemptNumber = 1;
  out.Organisation = organisation;
  out.Priority = priority;
  out.Deadline = deadline;
  out.ContextReady = Epoch;
  out.Prefill = prefill;
  out.Decode = decode;
  return out;
}

} // namespace daisytack
