/// How congested the links of the stores of kept context are, learned from how
/// much longer requests with a fetch wait for their first byte than predicted.
///
/// A store's link carries one transfer after another, and its real rate is not
/// told. A slow engine delays the requests of all stores alike, so only what a
/// store's requests wait beyond those of the others is put down to its link.
#pragma once

#include "daisytack/types.h"

#include <map>
#include <mutex>
#include <optional>

namespace daisytack::direct {

struct StoreLinkSettings {
  /// Weight of one observation: a link that has become slow is noticed after
  /// some seven fetches, about half a second of a busy entry's.
  double Weight = 0.15;
  /// A delay that is not observed halves in this time, so that a link which is
  /// left alone is tried again.
  Duration HalfLife{700'000};
  /// An observation counts for at most this; a lost server says nothing of the
  /// link.
  double MostMs = 2500;
  bool operator==(const StoreLinkSettings &) const = default;
};

/// Thread-safe.
class StoreLinks {
public:
  explicit StoreLinks(StoreLinkSettings settings) : Settings(settings) {}

  /// The first byte of an answer came so much later than was predicted without
  /// a fetch. No store: there was no fetch.
  void observe(const std::optional<Endpoint> &store, double lateMs,
               TimePoint now);
  /// What a fetch from the store waits beyond one from the best of the others.
  double excessMs(const Endpoint &store, TimePoint now) const;

private:
  struct Delay {
    double Ms = 0;
    TimePoint At;
  };
  double faded(const Delay &delay, TimePoint now) const;

  StoreLinkSettings Settings;
  mutable std::mutex Lock;
  /// By store; the entry without an endpoint is of requests without a fetch.
  std::map<std::optional<Endpoint>, Delay> Delays;
};

} // namespace daisytack::direct
