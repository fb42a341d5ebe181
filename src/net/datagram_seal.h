/// Authentication and replay protection of datagrams, without a socket.
///
/// Layout: version (1 byte), length of the key id (1), key id, sender's
/// incarnation (16), counter (8, big-endian), payload, and the first 16 bytes
/// of the HMAC-SHA256 of all preceding bytes.
///
/// A receiver loses its replay state when it restarts, and that of the least
/// recently active senders when the table is full; it would then accept a
/// replayed datagram. Messages between peers are therefore idempotent, and none
/// of them restores an older state.
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

/// Tracks which counters of each sender were received, in a sliding window.
/// Counters older than the window are treated as already received.
class ReplayWindow {
public:
  /// Window size in datagrams: how far datagrams may be reordered.
  static constexpr uint64_t Width = 64;
  explicit ReplayWindow(size_t maxSenders) : MaxSenders(maxSenders) {}
  /// Records the counter; false if it was received before or is older than the
  /// window.
  bool accept(const Incarnation &sender, uint64_t counter);
  size_t senders() const { return Senders.size(); }

private:
  struct Sender {
    uint64_t Highest = 0;
    uint64_t Seen = 0; ///< Bit i is set if Highest - i was received.
    std::list<Incarnation>::iterator LruPosition;
  };
  size_t MaxSenders;
  std::unordered_map<Incarnation, Sender> Senders;
  std::list<Incarnation> LruOrder; ///< Most recently active sender first.
};

/// Signs and verifies datagrams. Not thread-safe.
class DatagramSeal {
public:
  /// Bytes that seal() adds to the payload, without the key id.
  static constexpr size_t Overhead = 1 + 1 + 16 + 8 + 16;
  static constexpr size_t MaxKeyIdBytes = 32;
  static constexpr size_t MaxSenders = 1U << 14;

  DatagramSeal(PeerKeys keys, Incarnation self);

  /// Sets the keys. The first one signs; all of them verify.
  void setKeys(PeerKeys keys) { Keys = std::move(keys); }
  /// Returns the datagram, or nullopt with the reason if no key is usable or
  /// the payload is larger than maxPayload().
  std::optional<std::string> seal(std::string_view payload, Error &reason);
  /// Returns the payload as a view into bytes, or nullopt with the reason:
  /// ProtocolError for a malformed datagram, Unauthenticated for an unknown key
  /// or a wrong HMAC, Forbidden for a replayed datagram.
  std::optional<std::string_view> open(std::string_view bytes, Error &reason);
  /// Largest payload in bytes that fits into a datagram with the first key.
  size_t maxPayload() const;

private:
  const PeerKey *findKey(std::string_view id) const;

  PeerKeys Keys;
  Incarnation Self;
  uint64_t Counter = 0;
  ReplayWindow Window{MaxSenders};
};

} // namespace daisytack::net
