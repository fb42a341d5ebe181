/// Messages between the control planes of all processes. Encoded by
/// wire/codec.h. Messages that fit are sent as authenticated datagrams, pages
/// over an authenticated TCP connection.
#pragma once

#include "control/replica.h"
#include "control/signal_table.h"
#include "decide/limit_messages.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace daisytack::control {

/// Age of an event that has not happened.
constexpr uint32_t NeverMillis = UINT32_MAX;

/// Summary of a process's state. First field of every message about state.
struct PeerHeader {
  uint32_t Lineage = 0;
  uint64_t ClusterId = 0;        ///< Of the key-value service; 0 if unknown.
  uint64_t ConfigLastChange = 0; ///< Replica::lastChange of the config.
  uint64_t ConfigWatermark = 0;  ///< Replica::watermark of the config.
  uint64_t MemberLastChange = 0; ///< The same for the instance list.
  uint64_t MemberWatermark = 0;
  uint64_t SignalsHash = 0;
  /// Time since any reader last called the platform and since one was last
  /// answered, as far as the sender knows; NeverMillis if unknown.
  uint32_t PlatformCallMillis = NeverMillis;
  uint32_t PlatformAnswerMillis = NeverMillis;
  bool operator==(const PeerHeader &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Lineage, ClusterId, ConfigLastChange, ConfigWatermark, MemberLastChange,
       MemberWatermark, SignalsHash, PlatformCallMillis, PlatformAnswerMillis);
  }
};

/// Anti-entropy message. The receiver answers with the state that the sender
/// lacks and with a Pull for the state that it lacks itself. Equal states need
/// no answer.
struct Digest {
  PeerHeader Header;
  bool operator==(const Digest &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Header); }
};

/// State changes, sent when they occur or as the answer to a Digest or Pull.
struct StateUpdate {
  PeerHeader Header;
  std::optional<ReplicaDelta> Config;
  std::optional<ReplicaDelta> Members;
  std::vector<AgedSignal> Signals;
  /// SignalTable::buckets, set when the signals differ: the receiver returns
  /// its signals from the buckets that differ.
  std::vector<uint32_t> SignalBuckets;
  /// Set in the answer to a Digest or Pull: a receiver that gets SignalBuckets
  /// also returns its own buckets.
  bool Answer = false;
  bool operator==(const StateUpdate &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Header, Config, Members, Signals, SignalBuckets, Answer);
  }
};

/// Requests all state above the header's watermarks. The answer is StateUpdate
/// or TooLarge to a datagram, and pages to a request by TCP.
struct Pull {
  PeerHeader Header;
  bool operator==(const Pull &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Header); }
};

/// The requested state does not fit a datagram and must be fetched by TCP.
struct TooLarge {
  PeerHeader Header;
  bool operator==(const TooLarge &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Header); }
};

/// Part of the answer to a Pull by TCP. The receiver joins the entries of all
/// pages and merges them as one delta.
struct Page {
  StateUpdate Part;
  bool More = false; ///< Another page follows.
  bool operator==(const Page &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Part, More); }
};

/// Requests the configuration revision in force.
struct RevisionProbe {
  uint64_t Nonce = 0; ///< Copied to the answer.
  bool operator==(const RevisionProbe &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Nonce); }
};

/// The configuration revision in force in the sender.
struct RevisionAnswer {
  uint64_t Nonce = 0;
  uint64_t ConfigRevision = 0;
  bool operator==(const RevisionAnswer &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Nonce, ConfigRevision);
  }
};

/// All messages. The order is part of the protocol: append only.
using PeerMessage =
    std::variant<Digest, StateUpdate, Pull, TooLarge, Page, RevisionProbe,
                 RevisionAnswer, QuotaRequest, QuotaGrant>;

} // namespace daisytack::control
