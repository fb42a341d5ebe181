/// Authentication and replay protection of datagrams, without a socket.
///
/// Layout: version (1 byte), length of the key id (1), key id, sender's
/// incarnation (16), counter (8, big-endian), payload, and the first 16 bytes
/// of the HMAC-SHA256 of all before.
///
/// What a receiver forgets (a sender not heard for long, or everything when it
/// restarts) it would accept once more; messages between peers are therefore
/// idempotent, and none brings back an older state.
#pragma once

#include "daisytack/error.h"
#include "net/frame_link.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace daisytack::net {

/// Remembers which counters of each sender were seen. Counters behind the
/// window count as seen.
class ReplayWindow {
public:
  /// Datagrams that may overtake one another.
  static constexpr uint64_t Width = 64;
  explicit ReplayWindow(size_t maxSenders) : MaxSenders(maxSenders) {}
  /// Marks the counter; false when it was seen before.
  bool accept(const Incarnation &sender, uint64_t counter);
  size_t senders() const { return Senders.size(); }

private:
  struct Sender {
    uint64_t Highest = 0;
    uint64_t Seen = 0; ///< Bit i: Highest - i was seen.
    std::list<Incarnation>::iterator LruPosition;
  };
  size_t MaxSenders;
  std::unordered_map<Incarnation, Sender> Senders;
  std::list<Incarnation> LruOrder; ///< The latest heard first.
};

/// Not thread-safe.
class DatagramSeal {
public:
  /// Bytes that sealing adds besides the key id.
  static constexpr size_t Overhead = 1 + 1 + 16 + 8 + 16;
  static constexpr size_t MaxKeyIdBytes = 32;
  static constexpr size_t MaxSenders = 1U << 14;

  DatagramSeal(PeerKeys keys, Incarnation self);

  /// The first key signs, all are accepted.
  void setKeys(PeerKeys keys) { Keys = std::move(keys); }
  /// Sets the reason and returns nothing when the payload does not fit.
  std::optional<std::string> seal(std::string_view payload, Error &reason);
  /// The payload, within the bytes. Otherwise the reason: ProtocolError for a
  /// malformed datagram, Unauthenticated for an unknown key or a wrong HMAC,
  /// Forbidden for a repeated one.
  std::optional<std::string_view> open(std::string_view bytes, Error &reason);
  /// Largest payload that the first key can seal.
  size_t maxPayload() const;

private:
  const PeerKey *findKey(std::string_view id) const;

  PeerKeys Keys;
  Incarnation Self;
  uint64_t Counter = 0;
  ReplayWindow Window{MaxSenders};
};

} // namespace daisytack::net
