/// Encoding of the datagram in which an entry sends its loads to other entries.
#pragma once

#include "direct/peer_messages.h"

#include <cstddef>
#include <string>

namespace daisytack::gateway {

/// Encodes the message in at most `maxBytes` bytes. If it has more servers than
/// fit, those with the fewest waiting tokens are left out. Delays of links and
/// leaving servers are always kept, as they are few.
std::string encodeLoads(direct::EntryLoads loads, size_t maxBytes);

} // namespace daisytack::gateway
