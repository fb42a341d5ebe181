/// Messages between the control parts of all processes. Encoded by
/// wire/codec.h; carried by authenticated datagrams when they fit, and pages by
/// an authenticated TCP connection.
#pragma once

#include "control/replica.h"
#include "control/signal_table.h"
#include "decide/limit_messages.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace daisytack::control {

/// An age that was never taken.
constexpr uint32_t NeverMillis = UINT32_MAX;

/// What a process knows, in a few numbers. Starts every message on state.
struct PeerHeader {
  uint32_t Lineage = 0;
  uint64_t ClusterId = 0; ///< Of the key-value service; 0 when none is known.
  uint64_t ConfigLastChange = 0; ///< Replica::content of the configuration.
  uint64_t ConfigWatermark = 0;  ///< Replica::watermark of it.
  uint64_t MemberLastChange = 0;
  uint64_t MemberWatermark = 0;
  uint64_t SignalsHash = 0;
  uint32_t PlatformCallMillis = NeverMillis; ///< Since a reader last called the
                                             ///< platform, as far as known.
  uint32_t PlatformAnswerMillis = NeverMillis; ///< Since one was answered.
  bool operator==(const PeerHeader &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Lineage, ClusterId, ConfigLastChange, ConfigWatermark, MemberLastChange,
       MemberWatermark, SignalsHash, PlatformCallMillis, PlatformAnswerMillis);
  }
};

/// Anti-entropy: answered by what the sender lacks, by Pull for what the
/// receiver lacks, or not at all.
struct Digest {
  PeerHeader Header;
  bool operator==(const Digest &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Header); }
};

/// News, or the answer to a Digest or Pull.
struct StateUpdate {
  PeerHeader Header;
  std::optional<ReplicaDelta> Config;
  std::optional<ReplicaDelta> Members;
  std::vector<AgedSignal> Signals;
  /// SignalBoard::buckets when the signals differ: the receiver returns what it
  /// has in other buckets.
  std::vector<uint32_t> SignalBuckets;
  bool Answer = false; ///< Of a Digest: the receiver returns its buckets too.
  bool operator==(const StateUpdate &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Header, Config, Members, Signals, SignalBuckets, Answer);
  }
};

/// Asks for everything above the header's watermarks: by datagram for a Rumour
/// or TooLarge, by TCP for pages.
struct Pull {
  PeerHeader Header;
  bool operator==(const Pull &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Header); }
};

/// What was asked for does not fit a datagram: fetch it by TCP.
struct TooLarge {
  PeerHeader Header;
  bool operator==(const TooLarge &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Header); }
};

/// Part of the answer to a Pull by TCP. The receiver joins the entries of all
/// pages and takes them as one delta.
struct Page {
  StateUpdate Part;
  bool More = false; ///< Another page follows.
  bool operator==(const Page &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Part, More); }
};

/// Asks which configuration revision is in force.
struct RevisionProbe {
  uint64_t Nonce = 0; ///< Repeated by the answer.
  bool operator==(const RevisionProbe &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Nonce); }
};

struct RevisionAnswer {
  uint64_t Nonce = 0;
  uint64_t ConfigRevision = 0;
  bool operator==(const RevisionAnswer &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Nonce, ConfigRevision);
  }
};

/// Every message. The order is part of the protocol: append only.
using PeerMessage =
    std::variant<Digest, StateUpdate, Pull, TooLarge, Page, RevisionProbe,
                 RevisionAnswer, QuotaRequest, QuotaGrant>;

} // namespace daisytack::control
