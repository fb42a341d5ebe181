/// Who may claim the right to give orders, and for how long a holder of it
/// acts. Without a socket, clock or thread.
///
/// Backend servers that check no fencing token take orders from whoever sends
/// them, so the orders of two holders must lie a term apart. That wait is part
/// of the lease: the holder's record outlives its last order by it, and whoever
/// finds the record gone acts at once. A wait that each new holder made for
/// itself would begin anew whenever one is killed: restarted every two seconds,
/// nobody would ever act, and new weights stay out of force.
///
/// The next process of the holder's own instance does not wait: it takes over
/// the record, under a higher token, as no other process can live there.
#pragma once

#include "direct/catalog.h"
#include "swap/lease.h"

#include <optional>

namespace daisytack::direct {

struct OrderLeaseSettings {
  /// Orders of two holders lie so far apart; where servers check tokens, no
  /// holder acts longer on one renewal.
  Duration Term{3'000'000};
  bool ServersCheckFence = true;
  /// An order takes so long at most from the check until it reaches a server.
  Duration PauseMargin{1'000'000};
  bool operator==(const OrderLeaseSettings &) const = default;
};

/// The lease under which the holder's record is written, and within which the
/// holder may act.
swap::LeaseInit orderLease(const OrderLeaseSettings &settings);

/// The revision of the record that this entry may replace by its own: 0 where
/// there is none. Nothing while another instance may hold the right.
std::optional<uint64_t> claimableRevision(const Catalog &catalog,
                                          const OrderLeaseHolder &own);

/// Whether a claim is safe of a holder whose record and lease are lost, as the
/// service came back from an older copy: it acts until its lease would have
/// ended.
bool isClaimSafe(const Catalog &catalog, const OrderLeaseSettings &settings,
                 TimePoint now);

/// The service has taken a record that is newer than the holder's own.
bool isHolderReplaced(const Catalog &catalog, uint64_t token);

} // namespace daisytack::direct
