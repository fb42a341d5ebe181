/// Compresses text, optionally as the difference from an earlier version of it.
/// Format: one Zstandard frame (RFC 8878) with its content size and a checksum.
#pragma once

#include "daisytack/error.h"

#include <optional>
#include <string>
#include <string_view>

namespace daisytack {

/// Compresses the value. With a base, which may be empty, the result can only
/// be decompressed with the same base, and is short if both are alike. The same
/// input gives the same bytes in every process with the same library version.
std::string compressDelta(std::string_view value, std::string_view base);

/// Returns the value. Fails with BadValue if the bytes are not a whole frame of
/// a value of at most `maxBytes`, or the base is not the one that was used.
std::optional<std::string> decompressDelta(std::string_view bytes,
                                           std::string_view base,
                                           size_t maxBytes, Error &reason);

} // namespace daisytack
