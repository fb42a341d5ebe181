/// Follows the stores of kept context: which parts each holds, and the servers'
/// clock. The holder of the right to give orders also frees what nobody can use
/// any more.
#pragma once

#include "direct/call_pacing.h"
#include "direct/retirement.h"
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
  /// Of the calls for changes, which a store holds only a few of at once.
  direct::CallPacingSettings Pacing;
  /// A call is given up so long after the store should have answered it.
  Duration CallTimeoutMargin{700'000};
  Duration RetryInterval{500'000};
  /// A list of everything may take this long.
  Duration ListTimeout{1'700'000};
  /// Between orders to free to one store.
  Duration FreeInterval{400'000};
  /// A list of everything is asked for at most so often after changes were
  /// missed; a missed change costs one prefill.
  Duration MinListInterval{10'000'000};
  /// The order to free must reach the store within this.
  Duration FreeTimeout{1'000'000};
  size_t MaxPartsPerFree = 200;
  direct::RetirementSettings Retirement;
  bool operator==(const ContextFollowerSettings &) const = default;
};

struct RetirementHooks {
  /// Tells one entry; learns whether it has agreed.
  std::function<void(const direct::NotifyEntry &,
                     const std::function<void(bool)> &)>
      Tell;
  /// Done is called whatever came of it, as the service itself will tell.
  std::function<void(const direct::WriteRetired &,
                     const std::function<void()> &)>
      Write;
  std::function<void(const direct::RemoveRegistration &,
                     const std::function<void()> &)>
      Remove;
};

/// Runs on its strand.
class ContextFollower : public std::enable_shared_from_this<ContextFollower> {
public:
  ContextFollower(GatewayState &state, Strand strand,
                  ContextFollowerSettings settings, RandomSource random,
                  RetirementHooks hooks);

  /// Begins to follow stores that are new in the catalog.
  void onCatalog();
  /// Both only while this process may give orders: agrees with all entries on
  /// what is not used any more, and frees it.
  void retireUnused(TimePoint now);
  void freeUnused(TimePoint now);
  void stop() { IsStopped = true; }

private:
  struct FollowedStore {
    Endpoint Address;
    uint32_t WatchCallLimit =
        1; ///< Waiting calls that it holds, of all entries.
    TimePoint CalledAt;
    uint64_t Epoch = 0;
    uint64_t Next = 0;
    bool WantsList = true;
    bool IsSilent = false; ///< The last call was not answered.
    std::optional<TimePoint> LastListAt;
    std::set<direct::PartRef> IncompleteParts; ///< By the last list.
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
  /// All places for waiting calls are taken: what is known stays.
  void onBusy(const std::string &store);
  void scheduleNextPaced(const std::string &store);
  void markAnswered(const std::string &store, TimePoint now);
  void scheduleNext(const std::string &store, Duration pause);
  std::vector<direct::PartRef>
  unusedParts(const std::string &store, const FollowedStore &followed,
              uint64_t unusedBelow,
              const std::vector<direct::Retirement> &freeable) const;
  void onEntryAnswered(const direct::NotifyEntry &tell, bool hasAgreed);

  GatewayState &State;
  Strand Executor;
  ContextFollowerSettings Settings;
  RandomSource Random;
  direct::CallPacing Pacing;
  std::map<std::string, FollowedStore> Stores;
  RetirementHooks Hooks;
  direct::RetirementAgreement Agreement;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
