/// Request identifiers that contain a hash of the name of the entry that
/// created them, so that a query about one request goes to that entry only.
#pragma once

#include "daisytack/types.h"

#include <string_view>

namespace daisytack {

/// 32 bits of the hash of the entry's name and 96 random bits.
RequestId makeRequestId(std::string_view entry, const RandomSource &random);

/// Whether the entry of that name created the identifier. Returns true by
/// mistake for 1 in 2^32 other entry names, and never returns false by mistake.
bool isMintedBy(const RequestId &id, std::string_view entry);

} // namespace daisytack
