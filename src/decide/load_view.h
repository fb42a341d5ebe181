/// One entry's estimates of the load of backend servers. They come from the
/// load reports that servers attach to their answers, and decay with age. Load
/// is not gossiped.
#pragma once

#include "daisytack/types.h"
#include "wire/messages.h"

#include <atomic>
#include <cstdint>
#include <vector>

namespace daisytack {

struct LoadViewSettings {
  /// Number of servers to keep; rounded up to a power of two. The table is
  /// set-associative: a new server replaces the least recently updated one of a
  /// full set.
  size_t Capacity = 1U << 14;
  /// The half-life of a reported wait is the wait itself, clamped to
  /// [ShortestHalfLife, LongestHalfLife].
  Duration ShortestHalfLife{100'000};
  Duration LongestHalfLife{10'000'000};
  /// Duration of the slow start of a new or returning server.
  Duration SlowStart{10'000'000};
  /// Share of its regular requests that a server gets at the beginning of its
  /// slow start; the share rises linearly to 1.
  double SlowStartFloor = 0.1;
  /// Tokens per second, assumed for a server that has not reported its rate.
  uint32_t DefaultPrefillRate = 10'000;
  bool operator==(const LoadViewSettings &) const = default;
};

/// Estimated current load of one server.
struct LoadEstimate {
  bool HasData = false; ///< False if the view has no data on the server; Wait
                        ///< is then zero and PrefillRate the default.
  bool Leaving = false; ///< The server has reported that it is shutting down.
  Duration Wait{0}; ///< Expected time before a new request's prefill starts.
  uint32_t PrefillRate = 0; ///< Tokens per second.
  /// Share of its regular requests to send to the server; below 1 during slow
  /// start.
  double TrafficShare = 1.0;
  bool operator==(const LoadEstimate &) const = default;
};

/// Table of load estimates by server. Thread-safe and lock-free; its memory is
/// allocated at construction. The fields of one server are separate atomics, so
/// a reader may see a mix of two reports, which makes one decision less
/// accurate.
class LoadView {
public:
  explicit LoadView(LoadViewSettings settings);

  /// Stores a server's report. Servers are identified by Server::NameHash.
  void observe(uint64_t server, const wire::LoadReport &report, TimePoint now);
  /// Adds the work of a request that was just sent to the server to its wait,
  /// so that a burst of requests does not all go to one server before it
  /// reports again.
  void addWork(uint64_t server, Duration work, TimePoint now);
  /// Starts the slow start of a server that is new or has just returned from an
  /// ejection.
  void startSlowStart(uint64_t server, TimePoint now);

  LoadEstimate estimate(uint64_t server, TimePoint now) const;

private:
  struct Slot {
    std::atomic<uint64_t> Server{0};   ///< NameHash; 0 for a free slot.
    std::atomic<int64_t> UpdatedAt{0}; ///< Last update, in microseconds.
    /// Start of the slow start, in microseconds.
    std::atomic<int64_t> SlowStartSince{NoSlowStart};
    std::atomic<int64_t> WaitMicros{0};   ///< As of UpdatedAt.
    std::atomic<uint32_t> PrefillRate{0}; ///< Tokens per second; 0 if unknown.
    std::atomic<bool> Leaving{false};
  };
  static constexpr int64_t NoSlowStart = INT64_MIN;
  static constexpr size_t SetSize = 8;

  /// The server's slot; nullptr if there is none.
  const Slot *find(uint64_t server) const;
  /// The server's slot. If there is none, a free slot or the least recently
  /// updated one of its set is reset and assigned to the server.
  Slot &findOrAssign(uint64_t server, TimePoint now);
  /// The slot's wait, decayed to now.
  Duration decayedWait(const Slot &slot, TimePoint now) const;

  LoadViewSettings Settings;
  size_t SetMask; ///< Number of sets, a power of two, less one.
  std::vector<Slot> Slots;
};

} // namespace daisytack
