/// Cryptographic digests and random numbers from OpenSSL, and non-cryptographic
/// hashes.
#pragma once

#include "daisytack/types.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace daisytack {

using Digest256 = std::array<uint8_t, 32>;

Digest256 sha256(std::string_view data);
Digest256 hmacSha256(std::string_view key, std::string_view data);
/// Lower-case hexadecimal.
std::string hexDigest(const Digest256 &digest);
/// True when both are equal. The time taken depends only on the lengths.
bool equalConstantTime(std::string_view a, std::string_view b);
/// 64 random bits of OpenSSL's generator. Ends the process if it fails.
uint64_t secureRandom();
Id128 randomId(const RandomSource &random);
/// Fast non-cryptographic 64-bit mix, for rendezvous hashing.
constexpr uint64_t mix64(uint64_t x) {
  x ^= x >> 33U;
  x *= 0xff51afd7ed558ccdULL;
  x ^= x >> 33U;
  x *= 0xc4ceb9fe1a85ec53ULL;
  x ^= x >> 33U;
  return x;
}
/// 64-bit hash of a name, stable across processes and versions.
constexpr uint64_t hashName(std::string_view name) {
  uint64_t h = 0xcbf29ce484222325ULL;
  for (char c : name)
    h = (h ^ static_cast<uint8_t>(c)) * 0x100000001b3ULL;
  return mix64(h);
}

} // namespace daisytack
