/// Keeps the times since which versions of weights have been desired in the
/// key-value service, for entries that start when no other one is left to tell
/// them.
#pragma once

#include "gateway/holder_record.h"

#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace daisytack::gateway {

/// Corrects the ages of desired versions and logs those that were taken over.
void learnVersionAges(GatewayState &state,
                      const std::vector<direct::DesiredVersionAge> &ages,
                      std::string_view source, TimePoint now);

/// All members are called on one strand, which the hooks use too.
class RolloutTimes {
public:
  RolloutTimes(GatewayState &state, std::shared_ptr<HolderRecord> record);

  /// Call when the catalog may have changed.
  void onCatalog(TimePoint now);
  /// Call several times a second.
  void onTimer(TimePoint now);

private:
  /// Takes ages from the record once the servers' clock is known.
  void learn(TimePoint now);
  void writeMissing(TimePoint now);

  GatewayState &State;
  std::shared_ptr<HolderRecord> Record;
  /// Versions whose times in the record of this revision were used or rejected.
  /// Each time is used once: later, one in the future could pass for the time
  /// of a new version.
  std::set<direct::ModelVersion> Judged;
  uint64_t JudgedRevision = 0;
};

} // namespace daisytack::gateway
