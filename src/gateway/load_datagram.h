/// The datagram in which an entry tells the others of its loads.
#pragma once

#include "direct/peer_messages.h"

#include <cstddef>
#include <string>

namespace daisytack::gateway {

/// The message's bytes, at most so many: where it has more servers than fit,
/// those with the fewest tokens waiting are left out. Observed delays of links
/// and servers that leave are kept whole; they are few.
std::string encodeLoads(direct::EntryLoads loads, size_t maxBytes);

} // namespace daisytack::gateway
