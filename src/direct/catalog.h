/// The catalog: an entry's view of the configuration, the backend servers and
/// the other records of the key-value service ("the store" in the names below).
/// CatalogKeeper merges records into it; readers use immutable snapshots.
#pragma once

#include "base/rcu.h"
#include "daisytack/error.h"
#include "direct/desired_versions.h"
#include "direct/record_history.h"
#include "direct/record_transfer.h"
#include "direct/records.h"
#include "direct/store_uptime.h"

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisytack::direct {

/// Catalog::Holder when the record of the order lease exists but can't be
/// decoded: the lease is taken, by an unknown entry.
constexpr std::string_view UnknownHolder = "(unknown)";

/// A quarantine in the store.
struct RecordedQuarantine {
  uint64_t Revision = 0; ///< Of its record.
  std::vector<uint64_t> CrashedServers;
  auto operator<=>(const RecordedQuarantine &) const = default;
};

/// One immutable snapshot.
struct Catalog {
  std::shared_ptr<const ConfigIndex> Config; ///< Null until it is known.
  uint64_t ConfigRevision = 0; ///< Revision of the configuration's record.
  /// By service name: the servers that take new requests, sorted by id. Only
  /// servers of configured services, in failure domains that are not evacuated.
  std::map<std::string, std::vector<BackendServer>, std::less<>> Servers;
  OldestVersionMap OldestVersions;
  /// All usable servers, including draining ones and those in evacuated
  /// domains, sorted by id.
  std::vector<BackendServer> AllServers;
  /// Last known weights of servers whose current record can't be decoded or
  /// doesn't match the configuration. Such a server may still be running, and
  /// other entries may still send requests to it.
  std::vector<ModelVersion> LastKnownWeights;
  DesiredVersionMap DesiredVersions;
  /// Announced entries, including this process once its record is known.
  std::vector<EntryPeer> Entries;
  /// Registered entry addresses, with the revision of each record.
  std::map<Endpoint, uint64_t> Registered;
  /// Incremented whenever the set of registered addresses changes.
  uint64_t RegisteredVersion = 0;
  /// Name of the entry that holds the order lease; empty when nobody does,
  /// UnknownHolder when the record can't be decoded.
  std::string Holder;
  Endpoint HolderPeer;         ///< The holder's address; port 0: not known.
  uint64_t HolderRevision = 0; ///< Revision of the record; 0: no record.
  /// Everything that was ever retired. A retirement is permanent: it stays in
  /// force even if the store is restored from a copy that lacks it.
  std::vector<Retirement> Retired;
  std::vector<Retirement> RetiredInRecord; ///< Contents of the store's record.
  uint64_t RetiredRecordRevision = 0;      ///< Its revision; 0: no record.
  bool IsRetiredRecordReadable = true;     ///< Whether the record was decoded.
  /// Recorded times of desired versions, see timesToRecord().
  std::vector<DesiredVersionTime> RolloutTimes;
  uint64_t RolloutTimesRevision = 0;       ///< Revision of the record; 0: none.
  std::vector<SettledEpoch> SettledEpochs; ///< As recorded.
  uint64_t SettledEpochsRevision = 0;      ///< Revision of the record; 0: none.
  /// Quarantined signatures, with the revision of each record.
  std::map<Id128, RecordedQuarantine> Quarantined;
  /// Failure domains whose servers get no requests.
  std::set<std::string, std::less<>> Evacuated;
  /// Neither the store nor another entry supplies updates at present. Any
  /// server may have restarted and be cold without this entry knowing.
  bool AreRecordsStale = false;
  uint64_t Era = 0;   ///< Era of the store (direct/revision.h); 0: not known.
  TimePoint EraSince; ///< When this process learned of the era.
  /// When this process learned that the store was restored from an older copy;
  /// empty if no restore was seen.
  std::optional<TimePoint> RestoredAt;

  /// Servers of the service that take new requests; empty if it has none.
  const std::vector<BackendServer> &serversOf(std::string_view service) const;
  /// Whether this start of a server takes new requests, as far as records tell.
  bool takesRequests(ServerRef server) const;
  /// Whether an entry with this name is announced at this address.
  bool isAnnounced(std::string_view name, const Endpoint &peer) const;
  /// The oldest version of weights that any server may still use; empty if no
  /// server has weights.
  std::optional<uint64_t> oldestVersion() const;
  /// The newest desired version of the model; 0 if none is known.
  uint64_t desiredVersion(std::string_view model) const;
  /// When the first version newer than this one became desired; empty if this
  /// version is up to date.
  std::optional<TimePoint> outdatedSince(std::string_view model,
                                         uint64_t version) const;
  /// Ages of the desired versions that servers have yet to load, except for
  /// ages that this process only assumes; MaxVersionAges at most.
  std::vector<DesiredVersionAge> rolloutAges(TimePoint now) const;
};

/// Addresses of server starts that are in the second catalog but not in the
/// first. Connections that are kept open to these addresses belong to an
/// earlier process. Servers that report no start time are left out.
std::vector<Endpoint> addressesOfNewStarts(const Catalog &before,
                                           const Catalog &after);

/// Size in bytes of the values in one answer to another entry.
constexpr size_t MaxPageBytes = 64U << 10;

/// Records for another entry, by ascending revision.
struct RecordPage {
  std::vector<StoreRecord> Records;
  std::vector<RecordOffer> Offers; ///< Large records, in place of their values.
  /// The page holds all that is newer than what was asked for up to here.
  uint64_t UpTo = 0;
  bool HasMore = false;
};

/// Timing of CatalogKeeper.
struct CatalogSettings {
  /// How long a server whose record expired during an outage of the store is
  /// kept after the store's recovery. The platform promises that running
  /// servers register again within about two seconds.
  Duration ExpiryGrace{2'000'000};
  /// How long a server is kept whose record was removed by a store that answers
  /// again. The record may have expired all the same, as it could not be
  /// renewed in time. Or the server leaves, and must get no requests later than
  /// 2 s after the removal; the difference covers the way of the news and that
  /// of a request.
  Duration LateExpiryGrace{1'500'000};
  /// Shortest outage in which a lease may run out: servers renew leases of
  /// three heartbeats with each heartbeat, of 1.2 s. Longer than the time
  /// between two answers to an entry that waits for changes.
  Duration MinOutage{2'300'000};
  /// Assumed age of a desired version that is found at the first read, until
  /// another entry tells its age: a third of the time within which it must be
  /// in force. Counting from the start of the process instead would let a
  /// restart double that time.
  Duration AgeAtFirstRead{5'000'000};
  /// Other entries' times of a version are taken over if they are earlier by
  /// more than this; a datagram's delay alone is shorter.
  Duration VersionAgeTolerance{200'000};
  /// After a restore of the store, how long the state known before takes
  /// precedence over the restored copy, while the operator and the servers
  /// write again what the copy lacks. After that the store is authoritative.
  Duration RestoreGrace{3'000'000};
  bool operator==(const CatalogSettings &) const = default;
};

/// A server that stays listed although its record was removed, as the record
/// may have expired in an outage of the store.
struct KeptServer {
  std::string Id;
  uint64_t Revision = 0;    ///< Of the removal.
  Duration KeptFor{0};      ///< For how long it is kept.
  Duration AnsweringFor{0}; ///< For how long the store has answered again.
  auto operator<=>(const KeptServer &) const = default;
};

/// Hooks to the store's format and to the log.
struct CatalogHooks {
  /// What a key of the store is about.
  std::function<RecordSubject(std::string_view key)> SubjectOf;
  /// Decodes a record. On failure returns nothing and sets the reason.
  std::function<std::optional<RecordValue>(const StoreRecord &, Error &reason)>
      Decode;
  /// Called when a record is added, changed or removed. The change is "new",
  /// "changed", "restarted", "lapsed" or "gone"; the revision is the store's.
  std::function<void(const RecordSubject &, std::string_view change,
                     uint64_t revision, TimePoint now)>
      Changed;
  /// Called when an outage of the store ends, with the period that follows it;
  /// once more if it turns out to have ended earlier, and without a period if
  /// it turns out to have been none. May be empty.
  std::function<void(const std::optional<AnswerPeriod> &, TimePoint now)>
      OutageSeen;
  /// Called when a removed server stays listed; may be empty.
  std::function<void(const KeptServer &, TimePoint now)> Kept;
  /// Called once per revision of a record that can't be decoded, or of a server
  /// that doesn't match the configuration.
  std::function<void(const StoreRecord &, const Error &, TimePoint now)>
      Unreadable;
};

/// Merges records into the catalog and publishes it. view() and published() are
/// thread-safe; the other members are called by one thread at a time.
class CatalogKeeper {
public:
  CatalogKeeper(CatalogSettings settings, CatalogHooks hooks);

  /// Merges records from the store or from another entry. Records older than
  /// the known ones have no effect.
  void apply(const std::vector<StoreRecord> &records, TimePoint now);
  /// Merges the complete contents of the store at the revision. Known keys that
  /// are missing from the records and not newer than the revision are deleted.
  void applyAll(const std::vector<StoreRecord> &records, uint64_t revision,
                TimePoint now);
  /// The store was restored from an older copy; its records up to the revision
  /// may come from that copy. Has no effect if the revision's era is known.
  void onRestored(uint64_t upTo, TimePoint now);
  /// Records of the store up to this revision may come from a restored copy; 0
  /// if no restore was seen.
  uint64_t restoredTo() const { return RestoredTo; }
  /// Whether the grace period after a restore is over, so that the whole store
  /// must be read again.
  bool needsReread(TimePoint now) const;
  /// A server has loaded newer weights than its record says. Applies to this
  /// start of the server only.
  void noteLoaded(const ServerStart &server, const ModelVersion &loaded,
                  TimePoint now);
  /// Another entry or the store's record tells for how long versions have been
  /// desired. The ages that
  /// this process only assumes, or that it takes to be smaller since it heard
  /// of the version late, are replaced. Returns those that were.
  std::vector<DesiredVersionAge>
  onPeerAges(const std::vector<DesiredVersionAge> &ages, TimePoint now);
  /// The store stopped answering this entry.
  void onStoreLost();
  /// The store answered this entry, and had this revision. Call it before the
  /// records of the answer are merged.
  void onStoreAnswered(uint64_t revision, TimePoint now);
  /// What another entry knows of the store's answers. Call it before the
  /// records of that entry are merged.
  void onPeerAnswers(const PeerAnswers &answers, TimePoint now);
  /// The store's answers to any entry.
  const StoreUptime &storeUptime() const { return Uptime; }
  /// Whether a removed server stays listed.
  bool keepsServers() const;
  /// Sets Catalog::AreRecordsStale. onStoreLost() sets it too, until this call
  /// or the store's next answer clears it.
  void setStale(bool isStale);
  /// Drops servers whose grace period is over. Call a few times a second.
  void onTimer(TimePoint now);

  std::shared_ptr<const Catalog> view() const { return Published.load(); }
  const Rcu<Catalog> &published() const { return Published; }
  /// Highest revision merged so far.
  uint64_t revision() const { return HighestRevision; }
  /// Records newer than the revision, including deletions, for another entry:
  /// the oldest ones whose values have this size in bytes together.
  RecordPage recordsSince(uint64_t revision,
                          size_t maxBytes = MaxPageBytes) const;
  /// The newest known revision of the key; 0: the key is not known.
  uint64_t revisionOf(std::string_view key) const;
  /// The value of the key at the revision; null if it is not held.
  const std::string *valueAt(std::string_view key, uint64_t revision) const;
  /// Deletions up to this revision may be missing from recordsSince().
  uint64_t deletionsMissingTo() const { return DeletionsMissingTo; }

private:
  /// The newest known record of a key, and what was derived from it.
  struct KeyState {
    StoreRecord Record;
    RecordSubject Subject;
    /// Decoded value. If the newest record can't be decoded: empty for a
    /// server, the last value that could be decoded for any other kind. Always
    /// empty for the configuration, which CatalogKeeper::Config holds.
    RecordValue Value;
    /// Weights in the newest record that described a usable server. Not carried
    /// over across a deletion.
    std::vector<ModelVersion> LastUsableWeights;
    /// Set if the record may have expired in an outage: the server counts as
    /// present until then.
    std::optional<TimePoint> KeptUntil;
    TimePoint ReadAt; ///< When this process read the record.
  };
  /// The most recent end of a failure domain's evacuation.
  struct EvacuationEnd {
    TimePoint At;
    uint64_t Revision = 0;
  };

  /// Whether the record's key is not known although the store was read later:
  /// the key was deleted since. An answer of another entry may be that old.
  bool isUnknownAndOld(const StoreRecord &record) const;
  /// Merges one record and returns whether the catalog changed.
  bool merge(const StoreRecord &record, TimePoint now);
  /// Whether the known state of the key takes precedence over the record.
  bool isOutdated(const StoreRecord &record, const KeyState &state,
                  TimePoint now) const;
  /// Compares the value with the known state of the key by the version numbers
  /// inside the values, regardless of their revisions. Unordered if the values
  /// have no comparable versions.
  std::partial_ordering compareContent(const KeyState &state,
                                       const RecordValue &value) const;
  /// Whether the known state of the key stays in force although the store,
  /// after a restore, lacks the key.
  bool outlastsRestore(const KeyState &state) const;
  /// Replaces the known state of the record's key.
  void replaceState(const StoreRecord &record, const RecordSubject &subject,
                    RecordValue value, TimePoint now);
  /// Merges a record that can't be decoded. A server is taken out of use. For
  /// any other kind the previous value stays in force until the record is
  /// rewritten or deleted: dropping an entry, for example, would let context be
  /// freed without its agreement.
  bool mergeUnreadable(const StoreRecord &record, const RecordSubject &subject,
                       const Error &reason, TimePoint now);
  /// Marks the key as deleted and returns whether the catalog changed.
  bool mergeDeletion(KeyState &state, uint64_t revision, TimePoint now);
  void publish(TimePoint now);
  void noteDesiredVersion(const ModelVersion &desired, TimePoint now);
  /// Whether the configuration has the server's service and, for an engine, the
  /// server has weights of all configured models. True while no configuration
  /// is known.
  bool isConfigured(const BackendServer &server) const;
  /// Drops the server's noted version once its record has reached it, so that a
  /// later record with older weights takes effect. After a restart also drops
  /// notes of other starts.
  void dropOutdatedNotes(const BackendServer &server, bool isRestart);
  /// A copy of the server, raised to the version noted ahead of its record.
  BackendServer withNotedVersions(const BackendServer &server) const;
  /// Until when the server counts as cold. The remaining time in its record is
  /// counted from when the record was read, because the record's transit time
  /// is unknown. Servers are also cold after an evacuation, which their records
  /// reflect only up to one heartbeat later.
  TimePoint coldUntil(const KeyState &state, const BackendServer &server) const;
  /// Adds the server to AllServers, its weights to OldestVersions and, if it
  /// takes requests, the server to Servers.
  void addToLists(BackendServer server, Catalog &to) const;
  /// Until when a server is kept whose record was removed at this revision;
  /// empty if the record can't have expired in an outage.
  std::optional<TimePoint> keptUntil(uint64_t revision, TimePoint now) const;
  /// Whether the server stays listed although its record was removed.
  bool isKept(const KeyState &state, TimePoint now) const;
  /// Corrects until when servers are kept, after the period of the store's
  /// answers changed.
  void updateKept(TimePoint now);
  /// Drops servers that are no longer kept.
  void dropExpired(TimePoint now);
  /// Drops the oldest deletions when too many are kept. Deletions are kept only
  /// to be passed on to other entries.
  void dropOldDeletions();

  CatalogSettings Settings;
  CatalogHooks Hooks;
  /// By key, including deleted keys.
  std::map<std::string, KeyState, std::less<>> States;
  RecordHistory Replaced;
  std::shared_ptr<const ConfigIndex> Config;
  uint64_t ConfigRevision = 0;
  DesiredVersions Versions;
  /// Versions that servers have loaded ahead of their records; see
  /// noteLoaded().
  std::map<ServerStart, ModelVersion> NotedVersions;
  std::map<std::string, EvacuationEnd, std::less<>>
      EvacuationEnds; ///< By failure domain.
  uint64_t HighestRevision = 0;
  uint64_t DeletionsMissingTo = 0;
  bool HasReadAll = false;  ///< Whether applyAll() was ever called.
  bool IsFirstRead = false; ///< Set while the first read is being merged.
  /// Union of all retirements that this process has read.
  std::vector<Retirement> EverRetired;
  uint64_t Era = 0;
  TimePoint EraSince;
  uint64_t RestoredTo = 0;
  std::optional<TimePoint> RestoredAt;
  /// False from a restore until the store has been read again after the grace
  /// period.
  bool IsRestoreSettled = true;
  bool IsStale = false;
  StoreUptime Uptime;
  bool IsAfterOutage = false; ///< As last told to CatalogHooks::OutageSeen.
  Rcu<Catalog> Published;
};

/// Access to the keeper's records, which must outlive the result.
RecordLookup lookupIn(const CatalogKeeper &keeper);

} // namespace daisytack::direct
