/// Follows the context stores: which parts of prompts each holds, and the
/// servers' clock. At the holder of the order lease, it also frees context that
/// no server can use any more.
#pragma once

#include "direct/call_pacing.h"
#include "direct/retirement.h"
#include "gateway/holder_record.h"
#include "gateway/kv_service_follower.h"
#include "net/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace daisytack::gateway {

struct ContextFollowerSettings {
  /// Pacing of the calls for changes, of which a store holds only a few at
  /// once.
  direct::CallPacingSettings Pacing;
  /// Added to the time for which a store may hold a call, before the call is
  /// given up.
  Duration CallTimeoutMargin{700'000};
  Duration RetryInterval{500'000};
  /// Timeout of a call for the list of all parts.
  Duration ListTimeout{1'700'000};
  /// Time between two orders to free to the same store.
  Duration FreeInterval{400'000};
  /// Time between two lists of all parts after changes were missed; a missed
  /// change costs one prefill.
  Duration MinListInterval{10'000'000};
  /// Time within which an order to free must reach the store.
  Duration FreeTimeout{1'000'000};
  size_t MaxPartsPerFree = 200;
  direct::RetirementSettings Retirement;
  bool operator==(const ContextFollowerSettings &) const = default;
};

/// Calls that agree on retired context with other entries and record it.
struct RetirementHooks {
  /// Notifies one entry; the callback gets whether that entry agreed.
  std::function<void(const direct::NotifyEntry &,
                     const std::function<void(bool)> &)>
      Notify;
  /// Writes the record of retired context. Calls back whatever the outcome,
  /// which the watch of the key-value service shows.
  std::function<void(const direct::WriteRetired &,
                     const std::function<void()> &)>
      Write;
  /// Removes the registration of an entry and calls back like Write.
  std::function<void(const direct::RemoveRegistration &,
                     const std::function<void()> &)>
      Remove;
};

/// Does all its work on the strand passed to the constructor.
class ContextFollower : public std::enable_shared_from_this<ContextFollower> {
public:
  ContextFollower(GatewayState &state, Strand strand,
                  ContextFollowerSettings settings, RandomSource random,
                  RetirementHooks hooks,
                  std::shared_ptr<HolderRecord> epochRecord);

  /// Starts to follow stores that are new in the catalog.
  void onCatalog();
  /// Agrees with all entries on context that is no longer used. Call it only
  /// while this process holds the order lease.
  void retireUnused(TimePoint now);
  /// Frees context that all entries agreed is unused. Call it only while this
  /// process holds the order lease.
  void freeUnused(TimePoint now);
  /// Records epochs of stores that are settled. Call it only while this process
  /// holds the order lease.
  void recordSettledEpochs(TimePoint now);
  void stop() { IsStopped = true; }

private:
  struct FollowedStore {
    Endpoint Address;
    /// Limit on waiting calls that the store holds, from all entries together.
    uint32_t WatchCallLimit = 1;
    TimePoint CalledAt;
    /// Changes whenever the store restarts.
    uint64_t Epoch = 0;
    /// Sequence number from which to request changes.
    uint64_t Next = 0;
    /// Whether the list of all parts has to be read.
    bool NeedsList = true;
    bool IsUnreachable = false; ///< Whether the last call got no answer.
    std::optional<TimePoint> LastListAt;
    /// Incomplete parts in the last list.
    std::set<direct::PartRef> IncompleteParts;
    bool IsFreeing = false;
    TimePoint LastFreeAt;
    std::unique_ptr<net::Timer> Timer;
  };

  void callStore(const std::string &store);
  void requestList(const std::string &store);
  void pollChanges(const std::string &store);
  void onList(const std::string &store,
              const std::optional<direct::PartList> &list);
  void onChanges(const std::string &store,
                 const std::optional<direct::PartChanges> &changes);
  void onCallFailed(const std::string &store);
  /// Handles a call that the store rejected because it already holds too many.
  /// What is known of the store stays valid.
  void onBusy(const std::string &store);
  /// Timing of fetches and saves.
  direct::StoreTiming timingOf(const FollowedStore &followed) const;
  void scheduleNextPaced(const std::string &store);
  void markAnswered(const std::string &store, TimePoint now);
  void scheduleNext(const std::string &store, Duration pause);
  std::vector<direct::PartRef>
  unusedParts(const std::string &store, const FollowedStore &followed,
              uint64_t unusedBelow,
              const std::vector<direct::Retirement> &freeable) const;
  void onEntryAnswered(const direct::NotifyEntry &notification, bool hasAgreed);

  GatewayState &State;
  Strand Executor;
  ContextFollowerSettings Settings;
  RandomSource Random;
  direct::CallPacing Pacing;
  std::map<std::string, FollowedStore> Stores;
  RetirementHooks Hooks;
  std::shared_ptr<HolderRecord> EpochRecord;
  direct::RetirementAgreement Agreement;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
