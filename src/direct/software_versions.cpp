#include "direct/software_versions.h"

namespace daisytack::direct {

void SoftwareVersions::onCatalog(const Catalog &catalog, bool isConfirmed,
                                 TimePoint now) {
  std::lock_guard guard(Lock);
  if (!isConfirmed || isInterruptedLocked(now))
    ConfirmedSince.reset();
  if (isConfirmed && !ConfirmedSince) {
    ConfirmedSince = now;
    ++Histories;
  }
  UpdatedAt = now;
  const BackendServer *last = nullptr;
  for (const BackendServer &it : catalog.AllServers) {
    bool isSame = last && last->Service == it.Service &&
                  last->SoftwareVersion == it.SoftwareVersion;
    if (!isSame)
      Seen[it.Service][it.SoftwareVersion] = now;
    last = &it;
  }
  for (auto &[service, versions] : Seen)
    std::erase_if(versions, [&](const auto &it) {
      return now >= it.second + Settings.Retention;
    });
  std::erase_if(Seen, [](const auto &it) { return it.second.empty(); });
}

void SoftwareVersions::onShortLived(const BackendServer &server,
                                    TimePoint now) {
  std::lock_guard guard(Lock);
  Seen[server.Service][server.SoftwareVersion] = now;
}

void SoftwareVersions::onMissedChanges() {
  std::lock_guard guard(Lock);
  ConfirmedSince.reset();
}

bool SoftwareVersions::isInterruptedLocked(TimePoint now) const {
  return now > UpdatedAt + Settings.MaxUpdateInterval;
}

SoftwareVersionsRecord SoftwareVersions::record(TimePoint now) const {
  SoftwareVersionsRecord out;
  std::lock_guard guard(Lock);
  if (ConfirmedSince && !isInterruptedLocked(now))
    out.HistoryMs = (now - *ConfirmedSince).count() / 1000;
  for (const auto &[service, versions] : Seen)
    for (const auto &[version, at] : versions)
      out.Versions[service].push_back(version);
  return out;
}

uint64_t SoftwareVersions::historyCount() const {
  std::lock_guard guard(Lock);
  return Histories;
}

void SoftwareVersions::inherit(const SoftwareVersionsRecord &record,
                               uint64_t history, TimePoint now) {
  std::lock_guard guard(Lock);
  if (!ConfirmedSince || Histories != history)
    return;
  // Neither time since the record was written is known.
  TimePoint since = now - std::chrono::milliseconds(record.HistoryMs);
  ConfirmedSince = std::min(*ConfirmedSince, since);
  for (const auto &[service, versions] : record.Versions)
    for (const std::string &version : versions)
      Seen[service][version] = now;
}

SeenVersions SoftwareVersions::seen(std::string_view service,
                                    TimePoint now) const {
  SeenVersions out;
  std::lock_guard guard(Lock);
  if (ConfirmedSince && !isInterruptedLocked(now))
    out.HistoryUs = (now - *ConfirmedSince).count();
  auto found = Seen.find(service);
  if (found == Seen.end())
    return out;
  for (const auto &[version, at] : found->second)
    if (now < at + Settings.Retention && out.Versions.size() < MaxSeenVersions)
      out.Versions.push_back(version);
  return out;
}

} // namespace daisytack::direct
