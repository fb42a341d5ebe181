/// Settings that every daemon reads alike: what the instance is, the keys
/// between processes, and where the platform's services are.
#pragma once

#include "base/settings.h"
#include "net/frame_link.h"
#include "runtime/control_runtime.h"

#include <vector>

namespace daisytack::runtime {

/// Sections [instance], [peer_keys], [control] and [platform].
struct InstanceSettings {
  /// Self, keys, seeds and budgets. The process's incarnation is left to the
  /// caller.
  ControlInit Control;
  std::vector<Endpoint> KeyValue;
  Endpoint InstanceList;
};

/// Reads all of them; mistakes are collected in the settings.
InstanceSettings readInstanceSettings(Settings &settings, MemberRole role);

/// [peer_keys] holds lines "ID = SECRET"; [control] signing_key names the one
/// that signs. It comes first in the result.
net::PeerKeys readPeerKeys(Settings &settings);

} // namespace daisytack::runtime
