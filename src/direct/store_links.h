/// How congested the links of the stores of kept context are, learned from how
/// much longer requests with a fetch wait for their first byte than predicted.
///
/// A store's link carries one transfer after another, and its real rate is not
/// told. A slow engine delays the requests of all stores alike, so only what a
/// store's requests wait beyond those of the others is put down to its link.
/// Entries tell one another of each delay: a slow link lasts for seconds, in
/// which one entry of many sees a fetch or two.
#pragma once

#include "daisytack/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace daisytack::direct {

struct StoreLinkSettings {
  /// Weight of one observation: a link that has become slow is noticed after
  /// some seven fetches, about half a second of a busy entry's.
  double Weight = 0.15;
  /// A delay that is not observed halves in this time, so that a link which is
  /// left alone is tried again.
  Duration HalfLife{700'000};
  /// What was not observed for so long is no measure for the others: that its
  /// delay has faded does not say that its requests would be quick now.
  Duration ComparedFor{2'000'000};
  /// And after so long it is forgotten, so that stores which are gone take no
  /// memory: nothing is left of any delay by then.
  Duration ForgottenAfter{20'000'000};
  /// An observation counts for at most this; a lost server says nothing of the
  /// link.
  double MostMs = 2500;
  /// Observations that are kept for the other entries; a datagram holds them
  /// beside the loads of 40 servers.
  size_t MostNews = 32;
  bool operator==(const StoreLinkSettings &) const = default;
};

/// One delay that an entry observed, as entries tell one another.
struct LinkDelay {
  uint64_t Store = 0; ///< stableHash of its address; 0: there was no fetch.
  uint32_t LateMs = 0;
  auto operator<=>(const LinkDelay &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(Store, LateMs); }
};

/// Thread-safe.
class StoreLinks {
public:
  explicit StoreLinks(StoreLinkSettings settings) : Settings(settings) {}

  /// The first byte of an answer came so much later than was predicted without
  /// a fetch. No store: there was no fetch.
  void observe(const std::optional<Endpoint> &store, double lateMs,
               TimePoint now);
  /// What another entry observed counts like an own observation: a single
  /// entry of many sees too few fetches to notice a slow link while it is slow.
  void onPeerDelays(const std::vector<LinkDelay> &delays, TimePoint now);
  /// Own observations since the last call, the latest ones, for the others.
  std::vector<LinkDelay> takeGossip();
  /// What a fetch from the store waits beyond one from the best of the others.
  double excessMs(const Endpoint &store, TimePoint now) const;

private:
  struct Delay {
    double Ms = 0;
    TimePoint At;
  };
  static uint64_t nameOf(const std::optional<Endpoint> &store);
  double faded(const Delay &delay, TimePoint now) const;
  void learn(uint64_t store, double seen, TimePoint now);

  StoreLinkSettings Settings;
  mutable std::mutex Lock;
  /// By name; 0 is of requests without a fetch.
  std::map<uint64_t, Delay> Delays;
  std::vector<LinkDelay> News;
};

} // namespace daisytack::direct
