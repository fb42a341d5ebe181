#include "direct/catalog.h"

#include "direct/retirement.h"
#include "direct/revision.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace daisytack::direct {

namespace {

/// Deleted keys that are kept. Covers an outage of the store in a large
/// deployment where one server a second is replaced.
constexpr size_t DeletionsRemembered = 2000;
/// Starts of one server for which versions are noted that its record lacks.
constexpr int64_t MaxNotedStarts = 4;

/// Whether both values describe servers, but different starts.
bool isOtherStart(const RecordValue &before, const BackendServer &server) {
  const auto *known = std::get_if<BackendServer>(&before);
  return known && known->StartedMs != server.StartedMs;
}

} // namespace

CatalogKeeper::CatalogKeeper(CatalogSettings settings, CatalogHooks hooks)
    : Settings(settings), Hooks(std::move(hooks)), Uptime(Settings.MinOutage),
      Published(std::make_shared<const Catalog>()) {}

void CatalogKeeper::apply(const std::vector<StoreRecord> &records,
                          TimePoint now) {
  bool changed = false;
  for (const StoreRecord &record : records)
    if (!isUnknownAndOld(record))
      changed |= merge(record, now);
  if (changed)
    publish(now);
}

bool CatalogKeeper::isUnknownAndOld(const StoreRecord &record) const {
  return HasReadAll && !record.IsDeleted &&
         record.Revision <= DeletionsMissingTo &&
         eraOf(record.Revision) == eraOf(DeletionsMissingTo) &&
         !States.contains(record.Key);
}

void CatalogKeeper::applyAll(const std::vector<StoreRecord> &records,
                             uint64_t revision, TimePoint now) {
  bool changed = eraOf(revision) > Era;
  IsRestoreSettled = IsRestoreSettled || needsReread(now);
  onRestored(revision, now);
  std::map<std::string_view, const StoreRecord *> present;
  for (const StoreRecord &record : records)
    present[record.Key] = &record;
  for (auto &[key, state] : States) {
    bool isOlder = state.Record.Revision <= revision;
    bool isGone = !state.Record.IsDeleted && isOlder && !present.contains(key);
    if (isGone && !outlastsRestore(state))
      changed |= mergeDeletion(state, revision, now);
  }
  IsFirstRead = !HasReadAll;
  for (const StoreRecord &record : records)
    changed |= merge(record, now);
  IsFirstRead = false;
  HasReadAll = true;
  HighestRevision = std::max(HighestRevision, revision);
  // This process can't pass on earlier deletions of keys that it never knew.
  DeletionsMissingTo = std::max(DeletionsMissingTo, revision);
  if (changed)
    publish(now);
}

void CatalogKeeper::onRestored(uint64_t upTo, TimePoint now) {
  if (eraOf(upTo) <= Era)
    return;
  bool isFirst = std::exchange(Era, eraOf(upTo)) == 0;
  EraSince = now;
  // Before its first read, a process may have heard records of this era.
  if (States.empty() || (isFirst && eraOf(HighestRevision) >= Era))
    return;
  RestoredTo = upTo;
  RestoredAt = now;
  IsRestoreSettled = false;
  // Servers that registered after the copy was made are missing from it. They
  // get the same grace period as those whose records expire during an outage.
  Uptime.onRestored(now, upTo);
  updateKept(now);
}

bool CatalogKeeper::needsReread(TimePoint now) const {
  return !IsRestoreSettled && now >= *RestoredAt + Settings.RestoreGrace;
}

bool CatalogKeeper::outlastsRestore(const KeyState &state) const {
  if (eraOf(state.Record.Revision) == Era)
    return false;
  RecordKind kind = state.Subject.Kind;
  // Records of these kinds are only ever replaced, never deleted.
  bool isNeverDeleted =
      kind == RecordKind::Config || kind == RecordKind::Weights;
  // Entries divide quotas by the registrations. One that the copy lacks is
  // written again by its entry.
  bool isWrittenAgain =
      kind == RecordKind::Evacuation || kind == RecordKind::Registration;
  return isNeverDeleted || (!IsRestoreSettled && isWrittenAgain);
}

std::partial_ordering
CatalogKeeper::compareContent(const KeyState &state,
                              const RecordValue &value) const {
  const auto *config = std::get_if<ServingConfig>(&value);
  if (config && Config)
    return config->Version <=> Config->config().Version;
  const auto *desired = std::get_if<DesiredWeights>(&value);
  const auto *known = std::get_if<DesiredWeights>(&state.Value);
  if (desired && known)
    return desired->Desired.Version <=> known->Desired.Version;
  const auto *server = std::get_if<BackendServer>(&value);
  const auto *before = std::get_if<BackendServer>(&state.Value);
  if (!server || !before || server->StartedMs != before->StartedMs)
    return std::partial_ordering::unordered;
  // Within one start, a server never leaves the draining state or returns to
  // older weights.
  auto content = [](const BackendServer &it) {
    return std::tie(it.Sequence, it.IsDraining, it.Weights);
  };
  return content(*server) <=> content(*before);
}

bool CatalogKeeper::isOutdated(const StoreRecord &record, const KeyState &state,
                               TimePoint now) const {
  uint64_t known = state.Record.Revision;
  bool isBefore = record.Revision <= known;
  if (eraOf(record.Revision) == eraOf(known) || record.IsDeleted)
    return isBefore;
  Error unused;
  std::optional<RecordValue> value = Hooks.Decode(record, unused);
  if (!value)
    return isBefore;
  RecordKind kind = state.Subject.Kind;
  bool isAfterRestore = !IsRestoreSettled && !needsReread(now);
  bool mayBeCopy =
      isBefore || (isAfterRestore && record.Revision <= RestoredTo);
  std::partial_ordering order = compareContent(state, *value);
  if (order > 0)
    return false;
  if (order < 0) {
    bool neverDecreases =
        kind == RecordKind::Config || kind == RecordKind::Weights;
    return neverDecreases || mayBeCopy;
  }
  // The values don't show which is newer. Records written by entries are taken
  // as the store has them, because conditional writes must name their revision.
  bool isWrittenByOthers =
      kind == RecordKind::Server || kind == RecordKind::Evacuation;
  return isBefore || (mayBeCopy && isWrittenByOthers);
}

bool CatalogKeeper::merge(const StoreRecord &record, TimePoint now) {
  HighestRevision = std::max(HighestRevision, record.Revision);
  auto it = States.find(record.Key);
  if (it != States.end() && isOutdated(record, it->second, now))
    return false;
  RecordSubject subject = Hooks.SubjectOf(record.Key);
  if (subject.Kind == RecordKind::Other)
    return false;
  if (record.IsDeleted) {
    if (it == States.end())
      it =
          States.emplace(record.Key, KeyState{record, subject, {}, {}, {}, now})
              .first;
    return mergeDeletion(it->second, record.Revision, now);
  }
  Error reason;
  std::optional<RecordValue> value = Hooks.Decode(record, reason);
  if (!value)
    return mergeUnreadable(record, subject, reason, now);
  if (const auto *desired = std::get_if<DesiredWeights>(&*value))
    noteDesiredVersion(desired->Desired, now);
  if (auto *config = std::get_if<ServingConfig>(&*value)) {
    Config = std::make_shared<const ConfigIndex>(std::move(*config));
    ConfigRevision = record.Revision;
    value = std::monostate();
  }
  if (const auto *retired = std::get_if<RetiredContext>(&*value))
    EverRetired = mergeRetired(std::move(EverRetired), retired->Retirements);
  const auto *server = std::get_if<BackendServer>(&*value);
  bool isRestart =
      server && it != States.end() && isOtherStart(it->second.Value, *server);
  if (server)
    dropOutdatedNotes(*server, isRestart);
  Hooks.Changed(subject,
                it == States.end() ? "new"
                : isRestart        ? "restarted"
                                   : "changed",
                record.Revision, now);
  if (server && !isConfigured(*server))
    Hooks.Unreadable(record,
                     {ErrorKind::BadValue, "its service or weights do not "
                                           "match the configuration"},
                     now);
  replaceState(record, subject, std::move(*value), now);
  return true;
}

bool CatalogKeeper::mergeUnreadable(const StoreRecord &record,
                                    const RecordSubject &subject,
                                    const Error &reason, TimePoint now) {
  Hooks.Unreadable(record, reason, now);
  auto before = States.find(record.Key);
  bool staysInForce = subject.Kind != RecordKind::Server &&
                      before != States.end() &&
                      !before->second.Record.IsDeleted;
  replaceState(record, subject,
               staysInForce ? before->second.Value : RecordValue(), now);
  return true;
}

void CatalogKeeper::replaceState(const StoreRecord &record,
                                 const RecordSubject &subject,
                                 RecordValue value, TimePoint now) {
  std::vector<ModelVersion> weights;
  auto before = States.find(record.Key);
  const auto *server = std::get_if<BackendServer>(&value);
  if (server && isConfigured(*server))
    weights = server->Weights;
  else if (before != States.end() && !before->second.Record.IsDeleted)
    weights = std::move(before->second.LastUsableWeights);
  if (before != States.end())
    Replaced.add(std::move(before->second.Record));
  States.insert_or_assign(
      record.Key,
      KeyState{record, subject, std::move(value), std::move(weights), {}, now});
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

bool CatalogKeeper::mergeDeletion(KeyState &state, uint64_t revision,
                                  TimePoint now) {
  state.Record.Revision = revision;
  // The deletion of an evacuation matters even if this process never saw the
  // evacuation itself.
  bool endsEvacuation = state.Subject.Kind == RecordKind::Evacuation;
  if (endsEvacuation)
    EvacuationEnds[state.Subject.Name] = {now, revision};
  if (std::exchange(state.Record.IsDeleted, true))
    return endsEvacuation;
  state.Record.Value.clear();
  // The configuration is never deleted, so a deletion of it is ignored.
  if (state.Subject.Kind == RecordKind::Config)
    return false;
  const auto *server = std::get_if<BackendServer>(&state.Value);
  if (server && !server->IsDraining)
    state.KeptUntil = keptUntil(revision, now);
  Hooks.Changed(state.Subject, state.KeptUntil ? "lapsed" : "gone", revision,
                now);
  if (state.KeptUntil && Hooks.Kept)
    Hooks.Kept({state.Subject.Name, revision, *state.KeptUntil - now,
                now - Uptime.period()->Since},
               now);
  return true;
}

std::optional<TimePoint> CatalogKeeper::keptUntil(uint64_t revision,
                                                  TimePoint now) const {
  std::optional<AnswerPeriod> period = Uptime.periodAfterOutage();
  if (!period)
    return std::nullopt;
  TimePoint out = period->Since + Settings.ExpiryGrace;
  if (revision > period->Revision)
    out = std::min(out, now + Settings.LateExpiryGrace);
  return out > now ? std::optional(out) : std::nullopt;
}

void CatalogKeeper::updateKept(TimePoint now) {
  std::optional<AnswerPeriod> period = Uptime.periodAfterOutage();
  bool wasAfterOutage = std::exchange(IsAfterOutage, period.has_value());
  if ((wasAfterOutage || IsAfterOutage) && Hooks.OutageSeen)
    Hooks.OutageSeen(period, now);
  for (auto &[key, state] : States) {
    if (!state.KeptUntil)
      continue;
    // A server that was kept when another outage began could not register anew
    // before it.
    bool isFromBefore = period && state.Record.Revision <= period->Revision;
    TimePoint until = period ? period->Since + Settings.ExpiryGrace
                             : Uptime.latest()->Earliest;
    state.KeptUntil = isFromBefore ? until : std::min(*state.KeptUntil, until);
  }
  dropExpired(now);
}

bool CatalogKeeper::isKept(const KeyState &state, TimePoint now) const {
  // After that time, only an answer shows that the record is still missing:
  // another outage may have begun.
  return state.KeptUntil && (now < *state.KeptUntil ||
                             Uptime.latest()->Earliest < *state.KeptUntil);
}

bool CatalogKeeper::keepsServers() const {
  return std::any_of(States.begin(), States.end(), [](const auto &it) {
    return it.second.KeptUntil.has_value();
  });
}

void CatalogKeeper::noteDesiredVersion(const ModelVersion &desired,
                                       TimePoint now) {
  TimePoint since = IsFirstRead ? now - Settings.AgeAtFirstRead : now;
  Versions.note(desired, since, !HasReadAll);
}

std::vector<DesiredVersionAge>
CatalogKeeper::onPeerAges(const std::vector<DesiredVersionAge> &ages,
                          TimePoint now) {
  std::vector<DesiredVersionAge> out =
      Versions.correct(ages, Settings.VersionAgeTolerance, now);
  if (!out.empty())
    publish(now);
  return out;
}

void CatalogKeeper::dropOutdatedNotes(const BackendServer &server,
                                      bool isRestart) {
  std::erase_if(NotedVersions, [&](const auto &it) {
    const auto &[start, loaded] = it;
    if (start.Id != server.Id)
      return false;
    bool isSame = start.StartedMs == server.StartedMs;
    bool isRecorded =
        isSame && server.versionOf(loaded.Model) >= loaded.Version;
    return isRecorded || (isRestart && !isSame);
  });
}

void CatalogKeeper::noteLoaded(const ServerStart &server,
                               const ModelVersion &loaded, TimePoint now) {
  // Messages can name anything. A version matters only for a model in the
  // record of a server.
  auto servers = view();
  auto listed = std::lower_bound(
      servers->AllServers.begin(), servers->AllServers.end(), server.Id,
      [](const BackendServer &a, const std::string &id) { return a.Id < id; });
  bool isListed = listed != servers->AllServers.end() &&
                  listed->Id == server.Id &&
                  std::any_of(listed->Weights.begin(), listed->Weights.end(),
                              [&](const ModelVersion &it) {
                                return it.Model == loaded.Model;
                              });
  auto starts =
      std::count_if(NotedVersions.begin(), NotedVersions.end(),
                    [&](const auto &it) { return it.first.Id == server.Id; });
  if (!isListed ||
      (starts >= MaxNotedStarts && !NotedVersions.contains(server)))
    return;
  ModelVersion &known = NotedVersions[server];
  if (known.Model == loaded.Model && known.Version >= loaded.Version)
    return;
  known = loaded;
  publish(now);
}

BackendServer
CatalogKeeper::withNotedVersions(const BackendServer &server) const {
  BackendServer out = server;
  auto it = NotedVersions.find(server.ref().start());
  if (it == NotedVersions.end())
    return out;
  for (ModelVersion &loaded : out.Weights)
    if (loaded.Model == it->second.Model)
      loaded.Version = std::max(loaded.Version, it->second.Version);
  return out;
}

TimePoint CatalogKeeper::coldUntil(const KeyState &state,
                                   const BackendServer &server) const {
  TimePoint out = state.ReadAt + server.ColdFor;
  auto evacuationEnd = EvacuationEnds.find(server.FailureDomain);
  const Service *service =
      Config ? Config->findService(server.Service) : nullptr;
  if (evacuationEnd == EvacuationEnds.end() || !service ||
      state.Record.Revision > evacuationEnd->second.Revision)
    return out;
  return std::max(out, evacuationEnd->second.At + service->ColdStart);
}

void CatalogKeeper::addToLists(BackendServer server, Catalog &to) const {
  for (const ModelVersion &it : server.Weights) {
    auto oldest = to.OldestVersions.try_emplace(it.Model, it.Version).first;
    oldest->second = std::min(oldest->second, it.Version);
  }
  bool takesRequests =
      !server.IsDraining && !to.Evacuated.contains(server.FailureDomain);
  if (takesRequests)
    to.Servers[server.Service].push_back(server);
  to.AllServers.push_back(std::move(server));
}

void CatalogKeeper::onStoreLost() { setStale(true); }

void CatalogKeeper::setStale(bool isStale) {
  if (std::exchange(IsStale, isStale) == isStale)
    return;
  auto next = std::make_shared<Catalog>(*view());
  next->AreRecordsStale = isStale;
  Published.publish(std::move(next));
}

void CatalogKeeper::onStoreAnswered(uint64_t revision, TimePoint now) {
  setStale(false);
  if (Uptime.onAnswer(now, revision))
    updateKept(now);
}

void CatalogKeeper::onPeerAnswers(const PeerAnswers &answers, TimePoint now) {
  if (Uptime.onPeerAnswers(answers))
    updateKept(now);
}

void CatalogKeeper::onTimer(TimePoint now) { dropExpired(now); }

void CatalogKeeper::dropExpired(TimePoint now) {
  bool changed = false;
  for (auto &[key, state] : States) {
    if (!state.KeptUntil || isKept(state, now))
      continue;
    state.KeptUntil.reset();
    Hooks.Changed(state.Subject, "gone", state.Record.Revision, now);
    changed = true;
  }
  if (changed)
    publish(now);
}

void CatalogKeeper::dropOldDeletions() {
  std::vector<uint64_t> revisions;
  for (const auto &[key, state] : States)
    if (state.Record.IsDeleted && !state.KeptUntil)
      revisions.push_back(state.Record.Revision);
  if (revisions.size() <= 2 * DeletionsRemembered)
    return;
  auto oldest = revisions.end() - DeletionsRemembered;
  std::nth_element(revisions.begin(), oldest, revisions.end());
  DeletionsMissingTo = std::max(DeletionsMissingTo, *oldest - 1);
  std::erase_if(States, [&](const auto &it) {
    const KeyState &state = it.second;
    return state.Record.IsDeleted && !state.KeptUntil &&
           state.Record.Revision < *oldest;
  });
}

void CatalogKeeper::publish(TimePoint now) {
  dropOldDeletions();
  auto next = std::make_shared<Catalog>();
  next->Config = Config;
  next->ConfigRevision = ConfigRevision;
  next->DesiredVersions = Versions.byModel();
  next->Retired = EverRetired;
  next->AreRecordsStale = IsStale;
  next->Era = Era;
  next->EraSince = EraSince;
  next->RestoredAt = RestoredAt;
  std::vector<BackendServer> servers;
  for (const auto &[key, state] : States) {
    if (state.Record.IsDeleted && !isKept(state, now))
      continue;
    if (const auto *peer = std::get_if<EntryPeer>(&state.Value))
      next->Entries.push_back(*peer);
    if (state.Subject.Kind == RecordKind::Holder) {
      const auto *holder = std::get_if<OrderLeaseHolder>(&state.Value);
      next->Holder = holder ? holder->Entry : UnknownHolder;
      next->HolderPeer = holder ? holder->Peer : Endpoint{};
      next->HolderRevision = state.Record.Revision;
    }
    if (const auto *it = std::get_if<EntryRegistration>(&state.Value))
      next->Registered[it->Peer] = state.Record.Revision;
    if (const auto *it = std::get_if<QuarantineRecord>(&state.Value))
      next->Quarantined[it->Signature] = {state.Record.Revision,
                                          it->CrashedServers};
    if (const auto *it = std::get_if<EvacuatedDomain>(&state.Value))
      next->Evacuated.insert(it->FailureDomain);
    if (state.Subject.Kind == RecordKind::Retired) {
      const auto *retired = std::get_if<RetiredContext>(&state.Value);
      next->IsRetiredRecordReadable = retired != nullptr;
      if (retired)
        next->RetiredInRecord = retired->Retirements;
      next->RetiredRecordRevision = state.Record.Revision;
    }
    if (state.Subject.Kind == RecordKind::RolloutTimes) {
      if (const auto *it = std::get_if<RolloutTimesRecord>(&state.Value))
        next->RolloutTimes = it->Versions;
      next->RolloutTimesRevision = state.Record.Revision;
    }
    if (state.Subject.Kind == RecordKind::SettledEpochs) {
      if (const auto *it = std::get_if<SettledEpochsRecord>(&state.Value))
        next->SettledEpochs = it->Epochs;
      next->SettledEpochsRevision = state.Record.Revision;
    }
    const auto *record = std::get_if<BackendServer>(&state.Value);
    if (!record || !isConfigured(*record)) {
      next->LastKnownWeights.insert(next->LastKnownWeights.end(),
                                    state.LastUsableWeights.begin(),
                                    state.LastUsableWeights.end());
      continue;
    }
    servers.push_back(withNotedVersions(*record));
    servers.back().ColdUntil = coldUntil(state, *record);
  }
  for (BackendServer &server : servers)
    addToLists(std::move(server), *next);
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
  std::erase_if(NotedVersions, [&](const auto &it) {
    return std::none_of(
        next->AllServers.begin(), next->AllServers.end(),
        [&](const BackendServer &server) { return server.Id == it.first.Id; });
  });
  Published.publish(std::move(next));
}

} // namespace daisytack::direct
