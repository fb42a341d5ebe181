#include "direct/retirement_world.h"

#include "direct/catalog_fixture.h"
#include "direct/order_right.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace daisytack::direct::test {

namespace {

constexpr Duration LeaseTerm{3'000'000};
/// The holder acts for so long after a renewal was sent.
constexpr Duration ActTerm{2'000'000};
constexpr Duration Renewal{900'000};
constexpr Duration CallTimeout{700'000};
constexpr Duration FreeDelayMost{900'000};
constexpr Duration FreePause{400'000};
constexpr int PartsPerVersion = 6;
constexpr uint64_t MostVersion = 3;
const std::string StoreName = "store";

std::string scopeOf(uint64_t version) { return cacheScope("", false, version); }

Endpoint endpointOf(std::string_view text) {
  return parseEndpoint(std::string(text)).value_or(Endpoint{});
}

std::string textOf(const std::vector<Retirement> &retired) {
  std::string out;
  for (const Retirement &it : retired)
    out +=
        std::to_string(it.BelowVersion) + " " + std::to_string(it.Share) + " ";
  return out;
}

RetiredContext readRetired(const std::string &text) {
  RetiredContext out;
  std::istringstream in(text);
  Retirement it;
  while (in >> it.BelowVersion >> it.Share)
    out.What.push_back(it);
  return out;
}

direct::Service storeService() {
  direct::Service out;
  out.Name = StoreName;
  out.Store = ContextStoreTraits{};
  out.Store->CapacityTokens = 1'000'000;
  return out;
}

} // namespace

/// One reader, so that even three entries have followers.
FollowSettings worldReaders() {
  FollowSettings out;
  out.LeastReaders = 1;
  return out;
}

CatalogHooks worldHooks() {
  CatalogHooks out;
  out.SubjectOf = textSubject;
  out.Decode = [](const StoreRecord &record,
                  Error &) -> std::optional<FactValue> {
    FactSubject subject = textSubject(record.Key);
    if (subject.Kind == FactKind::Entry)
      return EntryPeer{subject.Name, endpointOf(record.Value)};
    if (subject.Kind == FactKind::Holder)
      return OrderHolder{record.Value};
    if (subject.Kind == FactKind::Registration)
      return EntryRegistration{endpointOf(record.Value)};
    if (subject.Kind == FactKind::Retired)
      return readRetired(record.Value);
    uint64_t version = std::stoull(record.Value);
    if (subject.Kind == FactKind::Weights)
      return DesiredWeights{{subject.Name, version}};
    BackendServer server;
    server.Id = subject.Name;
    server.Service = "engines";
    server.Weights = {{"m", version}};
    return server;
  };
  out.Changed = [](const FactSubject &, std::string_view, uint64_t, TimePoint) {
  };
  out.Unreadable = [](const StoreRecord &, const Error &, TimePoint) {};
  return out;
}

ModelEntry::ModelEntry(std::string name, Endpoint address, TimePoint now)
    : Name(std::move(name)), Address(std::move(address)),
      Catalog({}, worldHooks()), Kept({}), Agreement({}, Address),
      Following(worldReaders(), {Name, Address}), NextRenewal(now),
      NextAsk(now), NextFree(now), NextPeer(now) {}

RetirementWorld::RetirementWorld(size_t entries,
                                 std::function<uint64_t()> random)
    : Random(std::move(random)), Now(Duration(1'000'000'000)) {
  for (int i = 0; i < 4; ++i) {
    std::string id = "s" + std::to_string(i);
    Servers[id] = {};
    Service.put("server:" + id, "1");
  }
  for (uint64_t version = 1; version <= MostVersion; ++version)
    for (int i = 0; i < PartsPerVersion; ++i)
      Whole.insert({scopeOf(version), "part" + std::to_string(i)});
  Service.put("weights:m", "1");
  Entries.resize(entries);
  Machines.resize(entries);
  for (size_t i = 0; i < entries; ++i)
    start(i, "e" + std::to_string(i),
          {"10.0.0." + std::to_string(++Addresses), 80});
}

void RetirementWorld::at(TimePoint time, std::function<void()> what) {
  Events.emplace(time, std::move(what));
}

bool RetirementWorld::isAlive(const EntryPtr &entry) const {
  return std::find(Entries.begin(), Entries.end(), entry) != Entries.end();
}

void RetirementWorld::deliver(const EntryPtr &to, TimePoint time,
                              std::function<void(ModelEntry &)> what) {
  at(time, [this, to, what = std::move(what)] {
    if (!isAlive(to))
      return;
    if (isFrozen(*to))
      return deliver(to, to->FrozenUntil, what);
    what(*to);
  });
}

void RetirementWorld::start(size_t index, const std::string &name,
                            Endpoint address) {
  auto entry = std::make_shared<ModelEntry>(name, std::move(address), Now);
  entry->Kept.setStores({storeService()});
  PartList list;
  list.Epoch = 1;
  // The worst case: of what was freed later, no report arrives.
  for (const auto &[scope, part] : Whole)
    list.Kept.push_back({0, true, scope, part, 10});
  entry->Kept.apply(StoreName, list);
  entry->Machine = index;
  Entries[index] = std::move(entry);
}

RetirementWorld::EntryPtr
RetirementWorld::byAddress(const Endpoint &address) const {
  for (const EntryPtr &entry : Entries)
    if (entry && entry->Address == address)
      return entry;
  return nullptr;
}

void RetirementWorld::pass(Duration time) {
  TimePoint end = Now + time;
  while (Now < end) {
    Now = Now + Tick;
    Service.setNow(Now);
    Service.lapse(Now);
    while (!Events.empty() && Events.begin()->first <= Now) {
      auto what = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      what();
    }
    moveServers();
    for (const EntryPtr &entry : std::vector<EntryPtr>(Entries))
      if (entry && isAlive(entry) && !isFrozen(*entry))
        step(entry);
  }
}

void RetirementWorld::step(const EntryPtr &entry) {
  entry->Catalog.onTimer(Now);
  FollowStep following = entry->Following.next(*entry->Catalog.view(), Now);
  follow(entry, following);
  watch(entry);
  renew(entry);
  askPeer(entry);
  if (!entry->HasAll && entry->Catalog.revision() == 0)
    return;
  onCatalog(*entry);
  seekHolder(entry);
  giveOrders(entry);
  nameSources(*entry);
}

void RetirementWorld::onCatalog(ModelEntry &entry) {
  for (const Retirement &it : entry.Catalog.view()->Retired)
    entry.Kept.retire(it);
  entry.Agreement.onCatalog(*entry.Catalog.view(), Now);
}

void RetirementWorld::renew(const EntryPtr &entry) {
  if (Now < entry->NextRenewal || !canWrite(entry))
    return;
  entry->NextRenewal = Now + Renewal;
  TimePoint until = Now + LeaseTerm;
  std::string key = "entry:" + entry->Name;
  if (entry->Announced == 0 || !Service.keep(key, entry->Announced, until)) {
    Service.put(key, toString(entry->Address), until);
    entry->Announced = Service.createdOf(key);
    std::string address = toString(entry->Address);
    Service.put("registered:" + address, address);
  }
  noteEra(*entry, Service.era());
  if (entry->Token == 0)
    return;
  if (Service.keep("holder", entry->HolderKey, until))
    entry->RenewedAt = Now;
  else
    entry->Token = 0;
}

void RetirementWorld::seekHolder(const EntryPtr &entry) {
  OrderRightSettings right;
  right.Term = LeaseTerm;
  bool isSought = entry->Token == 0 && entry->HasAll &&
                  entry->Catalog.view()->Holder.empty() && canWrite(entry) &&
                  isClaimSafe(*entry->Catalog.view(), right, Now);
  if (!isSought || Service.revisionOf("holder") != 0)
    return;
  entry->Token = Service.put("holder", entry->Name, Now + LeaseTerm);
  entry->HolderKey = Service.createdOf("holder");
  entry->RenewedAt = Now;
}

void RetirementWorld::giveOrders(const EntryPtr &entry) {
  if (isReplaced(*entry->Catalog.view(), entry->Token))
    entry->Token = 0;
  if (entry->Token == 0 || Now >= entry->RenewedAt + ActTerm)
    return;
  for (const RetirementAction &action :
       entry->Agreement.next(*entry->Catalog.view(), 0, Now)) {
    if (const auto *it = std::get_if<TellEntry>(&action))
      tell(entry, *it);
    if (const auto *it = std::get_if<WriteRetired>(&action))
      write(entry, "retired", textOf(it->What), it->Over);
    if (const auto *it = std::get_if<RemoveRegistration>(&action))
      write(entry, "registered:" + toString(it->Peer), "", it->Revision);
  }
  free(entry);
}

void RetirementWorld::write(const EntryPtr &entry, const std::string &key,
                            const std::string &value, uint64_t over) {
  deliver(entry, Now + CallTimeout,
          [this](ModelEntry &self) { self.Agreement.onWritten(Now); });
  if (!canWrite(entry))
    return;
  // It may be carried out long after its sender has given it up.
  Duration way = pick(4) == 0 ? Duration(4'000'000) : ServiceDelay;
  at(Now + way, [this, key, value, over, token = entry->Token] {
    // The service compares its own counts, of whatever era they were.
    if (countOf(Service.revisionOf("holder")) != countOf(token) ||
        countOf(Service.revisionOf(key)) != countOf(over))
      return;
    if (value.empty())
      Service.remove(key);
    else
      Service.put(key, value);
  });
}

void RetirementWorld::restoreService(Duration age) {
  Service.restore(Now - age);
  Duration pause(static_cast<int64_t>(pick(500'000)));
  at(Now + pause, [this] {
    Service.put("weights:m", std::to_string(Wanted));
    for (const auto &[id, server] : Servers)
      if (server.IsUp)
        Service.put("server:" + id, std::to_string(server.Version));
  });
}

void RetirementWorld::noteEra(ModelEntry &entry, uint64_t era) {
  if (era > eraOf(entry.CompleteTo))
    entry.HasAll = false;
}

void RetirementWorld::heal() {
  for (Machine &it : Machines)
    it = {};
  for (const EntryPtr &it : Entries)
    if (it)
      it->FrozenUntil = Now;
  ServiceDelay = Duration(10'000);
  PeerDelay = Duration(5'000);
}

bool RetirementWorld::mayName(const ModelEntry &entry) const {
  SourceStanding standing;
  standing.HasReadAll = entry.HasReadAll;
  standing.IsRegistered =
      entry.Catalog.view()->Registered.contains(entry.Address);
  standing.ListedAt = entry.ListedAt;
  return mayNameSources(standing, SourceTrust, Now);
}

void RetirementWorld::tell(const EntryPtr &entry, const TellEntry &what) {
  auto isDone = std::make_shared<bool>(false);
  auto end = [this, isDone, what](bool hasAgreed) {
    return [this, isDone, what, hasAgreed](ModelEntry &self) {
      if (!std::exchange(*isDone, true))
        self.Agreement.onTold(what, hasAgreed, Now);
    };
  };
  deliver(entry, Now + CallTimeout, end(false));
  EntryPtr peer = byAddress(what.Peer);
  if (!peer || isCutFromPeers(entry) || isCutFromPeers(peer))
    return;
  deliver(peer, Now + PeerDelay,
          [this, entry, peer, what, end](ModelEntry &other) {
            for (const Retirement &it : what.What)
              other.Kept.retire(it);
            if (!isCutFromPeers(peer) && !isCutFromPeers(entry))
              deliver(entry, Now + PeerDelay, end(true));
          });
}

void RetirementWorld::free(const EntryPtr &entry) {
  if (Now < entry->NextFree)
    return;
  entry->NextFree = Now + FreePause;
  auto freeable = entry->Agreement.freeable(Now);
  auto parts = entry->Kept.partsWhere(
      StoreName, [&](const PartRef &it) { return isUnused(it, 0, freeable); });
  Duration way = Duration(
      static_cast<int64_t>(pick(static_cast<uint64_t>(FreeDelayMost.count()))));
  at(Now + way, [this, parts, name = entry->Name] {
    for (const PartRef &part : parts) {
      PartKey key{part.Scope, part.Part};
      Freed += Whole.erase(key);
      for (const Fetch &fetch : Running[key])
        if (fetch.Until > Now)
          Broken.push_back(name + " freed " + part.Scope + "/" + part.Part +
                           " under a fetch of " + fetch.Entry);
      Running.erase(key);
    }
  });
}

void RetirementWorld::nameSources(ModelEntry &entry) {
  if (!mayName(entry))
    return;
  std::set<uint64_t> versions;
  for (const BackendServer &server : entry.Catalog.view()->AllServers) {
    const Server &truth = Servers[server.Id];
    uint64_t named = server.versionOf("m");
    // Any other server turns the request away.
    if (truth.IsUp && truth.Version == named)
      versions.insert(named);
  }
  for (uint64_t version : versions)
    for (int i = 0; i < PartsPerVersion; ++i) {
      PromptPart part{"part" + std::to_string(i), 10};
      PartKey key{scopeOf(version), part.Id};
      if (!Whole.contains(key) || !entry.Kept.find(key.first, part, ""))
        continue;
      auto &running = Running[key];
      std::erase_if(running, [&](const Fetch &it) { return it.Until <= Now; });
      running.push_back({entry.Name, Now + MaxFetchTime});
      ++Fetches;
      UnlistedFetches += isListed(entry) ? 0 : 1;
    }
}

void RetirementWorld::moveServers() {
  if (Now < NextMove)
    return;
  NextMove = Now + MovePause;
  for (auto &[id, server] : Servers) {
    if (!server.IsUp || server.Version >= Wanted)
      continue;
    server.Version = Wanted;
    Service.put("server:" + id, std::to_string(Wanted));
    return;
  }
}

void RetirementWorld::nameWeights() {
  if (Wanted >= MostVersion)
    return;
  ++Wanted;
  Service.put("weights:m", std::to_string(Wanted));
  NextMove = Now + Duration(1'000'000);
}

void RetirementWorld::kill(size_t entry, Duration pause, bool atNewAddress) {
  EntryPtr old = std::exchange(Entries[entry], nullptr);
  if (!old)
    return;
  Endpoint address = old->Address;
  if (atNewAddress) {
    Machines[entry] = {};
    address = {"10.0.0." + std::to_string(++Addresses), 80};
  }
  at(Now + pause, [this, entry, name = old->Name, address] {
    if (!Entries[entry])
      start(entry, name, address);
  });
}

void RetirementWorld::killHolder() {
  for (size_t i = 0; i < Entries.size(); ++i)
    if (Entries[i] && Entries[i]->Token != 0)
      return kill(i, Duration(500'000), false);
}

void RetirementWorld::killFollower(Duration pause) {
  size_t entry = pick(Entries.size());
  bool isFollower = Entries[entry] && Entries[entry]->Token == 0;
  if (isFollower)
    kill(entry, pause, false);
}

void RetirementWorld::freeze(size_t entry, Duration time) {
  if (Entries[entry])
    Entries[entry]->FrozenUntil = Now + time;
}

void RetirementWorld::cutFromService(size_t machine, bool isCut) {
  Machines[machine].IsCutFromService = isCut;
}

void RetirementWorld::cutFromPeers(size_t machine, bool isCut) {
  Machines[machine].IsCutFromPeers = isCut;
}

void RetirementWorld::refuseWrites(size_t machine, bool isRefused) {
  Machines[machine].IsRefusedWrites = isRefused;
}

void RetirementWorld::loseHistory() {
  for (const EntryPtr &entry : Entries)
    if (entry)
      entry->HasAll = false;
}

void RetirementWorld::crashServer(size_t server, Duration pause) {
  auto it = std::next(Servers.begin(),
                      static_cast<std::ptrdiff_t>(server % Servers.size()));
  if (!std::exchange(it->second.IsUp, false))
    return;
  // It comes back with the weights that it had.
  std::string key = "server:" + it->first;
  Service.remove(key);
  at(Now + pause, [this, key, id = it->first] {
    Servers[id].IsUp = true;
    Service.put(key, std::to_string(Servers[id].Version));
  });
}

} // namespace daisytack::direct::test
