/// An agent's table of stores: their location, the scheduler of each link and
/// whether the store is usable.
#pragma once

#include "context/link_scheduler.h"
#include "context/plan.h"
#include "context/store_choice.h"
#include "serve/agent_step.h"

#include <optional>
#include <vector>

namespace daisytack::serve {

struct StoreSettings {
  std::vector<StoreInstance> Instances;
  LinkLimits Link; ///< Limits of the link to each store.
  double DiskBytesPerSecond = 50e6;
  Duration LookupTimeout{100'000};
  Duration ReadTimeout{5'000'000};
  Duration WriteTimeout{5'000'000};
  Duration RetryAfter{1'000'000}; ///< Time without calls after a failure.
};

/// Generates ids of calls and transfers.
class CallIdSource {
public:
  CallId next() { return ++Last; }

private:
  CallId Last = 0;
};

/// The stores of an agent. Not thread-safe.
class StoreTable {
public:
  explicit StoreTable(StoreSettings settings);

  const StoreSettings &settings() const { return Settings; }
  size_t size() const { return Links.size(); }
  LinkScheduler &link(StoreHandle store) { return Links[store.Index].Link; }
  const LinkScheduler &link(StoreHandle store) const {
    return Links[store.Index].Link;
  }
  /// Usable stores of pieces[index], in order of preference. At most `copies`.
  std::vector<StoreHandle> storesOf(std::span<const PieceKey> pieces,
                                    size_t index, size_t copies,
                                    TimePoint now) const;
  /// State of each link, for planning a fetch that should end by the deadline.
  std::vector<LinkState> linkStates(TimePoint deadline, TimePoint now) const;

  void onAnswered(StoreHandle store) { Links[store.Index].DownUntil.reset(); }
  /// Makes the store unusable for RetryAfter.
  void onFailed(StoreHandle store, TimePoint now);
  bool isUsable(StoreHandle store, TimePoint now) const;

  /// Earliest time at which any link can start a transfer; empty if no
  /// waiting transfer can.
  std::optional<TimePoint> nextTransferAt(TimePoint now) const;

private:
  struct StoreLink {
    LinkScheduler Link;
    /// Time from which a failed store may be called again; empty if usable.
    std::optional<TimePoint> DownUntil;
  };

  StoreSettings Settings;
  std::vector<StoreLink> Links;
};

/// True if the error means that the store itself has failed, and not that it
/// lacks a piece, is full, or that the call was cancelled.
bool isStoreFailure(const Error &why);

} // namespace daisytack::serve
