/// Keeps the times since which versions of weights have been desired in the
/// key-value service, for entries that start when no other one is left to tell
/// them.
#pragma once

#include "edge/kv.h"
#include "gateway/gateway_state.h"

#include <functional>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

namespace daisytack::gateway {

/// Corrects the ages of desired versions and logs those that were taken over.
void learnVersionAges(GatewayState &state,
                      const std::vector<direct::DesiredVersionAge> &ages,
                      std::string_view source, TimePoint now);

struct RolloutTimesSettings {
  /// Shortest time between two writes, also after a failure.
  Duration WriteInterval{1'000'000};
  bool operator==(const RolloutTimesSettings &) const = default;
};

struct RolloutTimesHooks {
  /// Whether this entry holds the order lease.
  std::function<bool(TimePoint now)> IsHolder;
  /// Writes the record as the holder of the order lease if the record is still
  /// at `replacedRevision` (0: it does not exist).
  std::function<void(edge::KvWrite, uint64_t replacedRevision,
                     std::function<void(const edge::KvHeader &)> done)>
      Write;
};

/// All members are called on one strand, which the hooks use too.
class RolloutTimes : public std::enable_shared_from_this<RolloutTimes> {
public:
  RolloutTimes(GatewayState &state, RolloutTimesSettings settings,
               RolloutTimesHooks hooks);

  /// Call when the catalog may have changed.
  void onCatalog(TimePoint now);
  /// Call several times a second.
  void onTimer(TimePoint now);

private:
  /// Takes ages from the record once the servers' clock is known.
  void learn(TimePoint now);
  void writeMissing(TimePoint now);

  GatewayState &State;
  RolloutTimesSettings Settings;
  RolloutTimesHooks Hooks;
  /// Versions whose times in the record of this revision were used or rejected.
  /// Each time is used once: later, one in the future could pass for the time
  /// of a new version.
  std::set<direct::ModelVersion> Judged;
  uint64_t JudgedRevision = 0;
  bool IsWritePending = false;
  TimePoint NextWriteAt;
};

} // namespace daisytack::gateway
