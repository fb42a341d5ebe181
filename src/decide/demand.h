/// The recent demand of each organisation on one server, including refused
/// requests.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <map>

namespace daisytack {

/// Tracks demand as an average that decays exponentially with a time constant
/// of ten seconds. Organisations without requests for that time are dropped.
/// Not thread-safe.
class DemandTracker {
public:
  /// Records a request of the organisation that needs the given amount of the
  /// server's time. The weight is the organisation's configured one.
  void record(uint64_t organisation, uint32_t weight, Duration work,
              TimePoint now);

  /// Demand of the organisation as a share of the server's capacity: above 1
  /// when it demands more than the whole server, 0 when it is not tracked.
  double demandOf(uint64_t organisation, TimePoint now) const;
  /// Demand of all other organisations together, in the same unit.
  double demandOfOthers(uint64_t organisation, TimePoint now) const;
  /// Share of the server, from 0 to 1, that the organisation is entitled to by
  /// its weight among the organisations with recent demand.
  double fairShare(uint64_t organisation, uint32_t weight) const;

private:
  struct DecayedDemand {
    double WorkMicros = 0; ///< Decayed work as of UpdatedAt, in microseconds.
    TimePoint UpdatedAt;
    uint32_t Weight = 0; ///< Unused in Total.

    double decayed(TimePoint now) const;
    void add(Duration work, TimePoint now);
  };

  /// Drops the organisations without recent requests.
  void evictIdle(TimePoint now);

  std::map<uint64_t, DecayedDemand> Organisations; ///< By hash of the name.
  DecayedDemand Total;     ///< Demand of all organisations together.
  double ActiveWeight = 0; ///< Sum of the weights in Organisations.
  TimePoint LastEvictionAt;
};

} // namespace daisytack
