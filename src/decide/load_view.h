/// What one entry knows of the load of backend servers. It is learned from the
/// reports that come with every answer, and fades with age: no load is
/// gossiped.
#pragma once

#include "daisytack/types.h"
#include "wire/messages.h"

#include <atomic>
#include <cstdint>
#include <vector>

namespace daisytack {

struct LoadViewSettings {
  size_t Capacity = 1U << 14; ///< Servers remembered; rounded up to a power of
                              ///< two. The oldest of a set is forgotten.
  /// A reported wait counts half after a time as long as itself, within these.
  Duration ShortestHalfLife{100'000};
  Duration LongestHalfLife{10'000'000};
  Duration SlowStart{10'000'000}; ///< Ramp of a new or returning server.
  double SlowStartFloor = 0.1; ///< Share of its requests that a new server gets
                               ///< at the start of the ramp.
  uint32_t DefaultPrefillRate = 10'000; ///< Tokens a second, until reported.
  bool operator==(const LoadViewSettings &) const = default;
};

/// Load of one server as believed now.
struct LoadEstimate {
  bool Known = false;   ///< False: nothing was ever heard; Wait is zero then.
  bool Leaving = false; ///< The server said so itself.
  Duration Wait{0};     ///< Before a new request's prefill starts.
  uint32_t PrefillRate = 0; ///< Tokens a second.
  double Share = 1.0;       ///< Slow start: share of its requests to send.
  bool operator==(const LoadEstimate &) const = default;
};

/// Thread-safe without locks: any thread may observe and any may estimate.
/// Memory is fixed at construction. Fields of one server are separate atomics;
/// a reader may mix two reports, which costs accuracy for one decision.
class LoadView {
public:
  explicit LoadView(LoadViewSettings settings);

  /// Takes over a server's own report. The server is named by Server::NameHash.
  void observe(uint64_t server, const wire::LoadReport &report, TimePoint now);
  /// Adds the work of a request that was just sent to the server, so that a
  /// burst does not pile up before the next report.
  void charge(uint64_t server, Duration work, TimePoint now);
  /// Starts the ramp of a server that is new or was ejected until now.
  void markNew(uint64_t server, TimePoint now);

  LoadEstimate estimate(uint64_t server, TimePoint now) const;

private:
  struct Slot {
    std::atomic<uint64_t> Server{0};
    std::atomic<int64_t> At{0};
    std::atomic<int64_t> NewSince{NeverNew};
    std::atomic<int64_t> WaitMicros{0};
    std::atomic<uint32_t> PrefillRate{0};
    std::atomic<bool> Leaving{false};
  };
  static constexpr int64_t NeverNew = INT64_MIN;
  static constexpr size_t SetSize = 8;

  const Slot *find(uint64_t server) const;
  Slot &claim(uint64_t server, TimePoint now);
  Duration decayed(const Slot &slot, TimePoint now) const;

  LoadViewSettings Settings;
  size_t SetMask;
  std::vector<Slot> Slots;
};

} // namespace daisytack
