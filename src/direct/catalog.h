/// What an entry believes of configuration and backend servers at one moment,
/// and the one place that changes it.
#pragma once

#include "base/rcu.h"
#include "daisytack/error.h"
#include "direct/records.h"

#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace daisytack::direct {

/// Stands for whoever has the right to give orders under a record that can't be
/// read: its key is taken all the same.
constexpr std::string_view UnknownHolder = "(unknown)";

/// A desired version, and when this process first heard of it.
struct DesiredVersion {
  uint64_t Version = 0;
  TimePoint Since;
};

/// Immutable; readers keep the one that they started with.
struct Catalog {
  std::shared_ptr<const ConfigIndex> Config; ///< Null until it is known.
  uint64_t ConfigRevision = 0;
  /// Servers that take new requests, sorted by id, by service. Only those of
  /// services that the configuration names, in domains that are not evacuated.
  std::map<std::string, std::vector<BackendServer>, std::less<>> Servers;
  /// All servers that are known, draining ones too, sorted by id.
  std::vector<BackendServer> AllServers;
  /// Weights of servers that were in use until their record was overwritten by
  /// one that names none: they may run on, and other entries not know it yet.
  std::vector<ModelVersion> LastKnownWeights;
  /// By model, in the order in which they were named; each keeps its own time.
  std::map<std::string, std::vector<DesiredVersion>, std::less<>>
      DesiredVersions;
  std::vector<EntryPeer> Entries; ///< This process too, once it is listed.
  /// Addresses that are registered, with the revision of each record.
  std::map<Endpoint, uint64_t> Registered;
  /// Differs from that of the catalog before when other addresses are.
  uint64_t RegisteredVersion = 0;
  /// Entry that may give orders; empty when none may, UnknownHolder when the
  /// record can't be read.
  std::string Holder;
  Endpoint HolderPeer;         ///< Port 0: not known.
  uint64_t HolderRevision = 0; ///< Of that record; 0: there is none.
  /// All that is retired: for good, also where the service came back from a
  /// copy that says less.
  std::vector<Retirement> Retired;
  std::vector<Retirement> RetiredInRecord; ///< What the record says.
  uint64_t RetiredRecordRevision = 0;      ///< Of it; 0: there is none.
  bool IsRetiredRecordReadable = true;
  /// Requests that are quarantined, with the revision of each record.
  std::map<Id128, uint64_t> Quarantined;
  /// Failure domains whose servers get nothing.
  std::set<std::string, std::less<>> Evacuated;
  /// Neither the service nor another entry tells what servers write: any of
  /// them may have become cold.
  bool AreRecordsStale = false;
  /// Of the service (direct/revision.h), and since when this process has known
  /// of it.
  uint64_t Era = 0;
  TimePoint EraSince;
  /// When this process learned that the service came back from an older copy;
  /// nothing where it has not seen that.
  std::optional<TimePoint> RestoredAt;

  const std::vector<BackendServer> &serversOf(std::string_view service) const;
  /// The entry of that name is announced at that address.
  bool isAnnounced(std::string_view name, const Endpoint &peer) const;
  /// The oldest version of weights that a server may still run on; nothing when
  /// no server has any.
  std::optional<uint64_t> oldestVersion() const;
  /// The newest version that is wanted of the model; 0 when none was named.
  uint64_t desiredVersion(std::string_view model) const;
  /// Since when a newer version than this one has been wanted.
  std::optional<TimePoint> behindSince(std::string_view model,
                                       uint64_t version) const;
};

/// Where servers have started that the earlier catalog did not know of, as far
/// as they tell when they started. Connections that were kept to these
/// addresses are to whatever was there before.
std::vector<Endpoint> addressesOfNewStarts(const Catalog &before,
                                           const Catalog &after);

struct CatalogSettings {
  /// After the store's return, a server whose entry lapsed meanwhile is kept so
  /// long: the platform promises living ones back in about two seconds.
  Duration ExpiryGrace{2'000'000};
  /// A desired version that is found at the first read may be as old as this:
  /// a third of the time in which it must be in force. Counted from the start
  /// of the process, a restart in the middle would double that time.
  Duration AgeAtFirstRead{5'000'000};
  /// After the service came back from an older copy, what was known before
  /// holds against the copy for so long: the operator and the servers write
  /// anew what they wrote since. Then the service is believed.
  Duration RestoreGrace{3'000'000};
  bool operator==(const CatalogSettings &) const = default;
};

/// Hooks to the store's format and to the log.
struct CatalogHooks {
  std::function<RecordSubject(std::string_view key)> SubjectOf;
  /// Nothing, with the reason, when the value can't be read.
  std::function<std::optional<RecordValue>(const StoreRecord &, Error &reason)>
      Decode;
  /// A belief changed: its subject, how, and the store's revision.
  std::function<void(const RecordSubject &, std::string_view change,
                     uint64_t revision, TimePoint now)>
      Changed;
  /// A record that can't be read, or names a service that isn't configured;
  /// once for each revision.
  std::function<void(const StoreRecord &, const Error &, TimePoint now)>
      Unreadable;
};

/// Merges records into the catalog and publishes it. One thread at a time calls
/// the commands; view() is thread-safe.
class CatalogKeeper {
public:
  CatalogKeeper(CatalogSettings settings, CatalogHooks hooks);

  /// Records from the store or from another entry. Older ones than those known
  /// have no effect.
  void apply(const std::vector<StoreRecord> &records, TimePoint now);
  /// Everything that the store holds at the revision: keys that are not among
  /// the records and not newer are gone.
  void applyAll(const std::vector<StoreRecord> &records, uint64_t revision,
                TimePoint now);
  /// The service has come back from an older copy, and what it holds up to the
  /// revision may be the copy's. Has no effect for an era that is known.
  void onRestored(uint64_t upTo, TimePoint now);
  /// What the service holds up to this revision may be a copy's; 0 where it has
  /// not come back from one.
  uint64_t restoredTo() const { return RestoredTo; }
  /// The grace after a restore is over, and all is to be read once more.
  bool needsReread(TimePoint now) const;
  /// A start of a server has a newer version of its weights than its record
  /// says. Has no effect on any other start, which has what its record says.
  void noteLoaded(const ServerStart &server, const ModelVersion &loaded,
                  TimePoint now);
  /// The store stopped answering, or answers again.
  void onStoreLost();
  void onStoreRecovered(TimePoint now);
  /// Whether neither the store nor another entry tells what servers write.
  /// Lost, the store counts as silent until this says otherwise.
  void setStale(bool isStale);
  /// How much longer servers that lapse with an outage are kept; 0 when none
  /// do.
  Duration graceLeft(TimePoint now) const;
  /// Another entry, which saw an outage that this one may not have seen, keeps
  /// them for so much longer.
  void onPeerGrace(Duration left, TimePoint now);
  /// Drops servers whose grace is over. Call a few times a second.
  void onTimer(TimePoint now);

  std::shared_ptr<const Catalog> view() const { return Published.load(); }
  const Rcu<Catalog> &published() const { return Published; }
  /// Highest revision merged so far.
  uint64_t revision() const { return HighestRevision; }
  /// Records that are newer than the revision, for another entry.
  std::vector<StoreRecord> recordsSince(uint64_t revision) const;
  /// Deletions up to this revision may be missing among them.
  uint64_t deletionsMissingTo() const { return DeletionsMissingTo; }

private:
  struct KeyState {
    StoreRecord Record;
    RecordSubject Subject;
    RecordValue Value; ///< Nothing when the record can't be read.
    /// Of the newest record that named a server in use, until it is deleted.
    std::vector<ModelVersion> LastUsableWeights;
    /// Deleted while the store was away: still counts until then.
    std::optional<TimePoint> KeptUntil;
    TimePoint ReadAt; ///< When this process read the record.
  };
  /// The last end of a domain's evacuation.
  struct EvacuationEnd {
    TimePoint At;
    uint64_t Revision = 0;
  };

  bool merge(const StoreRecord &record, TimePoint now);
  /// Whether what is known of the key is newer than the record.
  bool isOutdated(const StoreRecord &record, const KeyState &state,
                  TimePoint now) const;
  /// How the value compares by its own count of versions with what is known of
  /// the key, whatever their revisions; unordered where it has none.
  std::partial_ordering compareContent(const KeyState &state,
                                       const RecordValue &value) const;
  /// What is known of the key holds though the service, back from an older
  /// copy, does not have it.
  bool outlastsRestore(const KeyState &state) const;
  /// Holds the record, in place of the one before.
  void replaceState(const StoreRecord &record, const RecordSubject &subject,
                    RecordValue value, TimePoint now);
  /// It names no server: the one that its key named before is out of use. All
  /// else stays in force, as only its writer, or its end, can take it back: an
  /// entry that is not listed would not be asked before context is freed.
  bool mergeUnreadable(const StoreRecord &record, const RecordSubject &subject,
                       const Error &reason, TimePoint now);
  bool mergeDeletion(KeyState &state, uint64_t revision, TimePoint now);
  void publish(TimePoint now);
  void noteDesiredVersion(const ModelVersion &desired, TimePoint since);
  /// Whether the configuration names its service, and an engine its weights.
  /// Without a configuration every server counts.
  bool isConfigured(const BackendServer &server) const;
  /// Drops notes of versions that the server's record now says itself, so that
  /// a later record with older weights is believed, and those of other starts.
  void dropOutdatedNotes(const BackendServer &server, bool isRestart);
  /// The server with the versions that were noted ahead of its record.
  BackendServer withNotedVersions(const BackendServer &server) const;
  /// Until when the server counts as cold: for as long as its record said, from
  /// when it was read, as the time on its way is not known. After an evacuation
  /// servers are cold, and a record says so up to a heartbeat later.
  TimePoint coldUntil(const KeyState &state, const BackendServer &server) const;
  /// Adds the server to the lists that it belongs to.
  void addToLists(BackendServer server, Catalog &to) const;
  bool isInGrace(TimePoint now) const;
  /// Deletions are kept only so that entries can pass them on.
  void dropOldDeletions();

  CatalogSettings Settings;
  CatalogHooks Hooks;
  std::map<std::string, KeyState> Known; ///< By key; deleted ones too.
  std::shared_ptr<const ConfigIndex> Config;
  uint64_t ConfigRevision = 0;
  std::map<std::string, std::vector<DesiredVersion>, std::less<>>
      DesiredVersions;
  /// Noted ahead of records.
  std::map<ServerStart, ModelVersion> NotedVersions;
  std::map<std::string, EvacuationEnd, std::less<>>
      EvacuationEnds; ///< By failure domain.
  uint64_t HighestRevision = 0;
  uint64_t DeletionsMissingTo = 0;
  bool HasReadAll = false;
  bool IsFirstRead = false; ///< While the first read is merged.
  /// Everything that was retired in what this process has read.
  std::vector<Retirement> EverRetired;
  uint64_t Era = 0;
  TimePoint EraSince;
  uint64_t RestoredTo = 0;
  std::optional<TimePoint> RestoredAt;
  bool IsRestoreSettled = true; ///< Nothing is held against a copy.
  bool IsStoreLost = false;
  bool IsStale = false;
  std::optional<TimePoint> StoreRecoveredAt;
  Rcu<Catalog> Published;
};

} // namespace daisytack::direct
