/// Rendezvous hashing: every process ranks the same members for a key in the
/// same order, and a member that comes or goes moves only its own keys.
#pragma once

#include <cstdint>
#include <string_view>

namespace daisytack::direct {

/// 64-bit hash, the same in every process (FNV-1a with a final mix).
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

/// The hash as a number in (0, 1).
double unitHash(std::string_view text, uint64_t seed = 0);

/// Orders members of equal weight for a key as their scores do, without a
/// logarithm. The key is given as stableHash(key), taken once for all members.
inline uint64_t rendezvousRank(uint64_t keyHash, std::string_view member) {
  return stableHash(member, keyHash);
}

/// Score of the member for the key; the highest wins. A member's share of keys
/// is proportional to its weight.
double rendezvousScore(std::string_view key, std::string_view member,
                       double weight = 1);

} // namespace daisytack::direct
