#include "net/datagram_seal.h"

#include "base/digest.h"

#include <utility>

namespace daisytack::net {

namespace {

constexpr size_t NumberBytes = 8;
constexpr size_t IncarnationBytes = 16;
constexpr size_t MacBytes = 16;
constexpr size_t PrefixBytes = 2; ///< Version and length of the key id.

void putNumber(std::string &out, uint64_t value) {
  for (size_t i = 0; i < NumberBytes; ++i)
    out.push_back(static_cast<char>(value >> (8 * (NumberBytes - 1 - i))));
}

uint64_t getNumber(std::string_view in) {
  uint64_t out = 0;
  for (char c : in.substr(0, NumberBytes))
    out = (out << 8U) | static_cast<uint8_t>(c);
  return out;
}

std::string computeMac(const PeerKey &key, std::string_view signedBytes) {
  Digest256 digest = hmacSha256(key.Secret, signedBytes);
  return {reinterpret_cast<const char *>(digest.data()), MacBytes};
}

} // namespace

bool ReplayWindow::accept(const Incarnation &sender, uint64_t counter) {
  auto it = Senders.find(sender);
  if (it == Senders.end()) {
    if (Senders.size() >= MaxSenders) {
      Senders.erase(LruOrder.back());
      LruOrder.pop_back();
    }
    LruOrder.push_front(sender);
    Senders.emplace(sender, Sender{counter, 1, LruOrder.begin()});
    return true;
  }
  Sender &state = it->second;
  LruOrder.splice(LruOrder.begin(), LruOrder, state.LruPosition);
  if (counter > state.Highest) {
    uint64_t ahead = counter - state.Highest;
    state.Seen = ahead < Width ? (state.Seen << ahead) | 1U : 1U;
    state.Highest = counter;
    return true;
  }
  uint64_t behind = state.Highest - counter;
  if (behind >= Width)
    return false;
  uint64_t bit = 1ULL << behind;
  return (std::exchange(state.Seen, state.Seen | bit) & bit) == 0;
}

DatagramSeal::DatagramSeal(PeerKeys keys, Incarnation self)
    : Keys(std::move(keys)), Self(self) {}

size_t DatagramSeal::maxPayload() const {
  size_t keyId = Keys.empty() ? MaxKeyIdBytes : Keys.front().Id.size();
  return MaxDatagramBytes - Overhead - keyId;
}

std::optional<std::string> DatagramSeal::seal(std::string_view payload,
                                              Error &reason) {
  if (Keys.empty() || Keys.front().Id.size() > MaxKeyIdBytes) {
    reason = {ErrorKind::Unauthenticated, "no usable peer key: set peer_keys"};
    return std::nullopt;
  }
  if (payload.size() > maxPayload()) {
    reason = {ErrorKind::BodyTooLarge, "datagram payload of " +
                                           std::to_string(payload.size()) +
                                           " bytes"};
    return std::nullopt;
  }
  const PeerKey &key = Keys.front();
  std::string out;
  out.reserve(payload.size() + key.Id.size() + Overhead);
  out.push_back(static_cast<char>(ProtocolVersion));
  out.push_back(static_cast<char>(key.Id.size()));
  out += key.Id;
  putNumber(out, Self.Hi);
  putNumber(out, Self.Lo);
  putNumber(out, ++Counter);
  out += payload;
  out += computeMac(key, out);
  return out;
}

std::optional<std::string_view> DatagramSeal::open(std::string_view bytes,
                                                   Error &reason) {
  auto fail = [&](ErrorKind kind, const char *detail) {
    reason = {kind, detail};
    return std::nullopt;
  };
  if (bytes.size() < Overhead || bytes.size() > MaxDatagramBytes)
    return fail(ErrorKind::ProtocolError, "length of a datagram");
  if (static_cast<uint8_t>(bytes[0]) != ProtocolVersion)
    return fail(ErrorKind::ProtocolError, "version of a datagram");
  size_t keyIdBytes = static_cast<uint8_t>(bytes[1]);
  if (bytes.size() < Overhead + keyIdBytes)
    return fail(ErrorKind::ProtocolError, "length of a datagram's key id");
  const PeerKey *key = findKey(bytes.substr(PrefixBytes, keyIdBytes));
  if (!key)
    return fail(ErrorKind::Unauthenticated, "unknown peer key");
  std::string_view signedBytes = bytes.substr(0, bytes.size() - MacBytes);
  if (!equalConstantTime(computeMac(*key, signedBytes),
                         bytes.substr(bytes.size() - MacBytes)))
    return fail(ErrorKind::Unauthenticated, "wrong HMAC of a datagram");
  std::string_view rest = signedBytes.substr(PrefixBytes + keyIdBytes);
  Incarnation sender{getNumber(rest), getNumber(rest.substr(NumberBytes))};
  uint64_t counter = getNumber(rest.substr(IncarnationBytes));
  if (!Window.accept(sender, counter))
    return fail(ErrorKind::Forbidden, "repeated datagram");
  return rest.substr(IncarnationBytes + NumberBytes);
}

const PeerKey *DatagramSeal::findKey(std::string_view id) const {
  for (const PeerKey &key : Keys)
    if (key.Id == id)
      return &key;
  return nullptr;
}

} // namespace daisytack::net
