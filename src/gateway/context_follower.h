/// Follows the stores of kept context: which parts each holds, and the servers'
/// clock. The holder of the right to give orders also frees what nobody can use
/// any more.
#pragma once

#include "direct/call_pacing.h"
#include "direct/placement.h"
#include "gateway/store_follower.h"

#include <boost/asio/steady_timer.hpp>

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
  /// Kept context of old weights is freed once no server has had them for so
  /// long: the longest fetch, and a server's report of its weights.
  Duration FreeDelay{4'000'000};
  /// The order to free must reach the store within this.
  Duration FreePatience{1'000'000};
  size_t PartsPerFree = 200;
  /// While servers move to new weights, the context of the old makes room ahead
  /// of them: the share of servers that have moved, and this much more.
  double RetireAhead = 0.25;
  /// Between tries to tell all entries.
  Duration RetireRetry{500'000};
  /// After all entries have agreed: the longest fetch, and its way.
  Duration RetireDelay{direct::LongestFetch + Duration(500'000)};
  bool operator==(const ContextFollowerSettings &) const = default;
};

/// Runs on its strand.
class ContextFollower : public std::enable_shared_from_this<ContextFollower> {
public:
  /// Tells all entries of a retirement; learns whether all have agreed.
  using TellAll = std::function<void(const direct::Retirement &,
                                     const std::function<void(bool)> &)>;

  ContextFollower(GatewayState &state, Strand strand,
                  ContextFollowerSettings settings, RandomSource random,
                  TellAll tellAll);

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
    std::set<direct::BrokenPart> Broken; ///< By the last list.
    bool IsFreeing = false;
    TimePoint FreedAt;
    std::unique_ptr<boost::asio::steady_timer> Timer;
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
  std::vector<direct::BrokenPart> unused(const std::string &store,
                                         const Followed &followed,
                                         uint64_t freeBelow) const;
  void onRetireAnswered(const direct::Retirement &wanted, bool allAgreed);
  /// Oldest version of any weights that a server has or may come back with.
  std::optional<uint64_t> oldestInUse(TimePoint now);

  GatewayState &State;
  Strand On;
  ContextFollowerSettings Settings;
  RandomSource Random;
  direct::CallPacing Pacing;
  std::map<std::string, Followed> Stores;
  TellAll Tell;
  direct::Retirement Asked; ///< Last told to all entries.
  bool IsAsking = false;
  TimePoint AskAgainAt;
  std::optional<TimePoint> AgreedAt; ///< When all had agreed to Asked.
  std::vector<direct::Retirement> Freeable;
  uint64_t OldestSeen = 0;
  TimePoint OldestSince;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
