/// Settings that all daemons have in common: the instance, the keys between
/// processes, and the addresses of the platform's services.
#pragma once

#include "base/settings.h"
#include "net/frame_link.h"
#include "runtime/control_runtime.h"

#include <vector>

namespace daisytack::runtime {

/// Sections [instance], [peer_keys], [control] and [platform].
struct InstanceSettings {
  /// Identity, keys, seeds and rate limits. The caller sets Process, the
  /// incarnation.
  ControlInit Control;
  std::vector<Endpoint> KeyValue;
  Endpoint InstanceList;
};

/// Reads all of these settings. Errors are collected in the Settings object.
InstanceSettings readInstanceSettings(Settings &settings, MemberRole role);

/// Reads the keys of section [peer_keys], lines "ID = SECRET". The key that
/// [control] signing_key names comes first in the result and signs.
net::PeerKeys readPeerKeys(Settings &settings);

} // namespace daisytack::runtime
