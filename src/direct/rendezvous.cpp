#include "direct/rendezvous.h"

#include <cmath>

namespace daisytack::direct {

uint64_t stableHash(std::string_view text, uint64_t seed) {
  constexpr uint64_t Offset = 0xCBF29CE484222325ULL;
  constexpr uint64_t Prime = 0x100000001B3ULL;
  uint64_t out = Offset ^ seed;
  for (char c : text) {
    out ^= static_cast<unsigned char>(c);
    out *= Prime;
  }
  out ^= out >> 33U;
  out *= 0xFF51AFD7ED558CCDULL;
  out ^= out >> 33U;
  out *= 0xC4CEB9FE1A85EC53ULL;
  out ^= out >> 33U;
  return out;
}

double unitHash(std::string_view text, uint64_t seed) {
  constexpr double Range = 18446744073709551616.0; // 2^64
  return (static_cast<double>(stableHash(text, seed)) + 0.5) / Range;
}

double rendezvousScore(std::string_view key, std::string_view member,
                       double weight) {
  return -weight / std::log(unitHash(member, stableHash(key)));
}

} // namespace daisytack::direct
