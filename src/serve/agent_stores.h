/// The stores as an agent knows them: where each is, its link and whether it
/// answers.
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
  LinkLimits Link; ///< Of each.
  double DiskBytesPerSecond = 50e6;
  Duration LookupTimeout{100'000};
  Duration ReadTimeout{5'000'000};
  Duration WriteTimeout{5'000'000};
  Duration RetryAfter{1'000'000}; ///< A store that failed is left alone for.
};

/// Numbers calls and transfers.
class CallIdSource {
public:
  CallId next() { return ++Last; }

private:
  CallId Last = 0;
};

/// Not thread-safe.
class StoreTable {
public:
  explicit StoreTable(StoreSettings settings);

  const StoreSettings &settings() const { return Settings; }
  size_t size() const { return Links.size(); }
  LinkScheduler &link(StoreHandle store) { return Links[store.Index].Link; }
  const LinkScheduler &link(StoreHandle store) const {
    return Links[store.Index].Link;
  }
  /// Stores of a piece that are not left alone, the first choice first.
  std::vector<StoreHandle> storesOf(std::span<const PieceKey> pieces,
                                    size_t index, size_t copies,
                                    TimePoint now) const;
  /// For the plan of a fetch that should be over by then.
  std::vector<LinkState> linkStates(TimePoint deadline, TimePoint now) const;

  void onAnswered(StoreHandle store) { Links[store.Index].DownUntil.reset(); }
  void onFailed(StoreHandle store, TimePoint now);
  bool isUsable(StoreHandle store, TimePoint now) const;

  /// When some link can start a transfer.
  std::optional<TimePoint> nextTransferAt(TimePoint now) const;

private:
  struct StoreLink {
    LinkScheduler Link;
    std::optional<TimePoint> DownUntil;
  };

  StoreSettings Settings;
  std::vector<StoreLink> Links;
};

/// True when the error says that the store itself is in trouble, rather than
/// that it lacks a piece or has no room.
bool isStoreFailure(const Error &why);

} // namespace daisytack::serve
