#include "base/digest.h"

#include <openssl/crypto.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <iostream>

namespace daisytack {

namespace {

/// Ends the process because no caller can go on: identifiers would no longer be
/// unique, and nonces would repeat. Doesn't throw, since a handler further up
/// could hide the failure.
[[noreturn]] void endWithoutRandomNumbers() {
  std::array<char, 256> reason{};
  ERR_error_string_n(ERR_get_error(), reason.data(), reason.size());
  std::cerr << "no random numbers: " << reason.data() << std::endl;
  std::abort();
}

} // namespace

Digest256 sha256(std::string_view data) {
  Digest256 out{};
  unsigned n = 0;
  EVP_Digest(data.data(), data.size(), out.data(), &n, EVP_sha256(), nullptr);
  return out;
}

Digest256 hmacSha256(std::string_view key, std::string_view data) {
  Digest256 out{};
  unsigned n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const uint8_t *>(data.data()), data.size(), out.data(),
       &n);
  return out;
}

std::string hexDigest(const Digest256 &digest) {
  return toHex(PieceKey{digest});
}

bool equalConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

uint64_t secureRandom() {
  uint64_t out = 0;
  if (RAND_bytes(reinterpret_cast<uint8_t *>(&out), sizeof(out)) != 1)
    endWithoutRandomNumbers();
  return out;
}

Id128 randomId(const RandomSource &random) { return {random(), random()}; }

} // namespace daisytack
