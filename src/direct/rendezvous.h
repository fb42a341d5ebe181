/// Rendezvous hashing: every process ranks the members for a key in the same
/// order, and adding or removing a member moves only that member's keys.
#pragma once

#include <cstdint>
#include <string_view>

namespace daisytack::direct {

/// 64-bit hash, the same in every process (FNV-1a with a final mix).
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

/// Maps the hash to the open interval (0, 1).
double unitHash(std::string_view text, uint64_t seed = 0);

/// Rank of a member for a key. Orders members of equal weight as
/// rendezvousScore() does, without computing a logarithm. `keyHash` is
/// stableHash(key), computed once for all members.
inline uint64_t rendezvousRank(uint64_t keyHash, std::string_view member) {
  return stableHash(member, keyHash);
}

/// Score of the member for the key; the highest score wins. A member's share of
/// keys is proportional to its weight.
double rendezvousScore(std::string_view key, std::string_view member,
                       double weight = 1);

} // namespace daisytack::direct
