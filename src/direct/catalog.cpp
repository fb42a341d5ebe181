#include "direct/catalog.h"

#include "direct/retirement.h"
#include "direct/revision.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace daisytack::direct {

namespace {

/// Versions of one model whose naming times are kept: more than servers can be
/// behind by, when each is in force everywhere within seconds.
constexpr size_t VersionsRemembered = 16;

/// Deleted keys that are remembered: those of an outage of the service in a
/// large deployment, at one server a second.
constexpr size_t DeletionsRemembered = 2000;

bool isOtherStart(const FactValue &before, const BackendServer &server) {
  const auto *known = std::get_if<BackendServer>(&before);
  return known && known->StartedMs != server.StartedMs;
}

} // namespace

const std::vector<BackendServer> &
Catalog::serversOf(std::string_view service) const {
  static const std::vector<BackendServer> None;
  auto it = Servers.find(service);
  return it == Servers.end() ? None : it->second;
}

bool Catalog::isListed(std::string_view name, const Endpoint &peer) const {
  return std::any_of(Entries.begin(), Entries.end(), [&](const EntryPeer &it) {
    return it.Name == name && it.Peer == peer;
  });
}

std::optional<uint64_t> Catalog::oldestVersion() const {
  std::optional<uint64_t> out;
  auto add = [&out](const std::vector<ModelVersion> &weights) {
    for (const ModelVersion &it : weights)
      out = std::min(out.value_or(it.Version), it.Version);
  };
  for (const BackendServer &server : AllServers)
    add(server.Weights);
  add(HiddenWeights);
  return out;
}

uint64_t Catalog::wantedVersion(std::string_view model) const {
  auto it = Wanted.find(model);
  return it == Wanted.end() ? 0 : it->second.back().Version;
}

std::optional<TimePoint> Catalog::behindSince(std::string_view model,
                                              uint64_t version) const {
  auto it = Wanted.find(model);
  if (it == Wanted.end())
    return std::nullopt;
  for (const WantedVersion &wanted : it->second)
    if (wanted.Version > version)
      return wanted.Since;
  return std::nullopt;
}

std::vector<Endpoint> addressesOfNewStarts(const Catalog &before,
                                           const Catalog &after) {
  std::vector<Endpoint> out;
  auto byId = [](const BackendServer &it, const std::string &id) {
    return it.Id < id;
  };
  auto known = before.AllServers.begin();
  for (const BackendServer &server : after.AllServers) {
    known = std::lower_bound(known, before.AllServers.end(), server.Id, byId);
    bool wasThere = known != before.AllServers.end() &&
                    known->Id == server.Id &&
                    known->StartedMs == server.StartedMs;
    if (server.StartedMs != 0 && !wasThere)
      out.push_back(server.Address);
  }
  return out;
}

CatalogKeeper::CatalogKeeper(CatalogSettings settings, CatalogHooks hooks)
    : Settings(settings), Hooks(std::move(hooks)),
      Published(std::make_shared<const Catalog>()) {}

void CatalogKeeper::apply(const std::vector<StoreRecord> &records,
                          TimePoint now) {
  bool changed = false;
  for (const StoreRecord &record : records)
    changed |= merge(record, now);
  if (changed)
    publish(now);
}

void CatalogKeeper::applyAll(const std::vector<StoreRecord> &records,
                             uint64_t revision, TimePoint now) {
  bool changed = eraOf(revision) > Era;
  IsSettled = IsSettled || wantsSettling(now);
  onRestored(revision, now);
  std::map<std::string_view, const StoreRecord *> present;
  for (const StoreRecord &record : records)
    present[record.Key] = &record;
  for (auto &[key, held] : Known) {
    bool isOlder = held.Record.Revision <= revision;
    bool isGone = !held.Record.IsDeleted && isOlder && !present.contains(key);
    if (isGone && !outlastsRestore(held))
      changed |= mergeDeletion(held, revision, now);
  }
  IsFirstRead = !HasReadAll;
  for (const StoreRecord &record : records)
    changed |= merge(record, now);
  IsFirstRead = false;
  HasReadAll = true;
  Highest = std::max(Highest, revision);
  // Keys that were deleted before, and that this process never knew, are not
  // among what it passes on.
  ForgottenTo = std::max(ForgottenTo, revision);
  if (changed)
    publish(now);
}

void CatalogKeeper::onRestored(uint64_t upTo, TimePoint now) {
  if (eraOf(upTo) <= Era)
    return;
  Era = eraOf(upTo);
  EraSince = now;
  if (Known.empty())
    return;
  RestoredTo = upTo;
  RestoredAt = now;
  IsSettled = false;
  // Servers that registered since the copy are absent from it like those that
  // lapse with an outage.
  StoreIsLost = true;
  onStoreBack(now);
}

bool CatalogKeeper::wantsSettling(TimePoint now) const {
  return !IsSettled && now >= *RestoredAt + Settings.RestoreGrace;
}

bool CatalogKeeper::outlastsRestore(const Held &held) const {
  if (eraOf(held.Record.Revision) == Era)
    return false;
  FactKind kind = held.Subject.Kind;
  // These are only ever replaced.
  bool isReplaced = kind == FactKind::Config || kind == FactKind::Weights;
  return isReplaced || (!IsSettled && kind == FactKind::Evacuation);
}

std::partial_ordering
CatalogKeeper::compareContent(const Held &held, const FactValue &value) const {
  const auto *config = std::get_if<ServingConfig>(&value);
  if (config && Config)
    return config->Version <=> Config->config().Version;
  const auto *wanted = std::get_if<DesiredWeights>(&value);
  const auto *known = std::get_if<DesiredWeights>(&held.Value);
  if (wanted && known)
    return wanted->Wanted.Version <=> known->Wanted.Version;
  const auto *server = std::get_if<BackendServer>(&value);
  const auto *before = std::get_if<BackendServer>(&held.Value);
  if (!server || !before || server->StartedMs != before->StartedMs)
    return std::partial_ordering::unordered;
  // One start neither comes back from draining nor goes back to older weights.
  auto content = [](const BackendServer &it) {
    return std::tie(it.Sequence, it.IsDraining, it.Weights);
  };
  return content(*server) <=> content(*before);
}

bool CatalogKeeper::isOutdated(const StoreRecord &record, const Held &held,
                               TimePoint now) const {
  uint64_t known = held.Record.Revision;
  bool isBefore = record.Revision <= known;
  if (eraOf(record.Revision) == eraOf(known) || record.IsDeleted)
    return isBefore;
  Error unused;
  std::optional<FactValue> value = Hooks.Decode(record, unused);
  if (!value)
    return isBefore;
  FactKind kind = held.Subject.Kind;
  bool isAfterRestore = !IsSettled && !wantsSettling(now);
  bool mayBeCopy =
      isBefore || (isAfterRestore && record.Revision <= RestoredTo);
  std::partial_ordering order = compareContent(held, *value);
  if (order > 0)
    return false;
  if (order < 0) {
    bool neverGoesBack = kind == FactKind::Config || kind == FactKind::Weights;
    return neverGoesBack || mayBeCopy;
  }
  // Nothing tells the two apart. What the system wrote itself is taken as the
  // service has it, as conditions on it name its revision.
  bool isOfOthers = kind == FactKind::Server || kind == FactKind::Evacuation;
  return isBefore || (mayBeCopy && isOfOthers);
}

bool CatalogKeeper::merge(const StoreRecord &record, TimePoint now) {
  Highest = std::max(Highest, record.Revision);
  auto it = Known.find(record.Key);
  if (it != Known.end() && isOutdated(record, it->second, now))
    return false;
  FactSubject subject = Hooks.SubjectOf(record.Key);
  if (subject.Kind == FactKind::Other)
    return false;
  if (record.IsDeleted) {
    if (it == Known.end())
      it = Known.emplace(record.Key, Held{record, subject, {}, {}, {}, now})
               .first;
    return mergeDeletion(it->second, record.Revision, now);
  }
  Error reason;
  std::optional<FactValue> value = Hooks.Decode(record, reason);
  if (!value)
    return mergeUnreadable(record, subject, reason, now);
  if (const auto *wanted = std::get_if<DesiredWeights>(&*value))
    noteWanted(wanted->Wanted,
               IsFirstRead ? now - Settings.AgeAtFirstRead : now);
  if (auto *config = std::get_if<ServingConfig>(&*value)) {
    Config = std::make_shared<const ConfigIndex>(std::move(*config));
    ConfigRevision = record.Revision;
    value = std::monostate();
  }
  if (const auto *retired = std::get_if<RetiredContext>(&*value))
    EverRetired = mergeRetired(std::move(EverRetired), retired->What);
  const auto *server = std::get_if<BackendServer>(&*value);
  bool isRestart =
      server && it != Known.end() && isOtherStart(it->second.Value, *server);
  if (server)
    dropSpentNotes(*server, isRestart);
  Hooks.Changed(subject,
                it == Known.end() ? "new"
                : isRestart       ? "restarted"
                                  : "changed",
                record.Revision, now);
  if (server && !isConfigured(*server))
    Hooks.Unreadable(record,
                     {ErrorKind::BadValue, "its service or its weights are not "
                                           "those of the configuration"},
                     now);
  hold(record, subject, std::move(*value), now);
  return true;
}

bool CatalogKeeper::mergeUnreadable(const StoreRecord &record,
                                    const FactSubject &subject,
                                    const Error &reason, TimePoint now) {
  Hooks.Unreadable(record, reason, now);
  auto before = Known.find(record.Key);
  bool staysInForce = subject.Kind != FactKind::Server &&
                      before != Known.end() && !before->second.Record.IsDeleted;
  hold(record, subject, staysInForce ? before->second.Value : FactValue(), now);
  return true;
}

void CatalogKeeper::hold(const StoreRecord &record, const FactSubject &subject,
                         FactValue value, TimePoint now) {
  std::vector<ModelVersion> weights;
  auto before = Known.find(record.Key);
  const auto *server = std::get_if<BackendServer>(&value);
  if (server && isConfigured(*server))
    weights = server->Weights;
  else if (before != Known.end() && !before->second.Record.IsDeleted)
    weights = std::move(before->second.LastWeights);
  Known.insert_or_assign(
      record.Key,
      Held{record, subject, std::move(value), std::move(weights), {}, now});
}

bool CatalogKeeper::isConfigured(const BackendServer &server) const {
  if (!Config)
    return true;
  const Service *service = Config->findService(server.Service);
  if (!service || !service->Engine)
    return service != nullptr;
  const std::vector<std::string> &models = service->Engine->Models;
  return !server.Weights.empty() &&
         std::all_of(models.begin(), models.end(), [&](const auto &model) {
           return server.versionOf(model) > 0;
         });
}

bool CatalogKeeper::mergeDeletion(Held &held, uint64_t revision,
                                  TimePoint now) {
  held.Record.Revision = revision;
  // Also of an evacuation that this process never knew.
  bool isLift = held.Subject.Kind == FactKind::Evacuation;
  if (isLift)
    Lifted[held.Subject.Name] = {now, revision};
  if (std::exchange(held.Record.IsDeleted, true))
    return isLift;
  held.Record.Value.clear();
  // The configuration is never deleted; a store that says so is not believed.
  if (held.Subject.Kind == FactKind::Config)
    return false;
  const auto *server = std::get_if<BackendServer>(&held.Value);
  bool mayHaveLapsed = server && !server->IsDraining && isInGrace(now);
  if (mayHaveLapsed)
    held.KeptUntil =
        StoreBackAt ? *StoreBackAt + Settings.LapseGrace : TimePoint::max();
  Hooks.Changed(held.Subject, mayHaveLapsed ? "lapsed" : "gone", revision, now);
  return true;
}

bool CatalogKeeper::isInGrace(TimePoint now) const {
  return StoreIsLost ||
         (StoreBackAt && now < *StoreBackAt + Settings.LapseGrace);
}

void CatalogKeeper::noteWanted(const ModelVersion &wanted, TimePoint since) {
  std::vector<WantedVersion> &known = Wanted[wanted.Model];
  if (!known.empty() && known.back().Version >= wanted.Version)
    return;
  known.push_back({wanted.Version, since});
  if (known.size() > VersionsRemembered)
    known.erase(known.begin());
}

void CatalogKeeper::dropSpentNotes(const BackendServer &server,
                                   bool isRestart) {
  std::erase_if(Loaded, [&](const auto &it) {
    const auto &[start, has] = it;
    if (start.Id != server.Id)
      return false;
    bool isSame = start.StartedMs == server.StartedMs;
    bool isSaid = isSame && server.versionOf(has.Model) >= has.Version;
    return isSaid || (isRestart && !isSame);
  });
}

void CatalogKeeper::noteLoaded(const ServerStart &server,
                               const ModelVersion &has, TimePoint now) {
  ModelVersion &known = Loaded[server];
  if (known.Model == has.Model && known.Version >= has.Version)
    return;
  known = has;
  publish(now);
}

BackendServer CatalogKeeper::withLoaded(const BackendServer &server) const {
  BackendServer out = server;
  auto it = Loaded.find(server.ref().start());
  if (it == Loaded.end())
    return out;
  for (ModelVersion &has : out.Weights)
    if (has.Model == it->second.Model)
      has.Version = std::max(has.Version, it->second.Version);
  return out;
}

TimePoint CatalogKeeper::coldUntil(const Held &held,
                                   const BackendServer &server) const {
  TimePoint out = held.ReadAt + server.ColdFor;
  auto lift = Lifted.find(server.FailureDomain);
  const Service *service =
      Config ? Config->findService(server.Service) : nullptr;
  if (lift == Lifted.end() || !service ||
      held.Record.Revision > lift->second.Revision)
    return out;
  return std::max(out, lift->second.At + service->ColdStart);
}

void CatalogKeeper::list(BackendServer server, Catalog &to) const {
  bool takesRequests =
      !server.IsDraining && !to.Evacuated.contains(server.FailureDomain);
  if (takesRequests)
    to.Servers[server.Service].push_back(server);
  to.AllServers.push_back(std::move(server));
}

void CatalogKeeper::onStoreLost() {
  StoreIsLost = true;
  StoreBackAt.reset();
  setSilent(true);
}

void CatalogKeeper::setSilent(bool isSilent) {
  if (std::exchange(IsSilent, isSilent) == isSilent)
    return;
  auto next = std::make_shared<Catalog>(*view());
  next->IsServiceSilent = isSilent;
  Published.publish(std::move(next));
}

void CatalogKeeper::onStoreBack(TimePoint now) {
  if (!std::exchange(StoreIsLost, false))
    return;
  StoreBackAt = now;
  for (auto &[key, held] : Known)
    if (held.KeptUntil)
      held.KeptUntil = now + Settings.LapseGrace;
  setSilent(false);
}

Duration CatalogKeeper::graceLeft(TimePoint now) const {
  if (StoreIsLost)
    return Settings.LapseGrace;
  if (!isInGrace(now))
    return Duration(0);
  return *StoreBackAt + Settings.LapseGrace - now;
}

void CatalogKeeper::onGraceTold(Duration left, TimePoint now) {
  if (StoreIsLost || left <= Duration(0))
    return;
  Duration most = std::min(left, Settings.LapseGrace);
  TimePoint back = now + most - Settings.LapseGrace;
  StoreBackAt = std::max(StoreBackAt.value_or(back), back);
}

void CatalogKeeper::onTimer(TimePoint now) {
  bool changed = false;
  for (auto &[key, held] : Known) {
    if (!held.KeptUntil || now < *held.KeptUntil)
      continue;
    held.KeptUntil.reset();
    Hooks.Changed(held.Subject, "gone", held.Record.Revision, now);
    changed = true;
  }
  if (changed)
    publish(now);
}

void CatalogKeeper::dropOldDeletions() {
  std::vector<uint64_t> revisions;
  for (const auto &[key, held] : Known)
    if (held.Record.IsDeleted && !held.KeptUntil)
      revisions.push_back(held.Record.Revision);
  if (revisions.size() <= 2 * DeletionsRemembered)
    return;
  auto oldest = revisions.end() - DeletionsRemembered;
  std::nth_element(revisions.begin(), oldest, revisions.end());
  ForgottenTo = std::max(ForgottenTo, *oldest - 1);
  std::erase_if(Known, [&](const auto &it) {
    const Held &held = it.second;
    return held.Record.IsDeleted && !held.KeptUntil &&
           held.Record.Revision < *oldest;
  });
}

void CatalogKeeper::publish(TimePoint now) {
  dropOldDeletions();
  auto next = std::make_shared<Catalog>();
  next->Config = Config;
  next->ConfigRevision = ConfigRevision;
  next->Wanted = Wanted;
  next->Retired = EverRetired;
  next->IsServiceSilent = IsSilent;
  next->Era = Era;
  next->EraSince = EraSince;
  next->RestoredAt = RestoredAt;
  std::vector<BackendServer> servers;
  for (const auto &[key, held] : Known) {
    if (held.Record.IsDeleted && !(held.KeptUntil && now < *held.KeptUntil))
      continue;
    if (const auto *peer = std::get_if<EntryPeer>(&held.Value))
      next->Entries.push_back(*peer);
    if (held.Subject.Kind == FactKind::Holder) {
      const auto *holder = std::get_if<OrderHolder>(&held.Value);
      next->Holder = holder ? holder->Entry : UnknownHolder;
      next->HolderPeer = holder ? holder->Peer : Endpoint{};
      next->HolderRevision = held.Record.Revision;
    }
    if (const auto *it = std::get_if<EntryRegistration>(&held.Value))
      next->Registered[it->Peer] = held.Record.Revision;
    if (const auto *it = std::get_if<QuarantinedRequest>(&held.Value))
      next->Quarantined[it->Request] = held.Record.Revision;
    if (const auto *it = std::get_if<EvacuatedDomain>(&held.Value))
      next->Evacuated.insert(it->FailureDomain);
    if (held.Subject.Kind == FactKind::Retired) {
      const auto *retired = std::get_if<RetiredContext>(&held.Value);
      next->IsRetiredReadable = retired != nullptr;
      if (retired)
        next->RetiredRecorded = retired->What;
      next->RetiredRevision = held.Record.Revision;
    }
    const auto *record = std::get_if<BackendServer>(&held.Value);
    if (!record || !isConfigured(*record)) {
      next->HiddenWeights.insert(next->HiddenWeights.end(),
                                 held.LastWeights.begin(),
                                 held.LastWeights.end());
      continue;
    }
    servers.push_back(withLoaded(*record));
    servers.back().ColdUntil = coldUntil(held, *record);
  }
  for (BackendServer &server : servers)
    list(std::move(server), *next);
  auto isSame = [](const auto &a, const auto &b) { return a.first == b.first; };
  auto before = view();
  bool areSame =
      std::equal(next->Registered.begin(), next->Registered.end(),
                 before->Registered.begin(), before->Registered.end(), isSame);
  next->RegisteredVersion = before->RegisteredVersion + (areSame ? 0 : 1);
  auto byId = [](const BackendServer &a, const BackendServer &b) {
    return a.Id < b.Id;
  };
  std::sort(next->AllServers.begin(), next->AllServers.end(), byId);
  for (auto &[service, listed] : next->Servers)
    std::sort(listed.begin(), listed.end(), byId);
  std::erase_if(Loaded, [&](const auto &it) {
    return std::none_of(
        next->AllServers.begin(), next->AllServers.end(),
        [&](const BackendServer &server) { return server.Id == it.first.Id; });
  });
  Published.publish(std::move(next));
}

std::vector<StoreRecord> CatalogKeeper::recordsSince(uint64_t revision) const {
  std::vector<StoreRecord> out;
  for (const auto &[key, held] : Known)
    if (held.Record.Revision > revision)
      out.push_back(held.Record);
  return out;
}

} // namespace daisytack::direct
