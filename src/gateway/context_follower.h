/// Follows the stores of kept context: which parts each holds, and the servers'
/// clock. The holder of the right to give orders also frees what nobody can use
/// any more.
#pragma once

#include "direct/call_pacing.h"
#include "direct/retirement.h"
#include "gateway/store_follower.h"
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
  Duration CallSlack{700'000};
  Duration FailurePause{500'000};
  /// A list of everything may take this long.
  Duration ListPatience{1'700'000};
  /// Between orders to free to one store.
  Duration FreePause{400'000};
  /// A list of everything is asked for at most so often after changes were
  /// missed; a missed change costs one prefill.
  Duration ListInterval{10'000'000};
  /// The order to free must reach the store within this.
  Duration FreePatience{1'000'000};
  size_t PartsPerFree = 200;
  direct::RetirementSettings Retirement;
  bool operator==(const ContextFollowerSettings &) const = default;
};

struct RetirementHooks {
  /// Tells one entry; learns whether it has agreed.
  std::function<void(const direct::TellEntry &,
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
  void retireOld(TimePoint now);
  void freeUnused(TimePoint now);
  void stop() { IsStopped = true; }

private:
  struct Followed {
    Endpoint Address;
    uint32_t Places = 1; ///< Waiting calls that it holds, of all entries.
    TimePoint CalledAt;
    uint64_t Epoch = 0;
    uint64_t Next = 0;
    bool WantsList = true;
    bool IsSilent = false; ///< The last call was not answered.
    std::optional<TimePoint> ListedAt;
    std::set<direct::PartRef> Broken; ///< By the last list.
    bool IsFreeing = false;
    TimePoint FreedAt;
    std::unique_ptr<net::Timer> Timer;
  };

  void next(const std::string &store);
  void list(const std::string &store);
  void poll(const std::string &store);
  void onList(const std::string &store,
              const std::optional<direct::PartList> &list);
  void onChanges(const std::string &store,
                 const std::optional<direct::PartChanges> &changes);
  void onFailure(const std::string &store);
  /// All places for waiting calls are taken: what is known stays.
  void onBusy(const std::string &store);
  void laterByPace(const std::string &store);
  void noteAnswered(const std::string &store, TimePoint now);
  void later(const std::string &store, Duration pause);
  std::vector<direct::PartRef>
  unused(const std::string &store, const Followed &followed,
         uint64_t unusedBelow,
         const std::vector<direct::Retirement> &freeable) const;
  void onAnswered(const direct::TellEntry &tell, bool hasAgreed);

  GatewayState &State;
  Strand On;
  ContextFollowerSettings Settings;
  RandomSource Random;
  direct::CallPacing Pacing;
  std::map<std::string, Followed> Stores;
  RetirementHooks Hooks;
  direct::RetirementAgreement Agreement;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
