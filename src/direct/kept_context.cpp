#include "direct/kept_context.h"

#include "direct/rendezvous.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <set>
#include <utility>

namespace daisytack::direct {

namespace {

constexpr char KeySeparator = '\n'; ///< Occurs in no scope or part id.
constexpr char VersionSeparator = '@';

} // namespace

std::string cacheScope(std::string_view group, uint64_t version) {
  std::string out(group);
  out += VersionSeparator;
  return out + std::to_string(version);
}

std::optional<uint64_t> versionOfScope(std::string_view scope) {
  size_t at = scope.rfind(VersionSeparator);
  if (at == std::string_view::npos)
    return std::nullopt;
  uint64_t out = 0;
  const char *end = scope.data() + scope.size();
  auto result = std::from_chars(scope.data() + at + 1, end, out);
  if (result.ec != std::errc() || result.ptr != end)
    return std::nullopt;
  return out;
}

bool Retirement::covers(std::string_view scope, std::string_view part) const {
  std::optional<uint64_t> version = versionOfScope(scope);
  return version && *version < BelowVersion && unitHash(part) < Share;
}

std::string_view toString(SaveObstacle obstacle) {
  switch (obstacle) {
  case SaveObstacle::None:
    return "";
  case SaveObstacle::OtherEpoch:
    return "other_epoch";
  case SaveObstacle::NotSettled:
    return "not_settled";
  case SaveObstacle::NoRecentAnswer:
    return "no_recent_answer";
  case SaveObstacle::Incomplete:
    return "incomplete";
  case SaveObstacle::Retired:
    return "retired";
  case SaveObstacle::Kept:
    return "kept";
  }
  return "";
}

bool isUnused(const PartRef &part, uint64_t freeBelow,
              const std::vector<Retirement> &agreed) {
  if (versionOfScope(part.Scope).value_or(0) < freeBelow)
    return true;
  return std::any_of(agreed.begin(), agreed.end(), [&](const Retirement &it) {
    return it.covers(part.Scope, part.Part);
  });
}

std::string KeptContext::keyOf(std::string_view scope, std::string_view part) {
  std::string out(scope);
  out += KeySeparator;
  out += part;
  return out;
}

void KeptContext::setStores(const std::vector<Service> &services) {
  std::lock_guard guard(Lock);
  std::set<std::string> configured;
  for (const Service &service : services) {
    if (!service.Store)
      continue;
    configured.insert(service.Name);
    Stores[service.Name].Traits = *service.Store;
  }
  std::erase_if(Stores,
                [&](const auto &it) { return !configured.contains(it.first); });
}

bool KeptContext::adoptEpoch(const std::string &name, Store &store,
                             uint64_t epoch, const StoreTiming &timing,
                             TimePoint now) {
  if (store.Epoch == epoch)
    return false;
  if (store.Epoch)
    store.RestartedAfter = store.AnsweredAt;
  store.Epoch = epoch;
  store.FetchUntilMs.reset();
  store.IsComplete = false;
  // Also the first epoch that this process sees: the store may just have
  // restarted, and other entries may not know it yet.
  auto recorded = RecordedEpochs.find(name);
  bool isSettled =
      recorded != RecordedEpochs.end() && recorded->second == epoch;
  store.SaveFrom = isSettled ? now : now + timing.SaveDelay;
  clearParts(store);
  return true;
}

void KeptContext::onSettled(const std::vector<SettledEpoch> &epochs) {
  std::lock_guard guard(Lock);
  for (const SettledEpoch &it : epochs) {
    RecordedEpochs[it.Store] = it.Epoch;
    auto store = Stores.find(it.Store);
    if (store != Stores.end() && store->second.Epoch == it.Epoch)
      store->second.SaveFrom = TimePoint::min();
  }
}

std::vector<SettledEpoch> KeptContext::settledEpochs(TimePoint now) const {
  std::lock_guard guard(Lock);
  std::vector<SettledEpoch> out;
  for (const auto &[name, store] : Stores)
    if (store.Epoch && now >= store.SaveFrom)
      out.push_back({name, *store.Epoch});
  return out;
}

void KeptContext::clearParts(Store &store) {
  store.UsedTokens = 0;
  store.Parts.clear();
}

void KeptContext::addPart(Store &store, const std::string &key,
                          uint32_t tokens) {
  auto it = store.Parts.find(key);
  if (it == store.Parts.end()) {
    if (partCountLocked() >= Settings.MaxParts)
      return;
    it = store.Parts.emplace(key, 0).first;
  }
  store.UsedTokens += tokens - it->second;
  it->second = tokens;
}

void KeptContext::removePart(Store &store, const std::string &key) {
  auto it = store.Parts.find(key);
  if (it == store.Parts.end())
    return;
  store.UsedTokens -= it->second;
  store.Parts.erase(it);
}

bool KeptContext::apply(const std::string &name, const PartChanges &changes,
                        const StoreTiming &timing, TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Stores.find(name);
  if (it == Stores.end())
    return true;
  Store &store = it->second;
  store.IsReachable = true;
  bool isRestarted = adoptEpoch(name, store, changes.Epoch, timing, now);
  store.IsComplete &= !changes.HasGap;
  // Changes without a gap are the proof that no earlier one was lost. They
  // became known to the store's feed after the answer before this one, which
  // may be some time after they were made.
  if (store.IsComplete && !changes.Changes.empty())
    noteComplete(store, store.AnsweredAt - Settings.MaxReportDelay);
  store.AnsweredAt = now;
  store.FetchLease = timing.FetchLease;
  if (changes.ClockMs)
    store.FetchUntilMs = *changes.ClockMs + timing.FetchLease.count() / 1000;
  for (const PartChange &change : changes.Changes) {
    std::string key = keyOf(change.Scope, change.Part);
    if (change.IsKept)
      addPart(store, key, change.Tokens);
    else
      removePart(store, key);
    PendingSaves.erase(key);
  }
  return !isRestarted && !changes.HasGap;
}

void KeptContext::apply(const std::string &name, const PartList &list,
                        const StoreTiming &timing, TimePoint askedAt,
                        TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Stores.find(name);
  if (it == Stores.end())
    return;
  Store &store = it->second;
  adoptEpoch(name, store, list.Epoch, timing, now);
  clearParts(store);
  store.AnsweredAt = now;
  store.FetchLease = timing.FetchLease;
  store.IsReachable = true;
  store.IsComplete = true;
  noteComplete(store, askedAt);
  for (const PartChange &part : list.Kept)
    addPart(store, keyOf(part.Scope, part.Part), part.Tokens);
}

void KeptContext::onUnreachable(const std::string &store) {
  std::lock_guard guard(Lock);
  auto it = Stores.find(store);
  if (it != Stores.end())
    it->second.IsReachable = false;
}

std::optional<KeptSource>
KeptContext::find(std::string_view scope, const PromptPart &part,
                  std::string_view failureDomain, const StoreFilter &isAllowed,
                  std::optional<int64_t> fetchUntilMs) const {
  std::string key = keyOf(scope, part.Id);
  std::lock_guard guard(Lock);
  if (isRetired(scope, part.Id))
    return std::nullopt;
  std::optional<KeptSource> out;
  for (const auto &[name, store] : Stores) {
    if (!store.IsReachable || !store.Parts.contains(key))
      continue;
    if (isAllowed && !isAllowed(store.Traits))
      continue;
    if (fetchUntilMs && store.FetchUntilMs < *fetchUntilMs)
      continue; // Also if the store has not reported the servers' clock.
    bool isSameDomain = store.Traits.FailureDomain == failureDomain;
    if (!out || isSameDomain)
      out = KeptSource{store.Traits, store.FetchUntilMs};
  }
  return out;
}

bool KeptContext::isRetired(std::string_view scope,
                            std::string_view part) const {
  return std::any_of(Retired.begin(), Retired.end(), [&](const Retirement &it) {
    return it.covers(scope, part);
  });
}

uint64_t KeptContext::pendingTokens(const std::string &store) const {
  uint64_t out = 0;
  for (const auto &[key, save] : PendingSaves)
    if (save.Store == store)
      out += save.Tokens;
  return out;
}

void KeptContext::dropExpiredSaves(TimePoint now) {
  std::erase_if(PendingSaves, [&](const auto &it) {
    return now >= it.second.RequestedAt + Settings.SaveRequestTtl;
  });
}

std::optional<ContextStoreTraits>
KeptContext::planSave(std::string_view scope, const PromptPart &part,
                      std::string_view failureDomain, TimePoint now,
                      const StoreFilter &isAllowed) {
  std::string key = keyOf(scope, part.Id);
  std::lock_guard guard(Lock);
  dropExpiredSaves(now);
  if (PendingSaves.contains(key) || isRetired(scope, part.Id))
    return std::nullopt;
  for (const auto &[name, store] : Stores)
    if (store.Parts.contains(key) && (!isAllowed || isAllowed(store.Traits)))
      return std::nullopt;
  const std::string *name =
      bestStore(key, part.Tokens, failureDomain, preferredLinkMbps(part.Tokens),
                isAllowed, now);
  if (!name)
    name = bestStore(key, part.Tokens, failureDomain, std::nullopt, isAllowed,
                     now);
  if (!name)
    return std::nullopt;
  Sizes.observe(part.Tokens);
  const Store &store = Stores.at(*name);
  PendingSaves[key] = {now, *name, part.Tokens, store.Epoch.value_or(0)};
  return store.Traits;
}

std::optional<PartSave> KeptContext::plannedSave(std::string_view scope,
                                                 std::string_view part) const {
  std::lock_guard guard(Lock);
  auto it = PendingSaves.find(keyOf(scope, part));
  if (it == PendingSaves.end())
    return std::nullopt;
  return PartSave{it->second.Store, it->second.Epoch, std::string(scope),
                  std::string(part)};
}

std::optional<TimePoint>
KeptContext::completeAsOf(const std::string &store) const {
  std::lock_guard guard(Lock);
  auto it = Stores.find(store);
  return it == Stores.end() ? std::nullopt : it->second.CompleteAsOf;
}

void KeptContext::wantComplete(const std::string &store, TimePoint since,
                               TimePoint now) {
  std::lock_guard guard(Lock);
  auto it = Stores.find(store);
  if (it == Stores.end())
    return;
  Store &known = it->second;
  known.CompleteWantedSince = std::max(known.CompleteWantedSince, since);
  if (known.CompleteAsOf < since && !known.CompleteWantedAt)
    known.CompleteWantedAt = now;
}

bool KeptContext::needsList(const std::string &store, TimePoint now) const {
  std::lock_guard guard(Lock);
  auto it = Stores.find(store);
  return it != Stores.end() && it->second.CompleteWantedAt &&
         now >= *it->second.CompleteWantedAt + Settings.ListDelay;
}

void KeptContext::noteComplete(Store &store, TimePoint asOf) {
  store.CompleteAsOf = std::max(store.CompleteAsOf.value_or(asOf), asOf);
  if (store.CompleteAsOf >= store.CompleteWantedSince)
    store.CompleteWantedAt.reset();
}

std::optional<TimePoint>
KeptContext::restartedAfter(const std::string &store) const {
  std::lock_guard guard(Lock);
  auto it = Stores.find(store);
  return it == Stores.end() ? std::nullopt : it->second.RestartedAfter;
}

SaveObstacle KeptContext::obstacleTo(const PartSave &save, TimePoint soleSince,
                                     TimePoint now) const {
  std::lock_guard guard(Lock);
  auto it = Stores.find(save.Store);
  if (it == Stores.end() || it->second.Epoch != save.Epoch)
    return SaveObstacle::OtherEpoch;
  const Store &store = it->second;
  auto recorded = RecordedEpochs.find(save.Store);
  if (recorded == RecordedEpochs.end() || recorded->second != save.Epoch)
    return SaveObstacle::NotSettled;
  if (!store.IsReachable || now >= store.AnsweredAt + store.FetchLease)
    return SaveObstacle::NoRecentAnswer;
  if (!store.CompleteAsOf || *store.CompleteAsOf < soleSince)
    return SaveObstacle::Incomplete;
  if (isRetired(save.Scope, save.Part))
    return SaveObstacle::Retired;
  if (store.Parts.contains(keyOf(save.Scope, save.Part)))
    return SaveObstacle::Kept;
  return SaveObstacle::None;
}

std::optional<double> KeptContext::preferredLinkMbps(uint32_t tokens) const {
  struct Group { // Stores whose links have the same speed.
    uint64_t Capacity = 0;
    uint64_t LargestStore = 0;
  };
  std::map<double, Group, std::greater<>> groups; // Fastest first.
  uint64_t total = 0;
  for (const auto &[name, store] : Stores) {
    Group &group = groups[store.Traits.LinkMbps];
    uint64_t capacity = store.Traits.CapacityTokens;
    group.Capacity += capacity;
    group.LargestStore = std::max(group.LargestStore, capacity);
    total += capacity;
  }
  if (groups.empty())
    return std::nullopt;
  double rank = Sizes.rank(tokens).value_or(0);
  uint64_t cumulative = 0;
  for (const auto &[link, group] : groups) {
    cumulative += group.Capacity;
    bool isWithinShare =
        rank * static_cast<double>(total) < static_cast<double>(cumulative);
    bool isSmall = tokens <= static_cast<double>(group.LargestStore) *
                                 Settings.SmallPartShare;
    if (isWithinShare && isSmall)
      return link;
  }
  return groups.rbegin()->first;
}

const std::string *KeptContext::bestStore(const std::string &key,
                                          uint32_t tokens,
                                          std::string_view failureDomain,
                                          std::optional<double> linkMbps,
                                          const StoreFilter &isAllowed,
                                          TimePoint now) const {
  const std::string *best = nullptr;
  double bestScore = 0;
  for (const auto &[name, store] : Stores) {
    if (linkMbps && store.Traits.LinkMbps != *linkMbps)
      continue;
    if (isAllowed && !isAllowed(store.Traits))
      continue;
    auto capacity = static_cast<double>(store.Traits.CapacityTokens);
    auto neededTokens =
        static_cast<double>(store.UsedTokens + tokens + pendingTokens(name));
    if (!store.IsReachable || now < store.SaveFrom ||
        neededTokens > capacity * Settings.MaxFillShare)
      continue;
    bool isSameDomain = store.Traits.FailureDomain == failureDomain;
    double weight =
        isSameDomain ? capacity * Settings.SameDomainWeight : capacity;
    double score = rendezvousScore(key, name, weight);
    if (best && score <= bestScore)
      continue;
    best = &name;
    bestScore = score;
  }
  return best;
}

void KeptContext::cancelSave(std::string_view scope, const PromptPart &part) {
  std::lock_guard guard(Lock);
  PendingSaves.erase(keyOf(scope, part.Id));
}

void KeptContext::retire(const Retirement &retirement) {
  std::lock_guard guard(Lock);
  for (Retirement &known : Retired) {
    if (known.BelowVersion != retirement.BelowVersion)
      continue;
    known.Share = std::max(known.Share, retirement.Share);
    return;
  }
  Retired.push_back(retirement);
}

std::vector<PartRef> KeptContext::partsWhere(
    const std::string &name,
    const std::function<bool(const PartRef &)> &predicate) const {
  std::lock_guard guard(Lock);
  std::vector<PartRef> out;
  auto it = Stores.find(name);
  if (it == Stores.end())
    return out;
  for (const auto &[key, tokens] : it->second.Parts) {
    size_t at = key.find(KeySeparator);
    PartRef part{key.substr(0, at), key.substr(at + 1)};
    if (predicate(part))
      out.push_back(std::move(part));
  }
  return out;
}

void KeptContext::onFreed(const std::string &name,
                          const std::vector<PartRef> &parts) {
  std::lock_guard guard(Lock);
  auto it = Stores.find(name);
  if (it == Stores.end())
    return;
  for (const PartRef &part : parts)
    removePart(it->second, keyOf(part.Scope, part.Part));
}

double KeptContext::freeToUsedRatio() const {
  std::lock_guard guard(Lock);
  double used = 0;
  double free = 0;
  for (const auto &[name, store] : Stores) {
    if (!store.IsReachable)
      continue;
    auto storeTokens = static_cast<double>(store.UsedTokens);
    used += storeTokens;
    free += std::max(0.0, static_cast<double>(store.Traits.CapacityTokens) *
                                  Settings.MaxFillShare -
                              storeTokens);
  }
  return used > 0 ? free / used : 0;
}

size_t KeptContext::partsKnown() const {
  std::lock_guard guard(Lock);
  return partCountLocked();
}

size_t KeptContext::partCountLocked() const {
  size_t out = 0;
  for (const auto &[name, store] : Stores)
    out += store.Parts.size();
  return out;
}

} // namespace daisytack::direct
