/// What organisations recently asked of one server, accepted or not.
#pragma once

#include "daisytack/types.h"

#include <cstdint>
#include <map>

namespace daisytack {

/// Demand decays exponentially with a time constant of ten seconds; silent
/// organisations are forgotten. Not thread-safe.
class DemandTracker {
public:
  /// An organisation of the weight asked for so much of the server's time.
  void note(uint64_t organisation, uint32_t weight, Duration work,
            TimePoint now);

  /// Demand of one organisation, or of all others together, as a share of the
  /// server; above 1 when it is more than the server can do.
  double of(uint64_t organisation, TimePoint now) const;
  double ofOthers(uint64_t organisation, TimePoint now) const;
  /// Share that is due to the organisation among those that asked recently.
  double fairShare(uint64_t organisation, uint32_t weight) const;

private:
  struct Entry {
    double Micros = 0;
    TimePoint At;
    uint32_t Weight = 0;

    double decayed(TimePoint now) const;
    void add(Duration work, TimePoint now);
  };

  void forgetSilent(TimePoint now);

  std::map<uint64_t, Entry> Organisations;
  Entry All;
  double ActiveWeight = 0; ///< Of all in Organisations.
  TimePoint ForgotAt;
};

} // namespace daisytack
