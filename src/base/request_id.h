/// Request identifiers that tell which entry minted them, so that a query about
/// one request needs to ask no other.
#pragma once

#include "daisytack/types.h"

#include <string_view>

namespace daisytack {

/// 32 bits of the entry's name hash and 96 random bits.
RequestId makeRequestId(std::string_view entry, const RandomSource &random);

/// False: the entry of that name did not mint the identifier. True: it did, but
/// for one other entry name in 2^32.
bool isMintedBy(const RequestId &id, std::string_view entry);

} // namespace daisytack
