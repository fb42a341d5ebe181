/// Keeps the servers whose speeds are learned up to date with the catalog, and
/// logs servers that become slow.
#pragma once

#include "gateway/gateway_state.h"

#include <memory>

namespace daisytack::gateway {

/// Not thread-safe.
class ServerSpeedFollower {
public:
  explicit ServerSpeedFollower(GatewayState &state) : State(state) {}

  /// Call on each tick.
  void onTimer(TimePoint now);

private:
  void followCatalog(TimePoint now);
  void log(const balancing::SpeedChange &change, TimePoint now);

  GatewayState &State;
  std::shared_ptr<const direct::Catalog> Followed;
  TimePoint NextFollowAt;
};

} // namespace daisytack::gateway
