#include "direct/order_lease.h"

#include <algorithm>

namespace daisytack::direct {

swap::LeaseInit orderLease(const OrderLeaseSettings &settings) {
  swap::LeaseInit out;
  out.TimeToLive = settings.Term;
  out.PauseMargin = settings.PauseMargin;
  if (settings.ServersCheckFence)
    return out;
  // The holder may act as long as under a lease of one term, and the record
  // stays for one more term after its last order.
  Duration acting = std::max(settings.Term - settings.PauseMargin, Duration(0));
  out.TimeToLive = acting + settings.Term;
  out.PauseMargin = settings.Term;
  return out;
}

std::optional<uint64_t> claimableRevision(const Catalog &catalog,
                                          const OrderLeaseHolder &own) {
  if (catalog.Holder.empty())
    return 0;
  if (OrderLeaseHolder{catalog.Holder, catalog.HolderPeer} != own)
    return std::nullopt;
  return catalog.HolderRevision;
}

bool isClaimSafe(const Catalog &catalog, const OrderLeaseSettings &settings,
                 TimePoint now) {
  return !catalog.RestoredAt ||
         now >= *catalog.RestoredAt + orderLease(settings).TimeToLive;
}

bool isHolderReplaced(const Catalog &catalog, uint64_t token) {
  return !catalog.Holder.empty() && catalog.HolderRevision > token;
}

} // namespace daisytack::direct
