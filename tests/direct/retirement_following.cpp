/// How the simulated entries follow the key-value service, and checks of the
/// state that they claim to have.
#include "direct/peer_messages.h"
#include "direct/retirement_world.h"

#include <algorithm>

namespace daisytack::direct::test {

namespace {

/// Time until a watch of an unreachable service fails.
constexpr Duration WatchWait{1'700'000};

} // namespace

void RetirementWorld::follow(const EntryPtr &entry, const FollowStep &step) {
  entry->LeavesServiceToReaders = !step.WatchesService && entry->HasFullState;
  if (!step.PollTarget)
    return;
  if (EntryPtr peer = entryAt(*step.PollTarget))
    requestRecords(entry, peer);
}

void RetirementWorld::watch(const EntryPtr &entry) {
  if (entry->IsWatching || entry->LeavesServiceToReaders ||
      Now < entry->NextWatch)
    return;
  entry->IsWatching = true;
  Callers.insert(entry->Name);
  TimePoint askedAt = Now;
  if (isCutFromService(entry))
    return deliver(entry, Now + WatchWait, [this](ModelEntry &self) {
      self.IsWatching = false;
      self.NextWatch = Now + Tick;
    });
  // The store adapter tells a watch of an earlier era that its history is gone.
  noteEra(*entry, Service.era());
  if (entry->Catalog.needsReread(Now))
    entry->HasFullState = false;
  bool isFirst = !entry->HasFullState;
  ModelService::Answer answer =
      isFirst ? Service.readAll() : Service.since(entry->CompleteTo);
  deliver(entry, Now + ServiceDelay,
          [this, answer, isFirst, askedAt](ModelEntry &self) {
            self.IsWatching = false;
            // Like the store adapter, drop responses of earlier eras.
            if (eraOf(answer.Revision) < eraOf(self.CompleteTo))
              return;
            self.NextWatch =
                Now + Tick * static_cast<int64_t>(1 + randomBelow(3));
            if (isFirst)
              self.Catalog.applyAll(answer.Records, answer.Revision, Now);
            else
              self.Catalog.apply(answer.Records, Now);
            self.HasFullState = true;
            self.CompleteTo = std::max(self.CompleteTo, answer.Revision);
            self.ConfirmedAt = Now;
            onCatalog(self);
            noteCompleteAsOf(self, askedAt);
            self.HasReadAll = true;
          });
}

void RetirementWorld::queryRandomPeer(const EntryPtr &entry) {
  if (!isCutFromService(entry) || Now < entry->NextPeerRequest)
    return;
  entry->NextPeerRequest = Now + Duration(400'000);
  if (EntryPtr peer = Entries[randomBelow(Entries.size())])
    requestRecords(entry, peer);
}

void RetirementWorld::requestRecords(const EntryPtr &entry,
                                     const EntryPtr &peer) {
  if (peer == entry || isCutFromPeers(entry) || isCutFromPeers(peer))
    return;
  uint64_t revision = entry->CompleteTo;
  TimePoint askedAt = Now;
  deliver(peer, Now + PeerDelay, [=, this](ModelEntry &other) {
    RecordsResponse found;
    found.Records = other.Catalog.recordsSince(revision, SIZE_MAX).Records;
    found.CompleteTo = other.CompleteTo;
    found.DeletionsMissingTo = other.Catalog.deletionsMissingTo();
    found.RestoredTo = other.Catalog.restoredTo();
    Duration knownAgo = Now - other.CompleteAsOf;
    Duration confirmedAgo = Now - other.ConfirmedAt;
    deliver(entry, Now + PeerDelay, [=, this](ModelEntry &self) {
      self.Catalog.onRestored(found.RestoredTo, Now);
      self.Catalog.apply(found.Records, Now);
      noteEra(self, eraOf(found.CompleteTo));
      onCatalog(self);
      if (!isCompleteFor(found, revision))
        return;
      self.CompleteTo = std::max(self.CompleteTo, found.CompleteTo);
      noteCompleteAsOf(self, askedAt - knownAgo);
      self.ConfirmedAt = std::max(self.ConfirmedAt, askedAt - confirmedAgo);
      self.Following.onAnswer(askedAt - confirmedAgo, Now);
    });
  });
}

std::string RetirementWorld::wrongClaim() const {
  for (const EntryPtr &entry : Entries) {
    if (!entry)
      continue;
    std::map<std::string, StoreRecord> known;
    for (const StoreRecord &it :
         entry->Catalog.recordsSince(0, SIZE_MAX).Records)
      known[it.Key] = it;
    std::map<std::string, uint64_t> truth = Service.keysAt(entry->CompleteTo);
    for (const auto &[key, revision] : truth)
      if (known[key].Revision < revision)
        return entry->Name + " lacks " + key;
    for (const auto &[key, record] : known) {
      bool isClaimed =
          !record.IsDeleted && record.Revision <= entry->CompleteTo;
      if (isClaimed && !truth.contains(key))
        return entry->Name + " still has " + key;
    }
  }
  return {};
}

size_t RetirementWorld::upToDateEntries() const {
  return static_cast<size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const EntryPtr &it) {
        return it && it->CompleteTo == Service.revision();
      }));
}

Duration RetirementWorld::longestLag() const {
  Duration out{0};
  for (const EntryPtr &it : Entries) {
    if (!it)
      continue;
    auto since = Service.changedAfter(it->CompleteTo);
    if (since)
      out = std::max<Duration>(out, Now - *since);
  }
  return out;
}

void RetirementWorld::noteCompleteAsOf(ModelEntry &entry, TimePoint at) {
  if (at <= entry.CompleteAsOf)
    return;
  entry.CompleteAsOf = at;
  if (isAnnounced(entry))
    entry.AnnouncedAsOf = at;
}

bool RetirementWorld::isAnnounced(const ModelEntry &entry) const {
  return entry.Catalog.view()->isAnnounced(entry.Name, entry.Address);
}

} // namespace daisytack::direct::test
