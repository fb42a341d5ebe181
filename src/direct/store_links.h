/// Estimates the congestion of the context stores' links, from how much later
/// than predicted the first byte of requests with a fetch arrives.
///
/// A store's link carries one transfer after another, and its actual rate is
/// not known. A slow engine delays the requests of all stores alike, so only
/// the excess delay of a store's requests over those of other stores is
/// attributed to its link. Entries share their observations: a link is slow for
/// a few seconds only, during which each of many entries sees a fetch or two.
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
  /// Weight of one observation in the moving average. A link that has become
  /// slow is noticed after about seven fetches, half a second's worth on a busy
  /// entry.
  double SampleWeight = 0.15;
  /// Time in which a delay halves while it is not observed, so that a link that
  /// requests avoid is tried again.
  Duration HalfLife{700'000};
  /// A delay that was not observed for this time is not used as a baseline for
  /// the others: that it has decayed does not mean that requests of its store
  /// would be quick now.
  Duration BaselineMaxAge{2'000'000};
  /// A delay that was not observed for this time is dropped, to free the memory
  /// of removed stores. It has decayed to nothing by then.
  Duration DropAfter{20'000'000};
  /// Upper bound, in milliseconds, on what one observation counts for: the
  /// delay of a lost server says nothing about the link.
  double MaxDelayMs = 2500;
  /// Maximum number of observations kept for the other entries. They fit into a
  /// datagram along with the loads of 40 servers.
  size_t MaxGossipDelays = 32;
  /// Number of links from which on other entries' delays of further ones are
  /// ignored. They come by datagrams, which anybody can send.
  size_t MaxLinks = 1024;
  bool operator==(const StoreLinkSettings &) const = default;
};

/// One delay that an entry observed, as passed on between entries.
struct LinkDelay {
  uint64_t StoreKey = 0; ///< stableHash() of its address; 0: no fetch.
  uint32_t LateMs = 0;
  auto operator<=>(const LinkDelay &) const = default;
  template <class Archive> void serialize(Archive &ar) { ar(StoreKey, LateMs); }
};

/// Thread-safe.
class StoreLinks {
public:
  explicit StoreLinks(StoreLinkSettings settings) : Settings(settings) {}

  /// Records that an answer's first byte arrived `lateMs` later than predicted
  /// without a fetch. `store` is the store that was fetched from; nullopt: the
  /// request had no fetch.
  void observe(const std::optional<Endpoint> &store, double lateMs,
               TimePoint now);
  /// Records delays that another entry observed. They count like this entry's
  /// own: a single entry of many sees too few fetches to notice a slow link
  /// while it is slow.
  void onPeerDelays(const std::vector<LinkDelay> &delays, TimePoint now);
  /// This entry's own observations since the last call, for the other entries;
  /// the latest ones if there were too many.
  std::vector<LinkDelay> takeGossip();
  /// How much longer, in milliseconds, a request with a fetch from the store
  /// waits than a request of the store with the least delay, or one without a
  /// fetch.
  double excessMs(const Endpoint &store, TimePoint now) const;

private:
  struct Delay {
    double Ms = 0;
    TimePoint At; ///< Time of the last observation.
  };
  /// Key of the store in Delays and LinkDelay; 0 for nullopt.
  static uint64_t keyOf(const std::optional<Endpoint> &store);
  /// The delay in milliseconds, decayed since its last observation.
  double decayedMs(const Delay &delay, TimePoint now) const;
  void update(uint64_t store, double sampleMs, TimePoint now);

  StoreLinkSettings Settings;
  mutable std::mutex Lock;
  /// By keyOf(); 0 holds the delay of requests without a fetch.
  std::map<uint64_t, Delay> Delays;
  std::vector<LinkDelay> PendingGossip;
};

} // namespace daisytack::direct
