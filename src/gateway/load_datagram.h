/// Encoding of the datagram in which an entry sends its loads to other entries.
#pragma once

#include "direct/peer_messages.h"

#include <cstddef>
#include <string>

namespace daisytack::gateway {

/// Encodes the message in at most `maxBytes` bytes. If it has more servers than
/// fit, those with the fewest waiting tokens are left out. Delays of links are
/// always kept, as they are few. Of many leaving servers some are kept, others
/// in each turn.
std::string encodeLoads(direct::EntryLoads loads, size_t maxBytes,
                        size_t turn = 0);

} // namespace daisytack::gateway
