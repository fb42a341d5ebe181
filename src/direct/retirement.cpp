#include "direct/retirement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace daisytack::direct {

namespace {

bool isWithin(const Retirement &inner, const Retirement &outer) {
  return inner.BelowVersion <= outer.BelowVersion && inner.Share <= outer.Share;
}

} // namespace

bool mayNameSources(const SourceEligibility &eligibility, Duration maxStaleness,
                    TimePoint now) {
  return eligibility.HasReadAll && eligibility.KnowsRetired &&
         eligibility.IsRegistered &&
         now < eligibility.AnnouncedAsOf + maxStaleness;
}

std::vector<Retirement> mergeRetired(std::vector<Retirement> a,
                                     const std::vector<Retirement> &b) {
  a.insert(a.end(), b.begin(), b.end());
  std::sort(a.begin(), a.end());
  std::vector<Retirement> out;
  for (size_t i = 0; i < a.size(); ++i) {
    // In sorted order, a retirement that covers or equals this one comes later.
    bool isCovered =
        std::any_of(a.begin() + static_cast<std::ptrdiff_t>(i) + 1, a.end(),
                    [&](const Retirement &it) { return isWithin(a[i], it); });
    if (!isCovered)
      out.push_back(a[i]);
  }
  return out;
}

void RetirementAgreement::notePeers(const Catalog &catalog, TimePoint now) {
  std::erase_if(Peers, [&](const auto &it) {
    return !catalog.Registered.contains(it.first);
  });
  std::set<Endpoint> listed;
  for (const EntryPeer &entry : catalog.Entries)
    listed.insert(entry.Peer);
  for (const auto &[endpoint, revision] : catalog.Registered) {
    if (endpoint == Own)
      continue;
    Peer &peer = Peers[endpoint];
    if (listed.contains(endpoint) || peer.Revision != revision)
      peer.AbsentSince.reset();
    peer.Revision = revision;
    if (!listed.contains(endpoint) && !peer.AbsentSince)
      peer.AbsentSince = now;
  }
}

void RetirementAgreement::onCatalog(const Catalog &catalog, TimePoint now) {
  if (std::exchange(Era, catalog.Era) != catalog.Era) {
    // A process that has read only the restored copy may name context that was
    // retired after the copy was made.
    SeenRecords.clear();
    LastFreeable.clear();
  }
  EraSince = catalog.EraSince;
  notePeers(catalog, now);
  uint64_t known = SeenRecords.empty() ? 0 : SeenRecords.back().Revision;
  if (catalog.RetiredRecordRevision > known)
    SeenRecords.push_back(
        {catalog.RetiredRecordRevision, catalog.RetiredInRecord, now, {}, {}});
}

std::vector<Retirement>
RetirementAgreement::dueRetirements(const Catalog &catalog,
                                    double freeToUsedRatio, TimePoint now) {
  std::vector<Retirement> out;
  if (uint64_t below = unusedBelow(catalog, now); below > 1)
    out.push_back({below, 1});
  uint64_t newest = 0;
  for (const auto &[model, versions] : catalog.DesiredVersions)
    newest = std::max(newest, versions.back().Version);
  double updated = 0;
  double all = 0;
  for (const BackendServer &server : catalog.AllServers) {
    if (server.Weights.empty())
      continue;
    all += 1;
    updated += server.Weights.front().Version >= newest ? 1 : 0;
  }
  if (all == 0 || newest < 2)
    return out;
  // Steps of a quarter, so that entries are notified only a few times.
  constexpr double Steps = 4;
  double needed = updated / all - freeToUsedRatio;
  double share = std::min(1.0, std::floor(needed * Steps) / Steps);
  if (share > 0)
    out.push_back({newest, share});
  return out;
}

std::vector<RetirementAction> RetirementAgreement::next(const Catalog &catalog,
                                                        double freeToUsedRatio,
                                                        TimePoint now) {
  onCatalog(catalog, now);
  std::vector<RetirementAction> out;
  // A record that can't be decoded must not be overwritten: the new record
  // might cover less.
  if (!catalog.IsRetiredRecordReadable)
    return out;
  std::vector<Retirement> retirements = mergeRetired(
      catalog.Retired, dueRetirements(catalog, freeToUsedRatio, now));
  if (retirements != catalog.RetiredInRecord && !IsWriting &&
      now >= NextWriteAt) {
    IsWriting = true;
    out.push_back(
        WriteRetired{std::move(retirements), catalog.RetiredRecordRevision});
  }
  if (std::optional<RemoveRegistration> removal = dueRemoval(now))
    out.push_back(*removal);
  noteAgreements(now);
  for (NotifyEntry &due : dueNotifications(now))
    out.push_back(std::move(due));
  return out;
}

std::optional<RemoveRegistration>
RetirementAgreement::dueRemoval(TimePoint now) {
  if (IsWriting || now < NextWriteAt)
    return std::nullopt;
  for (const auto &[endpoint, peer] : Peers) {
    // By now the state of any process at the address is too old to name
    // sources, and its fetches have ended.
    bool isGone =
        peer.AbsentSince &&
        now >= *peer.AbsentSince + Settings.MaxStaleness + Settings.FetchTime;
    if (!isGone)
      continue;
    IsWriting = true;
    return RemoveRegistration{endpoint, peer.Revision};
  }
  return std::nullopt;
}

std::vector<NotifyEntry> RetirementAgreement::dueNotifications(TimePoint now) {
  std::vector<NotifyEntry> out;
  if (SeenRecords.empty() || SeenRecords.back().AgreedAt)
    return out;
  const SeenRecord &newest = SeenRecords.back();
  for (auto &[endpoint, peer] : Peers) {
    bool isDue = !peer.IsNotificationPending && now >= peer.NextNotificationAt;
    if (!isDue || newest.Agreed.contains(endpoint))
      continue;
    peer.IsNotificationPending = true;
    out.push_back({endpoint, newest.Retirements, newest.Revision});
  }
  return out;
}

void RetirementAgreement::onWritten(TimePoint now) {
  IsWriting = false;
  NextWriteAt = now + Settings.RetryDelay;
}

void RetirementAgreement::onNotified(const NotifyEntry &notification,
                                     bool hasAgreed, TimePoint now) {
  if (auto it = Peers.find(notification.Peer); it != Peers.end()) {
    it->second.IsNotificationPending = false;
    it->second.NextNotificationAt = hasAgreed ? now : now + Settings.RetryDelay;
  }
  if (!hasAgreed)
    return;
  for (SeenRecord &record : SeenRecords)
    if (record.Revision <= notification.Revision)
      record.Agreed.insert(notification.Peer);
  noteAgreements(now);
}

void RetirementAgreement::noteAgreements(TimePoint now) {
  for (SeenRecord &record : SeenRecords) {
    if (record.AgreedAt)
      continue;
    bool allAgreed =
        std::all_of(Peers.begin(), Peers.end(), [&](const auto &it) {
          return record.Agreed.contains(it.first);
        });
    if (allAgreed)
      record.AgreedAt = now;
  }
}

bool RetirementAgreement::isSafe(const SeenRecord &record,
                                 TimePoint now) const {
  // After this time every entry either has the record or names no sources.
  if (now >= record.SeenAt + Settings.MaxStaleness + Settings.FetchTime)
    return true;
  // After a restore, an entry whose registration is missing from the copy is
  // not notified, and may name sources until its earlier state is too old.
  bool areAllNotified =
      Era == 0 || now >= EraSince + Settings.MaxStaleness + Settings.FetchTime;
  return areAllNotified && record.AgreedAt &&
         now >= *record.AgreedAt + Settings.FetchTime;
}

std::vector<Retirement> RetirementAgreement::freeable(TimePoint now) {
  auto safe = std::find_if(
      SeenRecords.rbegin(), SeenRecords.rend(),
      [&](const SeenRecord &record) { return isSafe(record, now); });
  if (safe == SeenRecords.rend())
    return LastFreeable;
  LastFreeable = safe->Retirements;
  // Keep the record itself until a later one is safe, so that onCatalog() does
  // not add it again.
  SeenRecords.erase(SeenRecords.begin(), safe.base() - 1);
  return LastFreeable;
}

uint64_t RetirementAgreement::unusedBelow(const Catalog &catalog,
                                          TimePoint now) {
  std::optional<uint64_t> oldest = catalog.oldestVersion();
  if (!oldest)
    return 0;
  if (*oldest != OldestVersion) {
    OldestVersion = *oldest;
    OldestVersionSince = now;
  }
  return now < OldestVersionSince + Settings.FreeDelay ? 0 : *oldest;
}

} // namespace daisytack::direct
