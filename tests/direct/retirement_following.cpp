/// How the entries of the model learn what the key-value service holds, and
/// what they claim to know of it.
#include "direct/peer_messages.h"
#include "direct/retirement_world.h"

#include <algorithm>

namespace daisytack::direct::test {

namespace {

constexpr Duration WatchWait{1'700'000};

} // namespace

void RetirementWorld::follow(const EntryPtr &entry, const FollowStep &step) {
  entry->IsResting = !step.WatchesService && entry->HasAll;
  if (!step.Ask)
    return;
  if (EntryPtr peer = byAddress(*step.Ask))
    ask(entry, peer);
}

void RetirementWorld::watch(const EntryPtr &entry) {
  if (entry->IsAsking || entry->IsResting || Now < entry->NextAsk)
    return;
  entry->IsAsking = true;
  Callers.insert(entry->Name);
  TimePoint askedAt = Now;
  if (isCutFromService(entry))
    return deliver(entry, Now + WatchWait, [this](ModelEntry &self) {
      self.IsAsking = false;
      self.NextAsk = Now + Tick;
    });
  // The adapter tells a watch of an earlier era that its history is gone.
  noteEra(*entry, Service.era());
  if (entry->Catalog.wantsSettling(Now))
    entry->HasAll = false;
  bool isFirst = !entry->HasAll;
  ModelService::Answer answer =
      isFirst ? Service.readAll() : Service.since(entry->CompleteTo);
  deliver(entry, Now + ServiceDelay,
          [this, answer, isFirst, askedAt](ModelEntry &self) {
            self.IsAsking = false;
            // As the adapter drops answers of an era before the latest.
            if (eraOf(answer.Revision) < eraOf(self.CompleteTo))
              return;
            self.NextAsk = Now + Tick * static_cast<int64_t>(1 + pick(3));
            if (isFirst)
              self.Catalog.applyAll(answer.Records, answer.Revision, Now);
            else
              self.Catalog.apply(answer.Records, Now);
            self.HasAll = true;
            self.CompleteTo = std::max(self.CompleteTo, answer.Revision);
            self.ConfirmedAt = Now;
            onCatalog(self);
            know(self, askedAt);
            self.HasReadAll = true;
          });
}

void RetirementWorld::askPeer(const EntryPtr &entry) {
  if (!isCutFromService(entry) || Now < entry->NextPeer)
    return;
  entry->NextPeer = Now + Duration(400'000);
  if (EntryPtr peer = Entries[pick(Entries.size())])
    ask(entry, peer);
}

void RetirementWorld::ask(const EntryPtr &entry, const EntryPtr &peer) {
  if (peer == entry || isCutFromPeers(entry) || isCutFromPeers(peer))
    return;
  uint64_t revision = entry->CompleteTo;
  TimePoint askedAt = Now;
  deliver(peer, Now + PeerDelay, [=, this](ModelEntry &other) {
    RecordsFound found;
    found.Records = other.Catalog.recordsSince(revision);
    found.CompleteTo = other.CompleteTo;
    found.ForgottenTo = other.Catalog.forgottenTo();
    found.RestoredTo = other.Catalog.restoredTo();
    Duration knownAgo = Now - other.KnownAt;
    Duration confirmedAgo = Now - other.ConfirmedAt;
    deliver(entry, Now + PeerDelay, [=, this](ModelEntry &self) {
      self.Catalog.onRestored(found.RestoredTo, Now);
      self.Catalog.apply(found.Records, Now);
      noteEra(self, eraOf(found.CompleteTo));
      onCatalog(self);
      if (!isWholeFor(found, revision))
        return;
      self.CompleteTo = std::max(self.CompleteTo, found.CompleteTo);
      know(self, askedAt - knownAgo);
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
    for (const StoreRecord &it : entry->Catalog.recordsSince(0))
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

size_t RetirementWorld::upToDate() const {
  return static_cast<size_t>(
      std::count_if(Entries.begin(), Entries.end(), [&](const EntryPtr &it) {
        return it && it->CompleteTo == Service.revision();
      }));
}

Duration RetirementWorld::longestBehind() const {
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

void RetirementWorld::know(ModelEntry &entry, TimePoint at) {
  if (at <= entry.KnownAt)
    return;
  entry.KnownAt = at;
  if (isListed(entry))
    entry.ListedAt = at;
}

bool RetirementWorld::isListed(const ModelEntry &entry) const {
  return entry.Catalog.view()->isListed(entry.Name, entry.Address);
}

} // namespace daisytack::direct::test
