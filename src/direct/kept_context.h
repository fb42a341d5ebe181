/// Index of the kept context that one entry knows of: which store holds which
/// parts of which prompts, and which parts the entry has instructed servers to
/// save.
/// Kept context is what a server's prefill of a prompt part has computed.
///
/// Stores report a part once it is complete. Reports arrive late, and a few are
/// lost. A lost report of a new part costs one prefill. A part that was freed
/// counts as kept until the report of it arrives; naming it as a source costs
/// the server one failed lookup. So the index may be out of date, but it must
/// never list a part that is still being written: only reports add parts to it.
///
/// A store that restarts loses all parts. Entries learn of it at different
/// times, and a server that fetches a part while it is saved again would read
/// an incomplete one. Parts are therefore fetched only up to a time counted
/// from the answer that they are known from, and an entry that learns of a
/// restart requests no save to the store before that time has passed for all
/// earlier answers (StoreTiming). Then the epoch is settled. Settled epochs are
/// recorded, so that an entry that starts doesn't have to wait again.
#pragma once

#include "direct/exchange.h"
#include "direct/part_sizes.h"
#include "direct/records.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisytack::direct {

/// One change in a store. The scope (cacheScope()) and the part's id together
/// identify the kept context.
struct PartChange {
  uint64_t Number = 0; ///< Sequence number, consecutive within an epoch.
  bool IsKept = false; ///< True: now complete in the store. False: removed.
  std::string Scope;
  std::string Part;
  uint32_t Tokens = 0;
  auto operator<=>(const PartChange &) const = default;
};

/// A store's response with its changes after a given sequence number.
struct PartChanges {
  uint64_t Epoch = 0;  ///< Differs after each restart of the store.
  uint64_t Next = 0;   ///< Sequence number to request changes from next time.
  bool HasGap = false; ///< Whether changes are missing from the response.
  std::optional<int64_t> ClockMs; ///< The servers' clock at the response.
  std::vector<PartChange> Changes;
  auto operator<=>(const PartChanges &) const = default;
};

/// Identifies one part of kept context within a store.
struct PartRef {
  std::string Scope;
  std::string Part;
  auto operator<=>(const PartRef &) const = default;
};

/// Full listing of a store's contents.
struct PartList {
  uint64_t Epoch = 0;
  uint64_t Next = 0;
  std::vector<PartChange> Kept; ///< Complete parts; Number is unused.
  /// Parts whose save has not completed, and may have been aborted. They take
  /// up space in the store.
  std::vector<PartRef> Incomplete;
  auto operator<=>(const PartList &) const = default;
};

/// Identifies the save of a part to a store in one of the store's epochs.
struct PartSave {
  std::string Store; ///< Service name.
  uint64_t Epoch = 0;
  std::string Scope;
  std::string Part;
  auto operator<=>(const PartSave &) const = default;
  template <class Archive> void serialize(Archive &ar) {
    ar(Store, Epoch, Scope, Part);
  }
};

/// What this process knows of a store that speaks against a save to it.
enum class SaveObstacle : uint8_t {
  None,
  OtherEpoch,     ///< The store is not known, or in another epoch.
  NotSettled,     ///< No record names the epoch as settled.
  NoRecentAnswer, ///< The store may have restarted since it last answered.
  Incomplete,     ///< Not all that others may have had saved is known.
  Retired,        ///< The part will not be named again.
  Kept            ///< The store holds the part.
};

/// Name of the obstacle in logs; empty for None.
std::string_view toString(SaveObstacle obstacle);

/// Whether a part can be freed: it belongs to weights older than version
/// `freeBelow`, which no server has run for long enough, or it is covered by
/// one of the retirements that all entries have agreed to, and no longer
/// fetched.
bool isUnused(const PartRef &part, uint64_t freeBelow,
              const std::vector<Retirement> &agreed);

/// Scope that kept context is stored under, for the organisations of a group
/// (direct/context_group.h) and the weight version that computes it.
std::string cacheScope(std::string_view group, uint64_t version);
/// The weight version in a scope; nullopt when the text is not a scope.
std::optional<uint64_t> versionOfScope(std::string_view scope);

/// Timing of the fetches from a store and of the saves to it. It depends on how
/// often entries call the store. SaveDelay must not be shorter than the
/// FetchLease of any entry.
struct StoreTiming {
  /// Time, after an answer of the store, within which fetches of the parts that
  /// are known from it must end.
  Duration FetchLease{4'000'000};
  /// Time, after the first answer that shows a new epoch, during which no save
  /// to the store is requested.
  Duration SaveDelay{4'000'000};
  auto operator<=>(const StoreTiming &) const = default;
};

/// A store from which a server can fetch a part.
struct KeptSource {
  ContextStoreTraits Store;
  /// Deadline of the fetch in Unix milliseconds by the servers' clock; empty if
  /// the store has not reported that clock in this epoch.
  std::optional<int64_t> FetchUntilMs;
  bool operator==(const KeptSource &) const = default;
};

struct KeptContextSettings {
  /// Time during which the save of a part is not requested again. The prompt's
  /// prefill, the transfer and the store's report together take about a second.
  Duration SaveRequestTtl{4'000'000};
  /// Share of a store's capacity that saves may fill. The rest is a reserve, as
  /// stores allocate space in blocks and other entries' saves are reported
  /// late.
  double MaxFillShare = 0.96;
  /// A part larger than this share of a store's capacity is not assigned to the
  /// store because of its fast link: a few such parts would fill the store, and
  /// nothing is freed while its weights are in use.
  double SmallPartShare = 1.0 / 64;
  /// Factor on the weight of stores in the failure domain of the server that
  /// will fetch the part. So large that such a store is nearly always chosen
  /// while it has space: a transfer between domains keeps the store's link busy
  /// twice as long.
  double SameDomainWeight = 100;
  /// Longest time until a store tells of a change. The platform names no bound.
  Duration MaxReportDelay{2'000'000};
  /// How long the proof that all of a store is known is waited for before the
  /// store is listed, which stalls its work. Longer than MaxReportDelay.
  Duration ListDelay{4'000'000};
  /// Maximum number of parts known, over all stores; about 150 bytes each.
  /// Further ones are computed again rather than fetched.
  size_t MaxParts = 200'000;
  bool operator==(const KeptContextSettings &) const = default;
};

/// Thread-safe.
class KeptContext {
public:
  using StoreFilter = std::function<bool(const ContextStoreTraits &)>;

  explicit KeptContext(KeptContextSettings settings) : Settings(settings) {}

  /// Adopts the stores of a configuration. New stores start out empty.
  void setStores(const std::vector<Service> &services);
  /// Applies reported changes. Returns false when the store was restarted or
  /// changes are missing; the caller should then request a full listing.
  bool apply(const std::string &store, const PartChanges &changes,
             const StoreTiming &timing, TimePoint now);
  void apply(const std::string &store, const PartList &list,
             const StoreTiming &timing, TimePoint askedAt, TimePoint now);
  /// Adopts epochs that another entry found to be settled.
  void onSettled(const std::vector<SettledEpoch> &epochs);
  /// The current epochs that are settled, by store.
  std::vector<SettledEpoch> settledEpochs(TimePoint now) const;
  /// The store does not respond: its parts are not offered until it does.
  void onUnreachable(const std::string &store);

  /// A store that holds the complete part and passes the filter, preferably one
  /// in the given failure domain; nullopt when there is none. An empty filter
  /// accepts all stores. With a time, in Unix milliseconds by the servers'
  /// clock, leaves out stores from which a fetch can't last until then.
  std::optional<KeptSource>
  find(std::string_view scope, const PromptPart &part,
       std::string_view failureDomain, const StoreFilter &isAllowed = {},
       std::optional<int64_t> fetchUntilMs = std::nullopt) const;
  /// Chooses a store that the part is to be saved to, and records the request.
  /// Prefers the failure domain of the server that will fetch the part; an
  /// empty one means that it is not known. Returns nullopt when a store already
  /// holds the part, its save was requested recently, or no store has space.
  /// Leaves out stores whose restart became known within SaveDelay.
  ///
  /// The smallest parts go to the stores with the fastest links, up to these
  /// stores' share of the total capacity. So short prompts do not wait behind
  /// the long transfers of others: a part of 8,600 tokens keeps a slow link
  /// busy for 40 to 80 ms.
  std::optional<ContextStoreTraits> planSave(std::string_view scope,
                                             const PromptPart &part,
                                             std::string_view failureDomain,
                                             TimePoint now,
                                             const StoreFilter &isAllowed = {});
  /// The save of the part that was planned last; nullopt if it was withdrawn or
  /// a store has reported the part since.
  std::optional<PartSave> plannedSave(std::string_view scope,
                                      std::string_view part) const;
  /// Why the owner of the part (direct/save_grants.h) can't grant the save, as
  /// far as the state of the store tells. The epoch must be recorded as
  /// settled, so that whoever finds no record knows that no save was granted.
  /// What others may have had saved before `soleSince` must be known.
  SaveObstacle obstacleTo(const PartSave &save, TimePoint soleSince,
                          TimePoint now) const;
  /// When this process last knew all that the store keeps; nullopt if it never
  /// did. Some reports of a store never arrive, and only the next one shows it.
  std::optional<TimePoint> completeAsOf(const std::string &store) const;
  /// A save can't be granted until all that the store kept at some time after
  /// `since` is known.
  void wantComplete(const std::string &store, TimePoint since, TimePoint now);
  /// Whether the store is to be listed for wantComplete(), as it has reported
  /// no change for some time.
  bool needsList(const std::string &store, TimePoint now) const;
  /// When the store last answered in an epoch before the current one; nullopt
  /// if this process knows of no restart.
  std::optional<TimePoint> restartedAfter(const std::string &store) const;
  /// Withdraws a save that was planned but not carried out.
  void cancelSave(std::string_view scope, const PromptPart &part);

  /// Permanently stops offering the parts that the retirement covers, so that
  /// they can be freed to make space for context of newer weights.
  void retire(const Retirement &retirement);
  /// Known parts of the store that the predicate accepts.
  std::vector<PartRef>
  partsWhere(const std::string &store,
             const std::function<bool(const PartRef &)> &predicate) const;
  /// The store has confirmed that it freed the parts. Its report of the change
  /// may be lost.
  void onFreed(const std::string &store, const std::vector<PartRef> &parts);
  size_t partsKnown() const;
  /// Free space in all reachable stores, divided by the space in use; 0 when no
  /// part is known.
  double freeToUsedRatio() const;

private:
  struct Store {
    ContextStoreTraits Traits;
    std::optional<uint64_t> Epoch; ///< Empty until the store has answered.
    std::optional<int64_t> FetchUntilMs; ///< See KeptSource.
    TimePoint SaveFrom; ///< No save is requested before this time.
    TimePoint AnsweredAt;
    std::optional<TimePoint> RestartedAfter; ///< See restartedAfter().
    Duration FetchLease{0}; ///< As of the last answer; see StoreTiming.
    bool IsReachable = false;
    /// Whether all changes of this epoch are known, from a list and the reports
    /// since.
    bool IsComplete = false;
    std::optional<TimePoint> CompleteAsOf; ///< In this epoch or an earlier one.
    TimePoint CompleteWantedSince;         ///< See wantComplete().
    std::optional<TimePoint> CompleteWantedAt; ///< When it was asked for first.
    uint64_t UsedTokens = 0;
    std::unordered_map<std::string, uint32_t> Parts; ///< Tokens by keyOf().
  };
  struct PendingSave {
    TimePoint RequestedAt;
    std::string Store;
    uint32_t Tokens = 0;
    uint64_t Epoch = 0;
  };

  /// All that the store kept at the time is known.
  static void noteComplete(Store &store, TimePoint asOf);
  static std::string keyOf(std::string_view scope, std::string_view part);
  void addPart(Store &store, const std::string &key, uint32_t tokens);
  size_t partCountLocked() const;
  void removePart(Store &store, const std::string &key);
  /// Adopts the epoch of an answer; returns whether it is a new one, in which
  /// nothing is known to be kept.
  bool adoptEpoch(const std::string &name, Store &store, uint64_t epoch,
                  const StoreTiming &timing, TimePoint now);
  void clearParts(Store &store);
  void dropExpiredSaves(TimePoint now);
  bool isRetired(std::string_view scope, std::string_view part) const;
  /// Tokens of all pending saves to the store.
  uint64_t pendingTokens(const std::string &store) const;
  /// Link speed, in Mbit/s, of the stores that parts of this size belong to;
  /// nullopt when there are no stores.
  std::optional<double> preferredLinkMbps(uint32_t tokens) const;
  /// Name of the store that rendezvous hashing selects among those that are
  /// reachable, open to saves and have space; null when there is none. With a
  /// link speed, considers only the stores that have exactly that speed.
  const std::string *bestStore(const std::string &key, uint32_t tokens,
                               std::string_view failureDomain,
                               std::optional<double> linkMbps,
                               const StoreFilter &isAllowed,
                               TimePoint now) const;

  KeptContextSettings Settings;
  mutable std::mutex Lock;
  std::map<std::string, Store> Stores; ///< By service name.
  /// Settled epochs by service name, as recorded; a store may have restarted.
  std::map<std::string, uint64_t> RecordedEpochs;
  std::unordered_map<std::string, PendingSave> PendingSaves; ///< By keyOf().
  PartSizes Sizes; ///< Sizes of the parts whose save was planned.
  std::vector<Retirement> Retired;
};

} // namespace daisytack::direct
