#include "context/piece_key.h"

#include "base/digest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <memory>

namespace daisytack {

namespace {

constexpr uint8_t InnerPad = 0x36;
constexpr uint8_t OuterPad = 0x5c;
constexpr std::string_view RootTag = "daisytack piece root 1";
constexpr std::string_view PieceTag = "daisytack piece next 1";

constexpr char MessageSeparator = '\x1e';
constexpr char ContentSeparator = '\x1f';
constexpr char Escape = '\x1b';

/// Incremental SHA-256 with a reusable digest context.
class Sha256Stream {
public:
  void start() { EVP_DigestInit_ex2(Context.get(), Algorithm.get(), nullptr); }
  void add(const void *data, size_t n) {
    EVP_DigestUpdate(Context.get(), data, n);
  }
  void finish(uint8_t *out) {
    unsigned n = 0;
    EVP_DigestFinal_ex(Context.get(), out, &n);
  }

private:
  struct Free {
    void operator()(EVP_MD *it) const { EVP_MD_free(it); }
    void operator()(EVP_MD_CTX *it) const { EVP_MD_CTX_free(it); }
  };
  /// Fetched once, because OpenSSL looks up EVP_sha256() again on every start.
  std::unique_ptr<EVP_MD, Free> Algorithm{
      EVP_MD_fetch(nullptr, "SHA256", nullptr)};
  std::unique_ptr<EVP_MD_CTX, Free> Context{EVP_MD_CTX_new()};
};

Sha256Stream &threadStream() {
  thread_local Sha256Stream stream;
  return stream;
}

/// Appends the value in little-endian byte order.
void appendUint64(std::string &out, uint64_t value) {
  for (unsigned i = 0; i < 8; ++i)
    out.push_back(static_cast<char>(value >> (8U * i)));
}

/// Appends the field with its length, so that different lists of fields have
/// different encodings.
void appendField(std::string &out, std::string_view field) {
  appendUint64(out, field.size());
  out.append(field);
}

void appendEscaped(std::string &out, std::string_view text) {
  for (char c : text) {
    if (c == MessageSeparator || c == ContentSeparator || c == Escape)
      out.push_back(Escape);
    out.push_back(c);
  }
}

std::string_view bytesOf(const PieceKey &key) {
  return {reinterpret_cast<const char *>(key.Bytes.data()), key.Bytes.size()};
}

} // namespace

PieceKeyer::PieceKeyer(std::string_view secret) {
  // HMAC key preparation (RFC 2104): hash a long key, pad with zeros.
  Block key{};
  if (secret.size() > key.size()) {
    Digest256 digest = sha256(secret);
    std::copy(digest.begin(), digest.end(), key.begin());
  } else {
    std::copy(secret.begin(), secret.end(), key.begin());
  }
  for (size_t i = 0; i < key.size(); ++i) {
    InnerKey[i] = key[i] ^ InnerPad;
    OuterKey[i] = key[i] ^ OuterPad;
  }
}

PieceKey PieceKeyer::hmac(std::string_view tag, std::string_view head,
                          std::string_view content) const {
  PieceKey out;
  Sha256Stream &stream = threadStream();
  stream.start();
  stream.add(InnerKey.data(), InnerKey.size());
  stream.add(tag.data(), tag.size());
  stream.add(head.data(), head.size());
  stream.add(content.data(), content.size());
  stream.finish(out.Bytes.data());
  stream.start();
  stream.add(OuterKey.data(), OuterKey.size());
  stream.add(out.Bytes.data(), out.Bytes.size());
  stream.finish(out.Bytes.data());
  return out;
}

PieceKey PieceKeyer::root(const PieceScope &scope) const {
  std::string fields;
  appendField(fields, scope.Organisation);
  appendField(fields, scope.PolicyClass);
  appendUint64(fields, scope.Epoch);
  appendField(fields, scope.Model);
  appendField(fields, scope.Version);
  appendField(fields, scope.Adapter);
  return hmac(RootTag, fields, {});
}

PieceKey PieceKeyer::next(const PieceKey &parent,
                          std::string_view content) const {
  return hmac(PieceTag, bytesOf(parent), content);
}

std::vector<PieceKey> PieceKeyer::keys(const PieceScope &scope,
                                       std::string_view text) const {
  return leadingKeys(scope, text, text.size() / PieceBytes);
}

std::vector<PieceKey> PieceKeyer::leadingKeys(const PieceScope &scope,
                                              std::string_view text,
                                              size_t maxPieces) const {
  size_t n = std::min(maxPieces, text.size() / PieceBytes);
  std::vector<PieceKey> out;
  out.reserve(n);
  PieceKey parent = root(scope);
  for (size_t i = 0; i < n; ++i) {
    parent = next(parent, text.substr(i * PieceBytes, PieceBytes));
    out.push_back(parent);
  }
  return out;
}

std::string canonicalText(std::span<const ChatMessage> messages) {
  std::string out;
  for (const ChatMessage &it : messages) {
    out.push_back(MessageSeparator);
    appendEscaped(out, it.Role);
    out.push_back(ContentSeparator);
    appendEscaped(out, it.Content);
  }
  return out;
}

uint32_t estimateTokens(size_t bytes) {
  return static_cast<uint32_t>((bytes + BytesPerToken - 1) / BytesPerToken);
}

} // namespace daisytack
