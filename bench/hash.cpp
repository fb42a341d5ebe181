/// Throughput, on one core, of several keyed hashes over pieces of PieceBytes,
/// and of the actual derivation of piece keys.
///
/// usage: bench_hash [MEGABYTES per hash, default 256]
#include "base/clock.h"
#include "context/piece_key.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>

namespace daisytack {

namespace {

constexpr double Megabyte = 1e6;
constexpr int Rounds = 5;

using Piece = std::string_view;
using Output = std::array<uint8_t, 64>;
using HashPiece = std::function<void(Piece, Output &)>;

struct FreeMac {
  void operator()(EVP_MAC *it) const { EVP_MAC_free(it); }
  void operator()(EVP_MAC_CTX *it) const { EVP_MAC_CTX_free(it); }
  void operator()(EVP_MD_CTX *it) const { EVP_MD_CTX_free(it); }
};

const std::string Secret(MinPieceSecretBytes, 's');

/// Returns a hash that uses an OpenSSL MAC and reuses its context. For HMAC,
/// the key is processed only once.
HashPiece makeMac(const char *name, const char *digest) {
  std::unique_ptr<EVP_MAC, FreeMac> mac(EVP_MAC_fetch(nullptr, name, nullptr));
  std::shared_ptr<EVP_MAC_CTX> context(EVP_MAC_CTX_new(mac.get()), FreeMac());
  std::array<OSSL_PARAM, 2> params = {OSSL_PARAM_construct_end(),
                                      OSSL_PARAM_construct_end()};
  if (digest != nullptr)
    params[0] = OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST,
                                                 const_cast<char *>(digest), 0);
  auto key = reinterpret_cast<const unsigned char *>(Secret.data());
  EVP_MAC_init(context.get(), key, Secret.size(), params.data());
  bool keepsKey = digest != nullptr;
  return [=](Piece piece, Output &out) {
    size_t n = 0;
    EVP_MAC_init(context.get(), keepsKey ? nullptr : key,
                 keepsKey ? 0 : Secret.size(), nullptr);
    EVP_MAC_update(context.get(),
                   reinterpret_cast<const unsigned char *>(piece.data()),
                   piece.size());
    EVP_MAC_final(context.get(), out.data(), &n, out.size());
  };
}

/// Returns a hash that is a digest of the key, padded to one block, followed by
/// the piece.
HashPiece makePrefixedDigest(const char *name) {
  std::shared_ptr<EVP_MD> digest(EVP_MD_fetch(nullptr, name, nullptr),
                                 EVP_MD_free);
  std::shared_ptr<EVP_MD_CTX> context(EVP_MD_CTX_new(), FreeMac());
  std::string prefix = Secret;
  prefix.resize(EVP_MD_get_block_size(digest.get()));
  return [=](Piece piece, Output &out) {
    unsigned n = 0;
    EVP_DigestInit_ex2(context.get(), digest.get(), nullptr);
    EVP_DigestUpdate(context.get(), prefix.data(), prefix.size());
    EVP_DigestUpdate(context.get(), piece.data(), piece.size());
    EVP_DigestFinal_ex(context.get(), out.data(), &n);
  };
}

/// Returns the highest rate of several rounds, in megabytes per second.
double measure(const std::string &text, const std::function<void()> &run) {
  double best = 0;
  for (int i = 0; i < Rounds; ++i) {
    TimePoint start = monotonicNow();
    run();
    double seconds =
        std::chrono::duration<double>(monotonicNow() - start).count();
    best =
        std::max(best, static_cast<double>(text.size()) / Megabyte / seconds);
  }
  return best;
}

void report(const char *name, double rate) {
  std::printf("%-28s %8.0f MB/s %8.2f us a piece\n", name, rate,
              PieceBytes / rate);
}

void measureHash(const char *name, const std::string &text,
                 const HashPiece &hash) {
  report(name, measure(text, [&] {
           Output out{};
           for (size_t at = 0; at + PieceBytes <= text.size(); at += PieceBytes)
             hash(Piece(text).substr(at, PieceBytes), out);
         }));
}

void run(size_t megabytes) {
  std::string text(megabytes << 20U, 'x');
  for (size_t i = 0; i < text.size(); i += 61)
    text[i] = static_cast<char>(i);
  measureHash("HMAC-SHA-256 (EVP_MAC)", text, makeMac("HMAC", "SHA256"));
  measureHash("HMAC-SHA-512 (EVP_MAC)", text, makeMac("HMAC", "SHA512"));
  measureHash("BLAKE2b keyed (EVP_MAC)", text, makeMac("BLAKE2BMAC", nullptr));
  measureHash("SHA-256 keyed prefix", text, makePrefixedDigest("SHA256"));
  measureHash("SHA-512/256 keyed prefix", text,
              makePrefixedDigest("SHA512-256"));
  measureHash("SHA3-256 keyed prefix", text, makePrefixedDigest("SHA3-256"));
  PieceKeyer keyer(Secret);
  PieceScope scope{"acme", "*", 1, "m", "v1", ""};
  report("piece keys (HMAC-SHA-256)",
         measure(text, [&] { (void)keyer.keys(scope, text); }));
  constexpr size_t PromptBytes = 8 * PieceBytes;
  report("piece keys, 8-piece prompts", measure(text, [&] {
           for (size_t at = 0; at < text.size(); at += PromptBytes)
             (void)keyer.keys(scope, Piece(text).substr(at, PromptBytes));
         }));
}

} // namespace

} // namespace daisytack

int main(int argc, char **argv) {
  size_t megabytes = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 256;
  daisytack::run(megabytes);
}
