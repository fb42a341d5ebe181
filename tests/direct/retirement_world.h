/// Simulates entries, the key-value service, a context store and engines
/// without a network. Entries agree on context to free by messages that may be
/// late or lost, while entries are killed, restart, are cut off or are
/// suspended. Only the decision code under test is real.
#pragma once

#include "direct/catalog.h"
#include "direct/follow_plan.h"
#include "direct/kept_context.h"
#include "direct/retirement.h"
#include "direct/revision.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace daisytack::direct::test {

constexpr Duration Tick{100'000};

/// Hooks for the keys "entry:NAME", "registered:ADDRESS", "holder", "retired",
/// "server:ID" and "weights:MODEL".
CatalogHooks worldHooks();

/// The simulated key-value service. Linearizable; keys with a lease are removed
/// when it expires.
class ModelService {
public:
  /// Response to a read, with the service's revision.
  struct Answer {
    std::vector<StoreRecord> Records;
    uint64_t Revision = 0;
  };

  uint64_t put(const std::string &key, const std::string &value,
               std::optional<TimePoint> leaseUntil = std::nullopt);
  void remove(const std::string &key);
  /// Restores the latest copy made at or before the given time, and begins a
  /// new era, in which revisions are reissued.
  void restore(TimePoint then);
  /// False if the key no longer exists or has been created again. The creation
  /// number identifies the key; see createdOf().
  bool renewLease(const std::string &key, uint64_t created, TimePoint until);
  void expireLeases(TimePoint now);
  /// Revision of the key; 0 if it does not exist.
  uint64_t revisionOf(const std::string &key) const;
  /// Number of the key's creation; 0 if it does not exist.
  uint64_t createdOf(const std::string &key) const;
  Answer readAll() const;
  /// All changes after the revision.
  Answer since(uint64_t revision) const;
  /// The keys that existed at the revision, with their revisions.
  std::map<std::string, uint64_t> keysAt(uint64_t revision) const;
  uint64_t revision() const { return Revision; }
  uint64_t era() const { return eraOf(Revision); }
  /// When the first change after the revision was made; empty if there is none.
  std::optional<TimePoint> changedAfter(uint64_t revision) const;
  /// Sets the simulated time and makes a copy for restore() once a second.
  void setNow(TimePoint now);

private:
  struct Item {
    StoreRecord Record;
    uint64_t Created = 0; ///< Never reused, not even after a restore.
    std::optional<TimePoint> LeaseUntil;
  };
  struct Snapshot {
    TimePoint At;
    std::map<std::string, Item> Items;
    uint64_t Revision = 0;
  };
  std::map<std::string, Item> Items;
  std::vector<Snapshot> Snapshots; ///< One per second.
  uint64_t LastCreated = 0;
  void appendHistory(const StoreRecord &record);
  std::vector<StoreRecord> History;
  std::vector<TimePoint> ChangedAt; ///< Time of each change in History.
  TimePoint Now;
  uint64_t Revision = 0;
};

/// One process of a simulated entry.
struct ModelEntry {
  ModelEntry(std::string name, Endpoint address, TimePoint now);

  std::string Name;
  Endpoint Address;
  size_t Instance = 0;
  TimePoint FrozenUntil;
  CatalogKeeper Catalog;
  KeptContext Kept;
  RetirementAgreement Agreement;
  FollowPlan Following;
  bool LeavesServiceToReaders = false; ///< Polls readers instead of watching.
  TimePoint ConfirmedAt{Duration(INT64_MIN / 2)};
  bool HasFullState = false; ///< Has read all since its watch began.
  bool HasReadAll = false;   ///< Has ever read the whole service.
  /// Time for which the entry knows everything that the service held.
  TimePoint CompleteAsOf{Duration(INT64_MIN / 2)};
  /// See SourceEligibility.
  TimePoint AnnouncedAsOf{Duration(INT64_MIN / 2)};
  uint64_t CompleteTo = 0; ///< Claims to know everything up to here.
  bool IsWatching = false;
  /// ModelService::createdOf() for the key of the announcement; 0: none.
  uint64_t AnnouncementCreated = 0;
  uint64_t Token = 0; ///< Revision of its holder record; 0: not the holder.
  /// ModelService::createdOf() for the holder's key.
  uint64_t HolderKeyCreated = 0;
  TimePoint RenewedAt;
  TimePoint NextRenewal;
  TimePoint NextWatch;
  TimePoint NextFree;
  TimePoint NextPeerRequest;
};

/// The simulation.
class RetirementWorld {
public:
  RetirementWorld(size_t entries, std::function<uint64_t()> random);

  /// Runs the simulation for the given time.
  void advance(Duration time);
  /// Increments the desired version of the weights, up to a maximum.
  void raiseDesiredVersion();
  /// Kills the entry, which restarts after the pause, at its old or a new
  /// address.
  void kill(size_t entry, Duration pause, bool atNewAddress);
  void killHolder();
  /// Kills a random entry unless it holds the order lease.
  void killFollower(Duration pause);
  void freeze(size_t entry, Duration time);
  /// This fault and the next two belong to the instance: they persist when its
  /// process restarts and end when it restarts at a new address.
  void cutFromService(size_t instance, bool isCut);
  void cutFromPeers(size_t instance, bool isCut);
  /// The service answers only reads from this instance.
  void refuseWrites(size_t instance, bool isRefused);
  /// Ends all watches: every entry must read the whole service again.
  void loseHistory();
  /// Restores the service from a copy of the given age. The operator and the
  /// servers then write again what the copy lacks.
  void restoreService(Duration age);
  void crashServer(size_t server, Duration pause);
  /// Sets the time between loads of new weights by two servers.
  void setUpdateInterval(Duration pause) { UpdateInterval = pause; }
  /// Sets the delay of all responses from the service.
  void setServiceDelay(Duration delay) { ServiceDelay = delay; }
  void setPeerDelay(Duration delay) { PeerDelay = delay; }

  /// Parts that were freed during a fetch; empty unless the agreement is
  /// broken.
  const std::vector<std::string> &violations() const { return Violations; }
  size_t freedParts() const { return FreedParts; }
  size_t fetches() const { return Fetches; }
  /// Number of entries that have called the service since the last call of this
  /// function.
  size_t takeCallerCount() { return std::exchange(Callers, {}).size(); }
  /// Describes an entry that claims to know everything up to a revision but
  /// does not; empty if there is none.
  std::string wrongClaim() const;
  /// Number of entries that have the current contents of the service.
  size_t upToDateEntries() const;
  /// Age of the oldest change that a running entry does not know.
  Duration longestLag() const;
  /// Ends all disconnections, suspensions and delays.
  void heal();
  /// Number of fetches named by entries that were not announced at that time.
  size_t unannouncedFetches() const { return UnannouncedFetches; }
  TimePoint now() const { return Now; }

private:
  using EntryPtr = std::shared_ptr<ModelEntry>;
  struct Server {
    uint64_t Version = 1;
    bool IsUp = true;
  };
  struct Instance {
    bool IsCutFromService = false;
    bool IsCutFromPeers = false;
    bool RefusesWrites = false;
  };
  struct Fetch {
    std::string Entry;
    TimePoint Until;
  };
  using PartKey = std::pair<std::string, std::string>; // Scope and part.

  void schedule(TimePoint time, std::function<void()> callback);
  /// Runs the callback for the entry once it is not suspended, if it still
  /// exists.
  void deliver(const EntryPtr &to, TimePoint time,
               std::function<void(ModelEntry &)> callback);
  void start(size_t index, const std::string &name, Endpoint address);
  void step(const EntryPtr &entry);
  void watch(const EntryPtr &entry);
  void renew(const EntryPtr &entry);
  void claimOrderLease(const EntryPtr &entry);
  /// Asks a random entry for records if the service is unreachable.
  void queryRandomPeer(const EntryPtr &entry);
  /// Carries out the step: stops or resumes the watch, and polls a reader.
  void follow(const EntryPtr &entry, const FollowStep &step);
  void requestRecords(const EntryPtr &entry, const EntryPtr &peer);
  /// Acts as the holder of the order lease if the entry holds it.
  void giveOrders(const EntryPtr &entry);
  void notify(const EntryPtr &entry, const NotifyEntry &notification);
  /// Writes the key if it has the expected revision and the entry still holds
  /// the order lease. An empty value removes the key.
  void write(const EntryPtr &entry, const std::string &key,
             const std::string &value, uint64_t expected);
  /// Makes the entry read everything again if the era is newer than its own.
  void noteEra(ModelEntry &entry, uint64_t era);
  /// Notes that the entry knows everything that the service held at that time.
  void noteCompleteAsOf(ModelEntry &entry, TimePoint at);
  bool isAnnounced(const ModelEntry &entry) const;
  bool canNameSources(const ModelEntry &entry) const;
  void free(const EntryPtr &entry);
  void nameSources(ModelEntry &entry);
  void onCatalog(ModelEntry &entry);
  EntryPtr entryAt(const Endpoint &address) const;
  bool isAlive(const EntryPtr &entry) const;
  bool isCutFromService(const EntryPtr &entry) const {
    return Instances[entry->Instance].IsCutFromService;
  }
  bool canWrite(const EntryPtr &entry) const {
    return !isCutFromService(entry) &&
           !Instances[entry->Instance].RefusesWrites;
  }
  bool isCutFromPeers(const EntryPtr &entry) const {
    return Instances[entry->Instance].IsCutFromPeers;
  }
  bool isFrozen(const ModelEntry &entry) const {
    return Now < entry.FrozenUntil;
  }
  void updateServers();
  uint64_t randomBelow(uint64_t n) { return Random() % n; }

  std::function<uint64_t()> Random;
  TimePoint Now;
  Duration ServiceDelay{10'000};
  Duration PeerDelay{5'000};
  ModelService Service;
  std::vector<EntryPtr> Entries;   ///< Null while down.
  std::vector<Instance> Instances; ///< Same index as Entries.
  Duration UpdateInterval{2'500'000};
  std::multimap<TimePoint, std::function<void()>> Events;
  std::map<std::string, Server> Servers;
  uint64_t Wanted = 1; ///< Desired version of the weights.
  TimePoint NextUpdate;
  int Addresses = 0;
  std::set<PartKey> StoredParts; ///< In the context store.
  std::map<PartKey, std::vector<Fetch>> RunningFetches;
  std::vector<std::string> Violations;
  size_t FreedParts = 0;
  size_t Fetches = 0;
  size_t UnannouncedFetches = 0;
  std::set<std::string> Callers; ///< Names; see takeCallerCount().
};

} // namespace daisytack::direct::test
