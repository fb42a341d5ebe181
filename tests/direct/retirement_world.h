/// Entries, the key-value service, a store of kept context and engines, without
/// a network: the agreement on what may be freed runs over messages that are
/// late or lost, while entries are killed, start again, are cut off and stand
/// still. Only the decision code under test is real.
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

/// Keys "config", "entry:NAME", "registered:ADDRESS", "holder", "retired",
/// "server:ID",
/// "weights:MODEL".
CatalogHooks worldHooks();

/// Linearizable; keys under a lease go when it lapses.
class ModelService {
public:
  struct Answer {
    std::vector<StoreRecord> Records;
    uint64_t Revision = 0;
  };

  uint64_t put(const std::string &key, const std::string &value,
               std::optional<TimePoint> leaseUntil = std::nullopt);
  void remove(const std::string &key);
  /// Comes back as it was then or a little before; revisions are given out
  /// again, in a later era.
  void restore(TimePoint then);
  /// False when the key has gone, or was created anew.
  bool renewLease(const std::string &key, uint64_t created, TimePoint until);
  void expireLeases(TimePoint now);
  uint64_t revisionOf(const std::string &key) const;
  uint64_t createdOf(const std::string &key) const;
  Answer readAll() const;
  Answer since(uint64_t revision) const;
  /// All keys as they were at the revision.
  std::map<std::string, uint64_t> keysAt(uint64_t revision) const;
  uint64_t revision() const { return Revision; }
  uint64_t era() const { return eraOf(Revision); }
  /// When the first change after the revision was made.
  std::optional<TimePoint> changedAfter(uint64_t revision) const;
  /// For the times of changes.
  void setNow(TimePoint now);

private:
  struct Item {
    StoreRecord Record;
    uint64_t Created = 0; ///< Never given out twice.
    std::optional<TimePoint> LeaseUntil;
  };
  struct Snapshot {
    TimePoint At;
    std::map<std::string, Item> Items;
    uint64_t Revision = 0;
  };
  std::map<std::string, Item> Items;
  std::vector<Snapshot> Snapshots; ///< One each second.
  uint64_t LastCreated = 0;
  void appendHistory(const StoreRecord &record);
  std::vector<StoreRecord> History;
  std::vector<TimePoint> ChangedAt; ///< Of each of them.
  TimePoint Now;
  uint64_t Revision = 0;
};

/// One process of an entry.
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
  bool LeavesServiceToReaders =
      false; ///< Readers tell it what the service holds.
  TimePoint ConfirmedAt{Duration(INT64_MIN / 2)};
  bool HasFullState = false; ///< Of what it follows.
  bool HasReadAll = false;   ///< Ever.
  TimePoint CompleteAsOf{Duration(INT64_MIN / 2)};
  TimePoint AnnouncedAsOf{Duration(INT64_MIN / 2)};
  uint64_t CompleteTo = 0;
  bool IsWatching = false;
  uint64_t AnnouncementCreated = 0; ///< Creation revision of its key; 0: none.
  uint64_t Token = 0;               ///< As the holder.
  uint64_t HolderKeyCreated = 0;    ///< As that was created.
  TimePoint RenewedAt;
  TimePoint NextRenewal;
  TimePoint NextWatch;
  TimePoint NextFree;
  TimePoint NextPeerRequest;
};

class RetirementWorld {
public:
  RetirementWorld(size_t entries, std::function<uint64_t()> random);

  void advance(Duration time);
  void raiseDesiredVersion();
  /// Comes back after the pause, at the address that the name had or another.
  void kill(size_t entry, Duration pause, bool atNewAddress);
  void killHolder();
  /// Any other than the holder.
  void killFollower(Duration pause);
  void freeze(size_t entry, Duration time);
  /// These stay with the machine when its process starts again, and are over
  /// for one at a new address.
  void cutFromService(size_t instance, bool isCut);
  void cutFromPeers(size_t instance, bool isCut);
  /// The service answers its reads only.
  void refuseWrites(size_t instance, bool isRefused);
  /// Watches can't go on: every entry reads the whole service anew.
  void loseHistory();
  /// The service comes back from a copy that is so old. The operator and the
  /// servers write anew what they wrote since.
  void restoreService(Duration age);
  void crashServer(size_t server, Duration pause);
  /// Between two servers that take new weights.
  void setUpdateInterval(Duration pause) { UpdateInterval = pause; }
  /// All answers of the service take so long.
  void setServiceDelay(Duration delay) { ServiceDelay = delay; }
  void setPeerDelay(Duration delay) { PeerDelay = delay; }

  /// What was read after it was freed: nothing, when all is well.
  const std::vector<std::string> &violations() const { return Violations; }
  size_t freedParts() const { return FreedParts; }
  size_t fetches() const { return Fetches; }
  /// How many entries have read the service since the last look.
  size_t takeCallerCount() { return std::exchange(Callers, {}).size(); }
  /// Where an entry claims to know all up to a revision and does not; empty
  /// when all is well.
  std::string wrongClaim() const;
  /// Entries that know all that the service holds.
  size_t upToDateEntries() const;
  /// How old the oldest change is that an entry which runs does not know.
  Duration longestLag() const;
  /// Ends every cut, freeze and delay.
  void heal();
  /// Of these, by entries that are not announced any more.
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
  using PartKey = std::pair<std::string, std::string>; // Scope, part.

  void schedule(TimePoint time, std::function<void()> callback);
  /// Runs on the entry once it is awake, if it still lives.
  void deliver(const EntryPtr &to, TimePoint time,
               std::function<void(ModelEntry &)> callback);
  void start(size_t index, const std::string &name, Endpoint address);
  void step(const EntryPtr &entry);
  void watch(const EntryPtr &entry);
  void renew(const EntryPtr &entry);
  void claimOrderLease(const EntryPtr &entry);
  void queryRandomPeer(const EntryPtr &entry);
  /// Leaves the service to readers, or asks one of them.
  void follow(const EntryPtr &entry, const FollowStep &step);
  void requestRecords(const EntryPtr &entry, const EntryPtr &peer);
  void giveOrders(const EntryPtr &entry);
  void notify(const EntryPtr &entry, const NotifyEntry &notification);
  /// Without a value: removes the key.
  void write(const EntryPtr &entry, const std::string &key,
             const std::string &value, uint64_t expected);
  /// Reads everything anew where the service's era is a later one.
  void noteEra(ModelEntry &entry, uint64_t era);
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
  std::vector<Instance> Instances; ///< By the same index.
  Duration UpdateInterval{2'500'000};
  std::multimap<TimePoint, std::function<void()>> Events;
  std::map<std::string, Server> Servers;
  uint64_t Wanted = 1;
  TimePoint NextUpdate;
  int Addresses = 0;
  std::set<PartKey> StoredParts; ///< In the store.
  std::map<PartKey, std::vector<Fetch>> RunningFetches;
  std::vector<std::string> Violations;
  size_t FreedParts = 0;
  size_t Fetches = 0;
  size_t UnannouncedFetches = 0;
  std::set<std::string> Callers;
};

} // namespace daisytack::direct::test
