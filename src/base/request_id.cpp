#include "base/request_id.h"

#include "base/digest.h"

namespace daisytack {

namespace {

constexpr uint64_t NameMask = 0xffffffff00000000ULL;

uint64_t nameBits(std::string_view entry) { return hashName(entry) & NameMask; }

} // namespace

RequestId makeRequestId(std::string_view entry, const RandomSource &random) {
  RequestId out{nameBits(entry) | (random() & ~NameMask), random()};
  // Zero is the invalid identifier.
  if (!out.isValid())
    out.Lo = 1;
  return out;
}

bool isMintedBy(const RequestId &id, std::string_view entry) {
  return (id.Hi & NameMask) == nameBits(entry);
}

} // namespace daisytack
