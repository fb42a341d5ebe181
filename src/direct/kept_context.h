/// Which store of kept context holds which part of which prompts, as far as one
/// entry knows, and which parts it has asked to be saved.
///
/// Stores report a part when it is whole, late, and a few reports are lost. A
/// lost report of a new part costs one prefill. A part that was freed counts as
/// kept until that is heard; naming it costs the server one failed lookup, so
/// beliefs need not be exact, but a part that is being written must never be
/// taken for whole: only reports make a part known.
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

/// One change in a store. Scope and part name the kept context.
struct PartChange {
  uint64_t Number = 0; ///< Consecutive within an epoch.
  bool IsKept = false; ///< Whole from now on; false: gone.
  std::string Scope;
  std::string Part;
  uint32_t Tokens = 0;
  auto operator<=>(const PartChange &) const = default;
};

/// An answer to the question what has changed since a number.
struct PartChanges {
  uint64_t Epoch = 0;             ///< Differs after each restart of the store.
  uint64_t Next = 0;              ///< To ask from next.
  bool HasGap = false;            ///< Changes are missing.
  std::optional<int64_t> ClockMs; ///< Of the servers, at the answer.
  std::vector<PartChange> Changes;
  auto operator<=>(const PartChanges &) const = default;
};

/// Space that was reserved for a part whose save broke off.
struct PartRef {
  std::string Scope;
  std::string Part;
  auto operator<=>(const PartRef &) const = default;
};

/// Everything that a store holds.
struct PartList {
  uint64_t Epoch = 0;
  uint64_t Next = 0;
  std::vector<PartChange> Kept; ///< Numbers are not used.
  std::vector<PartRef> Incomplete;
  auto operator<=>(const PartList &) const = default;
};

/// Whether a part can be freed: it was made for weights before the version that
/// nobody has had for long enough, or is retired and not read any more.
bool isUnused(const PartRef &part, uint64_t freeBelow,
              const std::vector<Retirement> &agreed);

/// Text under which kept context is found: apart by weight version, and by
/// organisation where that is isolated.
std::string cacheScope(std::string_view organisation, bool isIsolated,
                       uint64_t version);
/// The version in such a text; nothing when it is another text.
std::optional<uint64_t> versionOfScope(std::string_view scope);

struct KeptContextSettings {
  /// A save that was asked for is not asked for again for so long: a prompt's
  /// prefill, its transfer and the report of it take about a second.
  Duration SaveMemory{4'000'000};
  /// Share of a store's capacity that saves may fill, as space is given out in
  /// blocks and other entries' saves are heard of late.
  double FillShare = 0.96;
  /// A part of more than this share of a store's capacity is not kept there
  /// for the sake of its link: a few of them would fill it, and nothing is
  /// freed while its weights are in use.
  double SmallPartShare = 1.0 / 64;
  /// A store in the failure domain of the server that will fetch the part is
  /// chosen so many times as often as another, so nearly always while it has
  /// room: transfers between domains keep its link busy twice as long.
  double NearWeight = 100;
  bool operator==(const KeptContextSettings &) const = default;
};

/// Thread-safe.
class KeptContext {
public:
  using StoreTest = std::function<bool(const ContextStoreTraits &)>;

  explicit KeptContext(KeptContextSettings settings) : Settings(settings) {}

  /// Takes over the stores of a configuration; those that are new hold nothing.
  void setStores(const std::vector<Service> &services);
  /// False when the store was restarted or changes are missing: everything that
  /// it holds should be listed anew.
  bool apply(const std::string &store, const PartChanges &changes);
  void apply(const std::string &store, const PartList &list);
  /// The store does not answer: nothing of it is offered until it does.
  void onUnreachable(const std::string &store);

  /// A store that holds the whole part, the nearest first, of those that may be
  /// used; without a test all may.
  std::optional<ContextStoreTraits> find(std::string_view scope,
                                         const PromptPart &part,
                                         std::string_view failureDomain,
                                         const StoreTest &mayUse = {}) const;
  /// Chooses a store for the part, in the failure domain of the server that
  /// will fetch it if that is known, and remembers that its save was asked for;
  /// nothing when a store holds it, or it was asked for lately, or none has
  /// room.
  ///
  /// The smallest parts go to the stores with the fastest links, as many as
  /// their share of all capacity holds, so that short prompts never wait behind
  /// the long transfers of others: a part of 8,600 tokens keeps a slow link
  /// busy for 40 to 80 ms.
  std::optional<ContextStoreTraits> planSave(std::string_view scope,
                                             const PromptPart &part,
                                             std::string_view failureDomain,
                                             TimePoint now,
                                             const StoreTest &mayUse = {});
  /// The save was not carried out.
  void cancelSave(std::string_view scope, const PromptPart &part);

  /// Parts of a share of sessions, made for weights before the version, are not
  /// offered any more, for good, so that they can be freed for those of newer
  /// weights.
  void retire(const Retirement &retirement);
  /// Known parts of the store that pass the test.
  std::vector<PartRef>
  partsWhere(const std::string &store,
             const std::function<bool(const PartRef &)> &test) const;
  /// The store has freed the parts, by its own answer; its report may be lost.
  void onFreed(const std::string &store, const std::vector<PartRef> &parts);
  size_t partsKnown() const;
  /// Room for further parts, as a share of what is held; over all stores. No
  /// room while none is known.
  double freeToUsedRatio() const;

private:
  struct Store {
    ContextStoreTraits Traits;
    uint64_t Epoch = 0;
    bool IsReachable = false;
    uint64_t UsedTokens = 0;
    std::unordered_map<std::string, uint32_t> Parts; ///< Tokens by key.
  };
  struct Save {
    TimePoint At;
    std::string Store;
    uint32_t Tokens = 0;
  };

  static std::string keyOf(std::string_view scope, std::string_view part);
  void addPart(Store &store, const std::string &key, uint32_t tokens);
  void removePart(Store &store, const std::string &key);
  void reset(Store &store, uint64_t epoch);
  void forgetOldSaves(TimePoint now);
  bool isRetired(std::string_view scope, std::string_view part) const;
  uint64_t plannedTokens(const std::string &store) const;
  /// Speed of the links of the stores that parts of the size belong to; nothing
  /// without a store.
  std::optional<double> linkFor(uint32_t tokens) const;
  /// Name of the reachable store with room, by rendezvous; null when there is
  /// none. With a speed: only among stores with such a link.
  const std::string *bestStore(const std::string &key, uint32_t tokens,
                               std::string_view failureDomain,
                               std::optional<double> linkMbps,
                               const StoreTest &mayUse) const;

  KeptContextSettings Settings;
  mutable std::mutex Lock;
  std::map<std::string, Store> Stores; ///< By the service's name.
  std::unordered_map<std::string, Save> Saves;
  PartSizes Sizes; ///< Of the parts that saves were wanted for.
  std::vector<Retirement> Retired;
};

} // namespace daisytack::direct
