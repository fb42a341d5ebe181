#include "net/frame_crypto.h"

#include "base/digest.h"

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <stdexcept>

namespace daisytack::net {

namespace {

constexpr std::string_view Magic = "DTFL";
constexpr size_t HelloFixedBytes = 4 + 1 + 1 + FrameNonceBytes + 1;
constexpr std::string_view SessionLabel = "daisytack frame session 1";

std::string_view asText(const FrameNonce &nonce) {
  return {reinterpret_cast<const char *>(nonce.data()), nonce.size()};
}

/// Appends the length and then the bytes, so that different lists of fields
/// always have different encodings.
void appendField(std::string &out, std::string_view field) {
  appendFrameLength(out, field.size());
  out.append(field);
}

} // namespace

void appendFrameLength(std::string &out, size_t length) {
  for (int shift = 24; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>((length >> shift) & 0xffU));
}

size_t readFrameLength(std::string_view bytes) {
  size_t length = 0;
  for (size_t i = 0; i < FrameLengthBytes; ++i)
    length = (length << 8U) | static_cast<uint8_t>(bytes[i]);
  return length;
}

std::string encodeFrameHello(const FrameHello &hello) {
  std::string out(Magic);
  out.push_back(static_cast<char>(ProtocolVersion));
  out.push_back(static_cast<char>(hello.Role));
  out.append(asText(hello.Nonce));
  out.push_back(static_cast<char>(hello.KeyId.size()));
  out.append(hello.KeyId);
  return out;
}

std::optional<FrameHello> decodeFrameHello(std::string_view bytes,
                                           Error &reason) {
  if (bytes.size() < HelloFixedBytes || !bytes.starts_with(Magic)) {
    reason = {ErrorKind::ProtocolError, "not a daisytack peer"};
    return std::nullopt;
  }
  bytes.remove_prefix(Magic.size());
  if (static_cast<uint8_t>(bytes[0]) != ProtocolVersion) {
    reason = {ErrorKind::ProtocolError, "peer speaks another protocol version"};
    return std::nullopt;
  }
  auto role = static_cast<uint8_t>(bytes[1]);
  size_t idLength = static_cast<uint8_t>(bytes[2 + FrameNonceBytes]);
  std::string_view id = bytes.substr(HelloFixedBytes - Magic.size());
  if (role > static_cast<uint8_t>(FrameRole::Acceptor) ||
      id.size() != idLength) {
    reason = {ErrorKind::ProtocolError, "malformed hello"};
    return std::nullopt;
  }
  FrameHello hello;
  hello.Role = static_cast<FrameRole>(role);
  std::copy_n(bytes.begin() + 2, FrameNonceBytes, hello.Nonce.begin());
  hello.KeyId = id;
  return hello;
}

std::string frameSessionKey(std::string_view secret, FrameRole sender,
                            const FrameHello &connector,
                            const FrameHello &acceptor) {
  std::string input;
  appendField(input, SessionLabel);
  input.push_back(static_cast<char>(sender));
  for (const FrameHello *hello : {&connector, &acceptor}) {
    appendField(input, asText(hello->Nonce));
    appendField(input, hello->KeyId);
  }
  Digest256 key = hmacSha256(secret, input);
  return {key.begin(), key.end()};
}

struct FrameMac::Context {
  explicit Context(std::string_view key) {
    Algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    Handle = EVP_MAC_CTX_new(Algorithm);
    char digest[] = "SHA256";
    OSSL_PARAM params[] = {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
        OSSL_PARAM_construct_end()};
    if (EVP_MAC_init(Handle,
                     reinterpret_cast<const unsigned char *>(key.data()),
                     key.size(), params) != 1)
      throw std::runtime_error("HMAC-SHA256 is not available");
  }
  ~Context() {
    EVP_MAC_CTX_free(Handle);
    EVP_MAC_free(Algorithm);
  }
  Context(const Context &) = delete;
  Context &operator=(const Context &) = delete;

  EVP_MAC *Algorithm = nullptr;
  EVP_MAC_CTX *Handle = nullptr;
};

FrameMac::FrameMac(std::string_view sessionKey)
    : KeyedContext(std::make_unique<Context>(sessionKey)) {}

FrameMac::~FrameMac() = default;

FrameMacValue FrameMac::compute(std::string_view payload) const {
  std::array<unsigned char, sizeof(Sequence)> number{};
  for (size_t i = 0; i < number.size(); ++i)
    number[i] = static_cast<unsigned char>(Sequence >> (8 * i));
  std::array<unsigned char, 32> full{};
  size_t written = 0;
  // A null key resets the context and keeps its key, which avoids the cost of
  // setting the key up again.
  EVP_MAC_init(KeyedContext->Handle, nullptr, 0, nullptr);
  EVP_MAC_update(KeyedContext->Handle, number.data(), number.size());
  EVP_MAC_update(KeyedContext->Handle,
                 reinterpret_cast<const unsigned char *>(payload.data()),
                 payload.size());
  if (EVP_MAC_final(KeyedContext->Handle, full.data(), &written, full.size()) !=
      1)
    throw std::runtime_error("HMAC-SHA256 failed");
  FrameMacValue out{};
  std::copy_n(full.begin(), out.size(), out.begin());
  return out;
}

FrameMacValue FrameMac::sign(std::string_view payload) {
  FrameMacValue out = compute(payload);
  ++Sequence;
  return out;
}

bool FrameMac::verify(std::string_view payload, std::string_view mac) {
  FrameMacValue expected = compute(payload);
  std::string_view view(reinterpret_cast<const char *>(expected.data()),
                        expected.size());
  if (!equalConstantTime(view, mac))
    return false;
  ++Sequence;
  return true;
}

} // namespace daisytack::net
