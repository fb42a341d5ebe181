#include "direct/save_grants.h"

#include "base/digest.h"
#include "direct/rendezvous.h"

#include <algorithm>
#include <map>
#include <utility>

namespace daisytack::direct {

namespace {

constexpr char KeySeparator = '\n'; ///< Occurs in no store, scope or part.
/// Smaller differences between expected times are not significant.
constexpr uint32_t ExpectedStepMs = 50;

/// The epoch is left out: a save that was granted in an earlier epoch may still
/// be outstanding.
std::string keyOf(const PartSave &save) {
  return save.Store + KeySeparator + save.Scope + KeySeparator + save.Part;
}

uint64_t rankOf(uint64_t entryHash, uint64_t key) {
  return mix64(entryHash ^ key);
}

} // namespace

void sortQuestions(std::vector<SaveQuestion> &questions) {
  auto rank = [](const SaveQuestion &it) {
    return std::pair(it.Request.ExpectedMs / ExpectedStepMs,
                     stableHash(toString(it.Holder), it.Request.Number));
  };
  std::sort(questions.begin(), questions.end(),
            [&](const auto &a, const auto &b) { return rank(a) < rank(b); });
}

std::string SaveOwner::nameOf(const EntryPeer &entry) {
  return entry.Name + KeySeparator + toString(entry.Peer);
}

void SaveOwner::adopt(const std::vector<EntryPeer> &entries, TimePoint now) {
  Entries = entries;
  for (auto &[name, peer] : Peers)
    if (std::exchange(peer.IsListed, false))
      peer.ListedAt = now;
  Listed.clear();
  for (const EntryPeer &it : entries) {
    uint64_t hash = stableHash(it.Name);
    Peers[nameOf(it)] = {hash, now, true};
    Listed.emplace_back(hash, it.Peer);
  }
}

void SaveOwner::onEntries(const std::vector<EntryPeer> &entries,
                          TimePoint announcedAsOf, Duration grantTime,
                          TimePoint now) {
  if (entries != Entries)
    adopt(entries, now);
  std::erase_if(Peers, [&](const auto &it) {
    TimePoint over = it.second.ListedAt + memory(grantTime);
    if (it.second.IsListed || now < over)
      return false;
    OthersOverSince = std::max(OthersOverSince, over);
    return true;
  });
  auto self = Peers.find(Self);
  bool isListed = self != Peers.end() && self->second.IsListed;
  if (!isListed || announcedAsOf <= AnnouncedAsOf)
    return;
  // Another entry grants saves of this one's parts once it has not seen it
  // announced for memory(), by a state that may be MaxStateAge old.
  bool mayBeReplaced = announcedAsOf >= AnnouncedAsOf + grantTime;
  AnnouncedAsOf = announcedAsOf;
  if (!OwnerSince || mayBeReplaced)
    OwnerSince = announcedAsOf;
}

std::optional<Endpoint> SaveOwner::ownerOf(const PartSave &save) const {
  uint64_t key = stableHash(keyOf(save));
  auto it = std::max_element(
      Listed.begin(), Listed.end(), [&](const auto &a, const auto &b) {
        return rankOf(a.first, key) < rankOf(b.first, key);
      });
  if (it == Listed.end())
    return std::nullopt;
  return it->second;
}

std::optional<TimePoint> SaveOwner::soleSince(const PartSave &save,
                                              Duration grantTime,
                                              TimePoint now) const {
  bool isRecent = now < AnnouncedAsOf + Settings.MaxStateAge;
  auto self = Peers.find(Self);
  if (!OwnerSince || !isRecent || self == Peers.end())
    return std::nullopt;
  if (!SavesPossibleSince || AnnouncedAsOf < *SavesPossibleSince)
    return std::nullopt;
  TimePoint out = OthersOverSince;
  if (*OwnerSince != TimePoint::min())
    out = std::max(out, *OwnerSince + memory(grantTime));
  uint64_t key = stableHash(keyOf(save));
  uint64_t own = rankOf(self->second.Hash, key);
  for (const auto &[name, peer] : Peers) {
    if (rankOf(peer.Hash, key) <= own)
      continue;
    if (peer.IsListed)
      return std::nullopt;
    out = std::max(out, peer.ListedAt + memory(grantTime));
  }
  if (now < out)
    return std::nullopt;
  return out;
}

void SaveGrants::dropKnown(const CompleteAsOfHook &completeAsOf,
                           TimePoint now) {
  std::map<std::string, std::optional<TimePoint>> known;
  for (const auto &[key, it] : Grants)
    if (!known.contains(it.Store))
      known[it.Store] = completeAsOf(it.Store);
  std::erase_if(Grants, [&](const auto &it) {
    const std::optional<TimePoint> &asOf = known[it.second.Store];
    // A store that is new here, or comes back, is read whole first.
    return now >= it.second.Until && (!asOf || *asOf >= it.second.Until);
  });
}

bool SaveGrants::grant(const Endpoint &holder, const SaveGrantRequest &request,
                       std::optional<TimePoint> restartedAfter, TimePoint now) {
  std::string key = keyOf(request.Save);
  auto it = Grants.find(key);
  if (it != Grants.end()) {
    const Grant &known = it->second;
    if (known.Holder == holder && known.Number == request.Number)
      return true;
    // The store has dropped with its restart what the save made.
    bool isDropped = known.BegunAt && restartedAfter &&
                     *restartedAfter >= *known.BegunAt + Settings.MaxWriteDelay;
    if (!isDropped)
      return false;
  } else if (Grants.size() >= Settings.MaxGrants) {
    return false;
  }
  Grants[key] = {holder, request.Number, request.Save.Store, std::nullopt,
                 now + grantTimeFor(Duration(request.MaxWaitUs), Settings)};
  return true;
}

std::optional<TimePoint> SaveGrants::overSince(const PartSave &save,
                                               TimePoint now) const {
  auto it = Grants.find(keyOf(save));
  if (it == Grants.end() || now < it->second.Until)
    return std::nullopt;
  return it->second.Until;
}

void SaveGrants::onEnded(const Endpoint &holder, const SaveEnded &message,
                         TimePoint now) {
  auto it = Grants.find(keyOf(message.Save));
  if (it == Grants.end() || it->second.Holder != holder ||
      it->second.Number != message.Number)
    return;
  if (message.HasBegun)
    it->second.BegunAt = now;
  else
    Grants.erase(it);
}

} // namespace daisytack::direct
