/// The order lease: a lease under which one entry, the holder, may send
/// orders to backend servers. Decides who may claim the lease and how long a
/// holder may act. Uses no sockets, clocks or threads.
///
/// Backend servers that don't check fencing tokens accept orders from any
/// sender, so orders of two holders must be at least one term apart. This wait
/// is part of the lease: the holder's record outlives its last order by one
/// term, and an entry that finds no record may act at once. If each new holder
/// waited by itself instead, the wait would begin again whenever a holder is
/// killed: with a kill every two seconds no holder would ever act, and new
/// weights would never be loaded.
///
/// A restarted process on the holder's own instance doesn't wait. It takes over
/// the record under a higher token, because no other process can be running
/// there.
#pragma once

#include "direct/catalog.h"
#include "swap/lease.h"

#include <optional>

namespace daisytack::direct {

/// Timing of the order lease.
struct OrderLeaseSettings {
  /// Minimum time between orders of two holders. If servers check fencing
  /// tokens: the time to live of the lease, which limits how long a holder acts
  /// after a renewal.
  Duration Term{3'000'000};
  /// Whether backend servers reject orders with an outdated fencing token.
  bool ServersCheckFence = true;
  /// Maximum time from the holder's check of its lease until an order reaches a
  /// server.
  Duration PauseMargin{1'000'000};
  bool operator==(const OrderLeaseSettings &) const = default;
};

/// Parameters of the lease under which the holder's record is written, and
/// within which the holder may act.
swap::LeaseInit orderLease(const OrderLeaseSettings &settings);

/// The revision of the holder's record that this entry may replace by its own;
/// 0 if there is no record. Empty while another instance may hold the lease.
std::optional<uint64_t> claimableRevision(const Catalog &catalog,
                                          const OrderLeaseHolder &own);

/// Whether the lease can be claimed without two holders acting at once. After
/// the key-value service is restored from an older copy, an earlier holder may
/// have lost its record but still acts until its lease would have expired.
bool isClaimSafe(const Catalog &catalog, const OrderLeaseSettings &settings,
                 TimePoint now);

/// Whether the service has a newer holder record than the one with this token,
/// which is the revision of the holder's own record.
bool isHolderReplaced(const Catalog &catalog, uint64_t token);

} // namespace daisytack::direct
