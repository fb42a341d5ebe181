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

bool mayNameSources(const SourceStanding &standing, Duration trust,
                    TimePoint now) {
  return standing.HasReadAll && standing.KnowsRetired &&
         standing.IsRegistered && now < standing.ListedAt + trust;
}

std::vector<Retirement> mergeRetired(std::vector<Retirement> a,
                                     const std::vector<Retirement> &b) {
  a.insert(a.end(), b.begin(), b.end());
  std::sort(a.begin(), a.end());
  std::vector<Retirement> out;
  for (size_t i = 0; i < a.size(); ++i) {
    // Sorted: what covers another, or equals it, stands behind it or at a
    // higher version.
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
    // Whoever reads the copy alone may name what was agreed on since.
    Stages.clear();
    Safe.clear();
  }
  EraSince = catalog.EraSince;
  notePeers(catalog, now);
  uint64_t known = Stages.empty() ? 0 : Stages.back().Revision;
  if (catalog.RetiredRevision > known)
    Stages.push_back(
        {catalog.RetiredRevision, catalog.RetiredRecorded, now, {}, {}});
}

std::vector<Retirement> RetirementAgreement::retiredFor(const Catalog &catalog,
                                                        double spareShare,
                                                        TimePoint now) {
  std::vector<Retirement> out;
  if (uint64_t below = unusedBelow(catalog, now); below > 1)
    out.push_back({below, 1});
  uint64_t newest = 0;
  for (const auto &[model, wanted] : catalog.Wanted)
    newest = std::max(newest, wanted.back().Version);
  double moved = 0;
  double all = 0;
  for (const BackendServer &server : catalog.AllServers) {
    if (server.Weights.empty())
      continue;
    all += 1;
    moved += server.Weights.front().Version >= newest ? 1 : 0;
  }
  if (all == 0 || newest < 2)
    return out;
  // In quarters, so that entries are told few times.
  constexpr double Steps = 4;
  double needed = moved / all - spareShare;
  double share = std::min(1.0, std::floor(needed * Steps) / Steps);
  if (share > 0)
    out.push_back({newest, share});
  return out;
}

std::vector<RetirementAction> RetirementAgreement::next(const Catalog &catalog,
                                                        double spareShare,
                                                        TimePoint now) {
  onCatalog(catalog, now);
  std::vector<RetirementAction> out;
  // What another writer put over the record can't be added to, only replaced by
  // less.
  if (!catalog.IsRetiredReadable)
    return out;
  std::vector<Retirement> wanted =
      mergeRetired(catalog.Retired, retiredFor(catalog, spareShare, now));
  if (wanted != catalog.RetiredRecorded && !IsWriting && now >= WriteAgainAt) {
    IsWriting = true;
    out.push_back(WriteRetired{std::move(wanted), catalog.RetiredRevision});
  }
  if (std::optional<RemoveRegistration> gone = removal(now))
    out.push_back(*gone);
  noteAgreements(now);
  for (TellEntry &tell : tells(now))
    out.push_back(std::move(tell));
  return out;
}

std::optional<RemoveRegistration> RetirementAgreement::removal(TimePoint now) {
  if (IsWriting || now < WriteAgainAt)
    return std::nullopt;
  for (const auto &[endpoint, peer] : Peers) {
    // What was last announced there trusts its knowledge no more, and its
    // fetches have ended.
    bool isGone =
        peer.AbsentSince &&
        now >= *peer.AbsentSince + Settings.Trust + Settings.FetchTime;
    if (!isGone)
      continue;
    IsWriting = true;
    return RemoveRegistration{endpoint, peer.Revision};
  }
  return std::nullopt;
}

std::vector<TellEntry> RetirementAgreement::tells(TimePoint now) {
  std::vector<TellEntry> out;
  if (Stages.empty() || Stages.back().AgreedAt)
    return out;
  const Stage &newest = Stages.back();
  for (auto &[endpoint, peer] : Peers) {
    bool isDue = !peer.IsAsked && now >= peer.AskAgainAt;
    if (!isDue || newest.Agreed.contains(endpoint))
      continue;
    peer.IsAsked = true;
    out.push_back({endpoint, newest.What, newest.Revision});
  }
  return out;
}

void RetirementAgreement::onWritten(TimePoint now) {
  // Whether it was carried out, the service itself will tell.
  IsWriting = false;
  WriteAgainAt = now + Settings.AskPause;
}

void RetirementAgreement::onTold(const TellEntry &told, bool hasAgreed,
                                 TimePoint now) {
  if (auto it = Peers.find(told.Peer); it != Peers.end()) {
    it->second.IsAsked = false;
    it->second.AskAgainAt = hasAgreed ? now : now + Settings.AskPause;
  }
  if (!hasAgreed)
    return;
  for (Stage &stage : Stages)
    if (stage.Revision <= told.Revision)
      stage.Agreed.insert(told.Peer);
  noteAgreements(now);
}

void RetirementAgreement::noteAgreements(TimePoint now) {
  for (Stage &stage : Stages) {
    if (stage.AgreedAt)
      continue;
    bool allAgreed =
        std::all_of(Peers.begin(), Peers.end(), [&](const auto &it) {
          return stage.Agreed.contains(it.first);
        });
    if (allAgreed)
      stage.AgreedAt = now;
  }
}

bool RetirementAgreement::isSafe(const Stage &stage, TimePoint now) const {
  // By now every entry knows it or names nothing.
  if (now >= stage.SeenAt + Settings.Trust + Settings.FetchTime)
    return true;
  // An entry whose registration is not in the copy is not asked, and may name
  // sources until its trust in what it knew before is over.
  bool areAllAsked =
      Era == 0 || now >= EraSince + Settings.Trust + Settings.FetchTime;
  return areAllAsked && stage.AgreedAt &&
         now >= *stage.AgreedAt + Settings.FetchTime;
}

std::vector<Retirement> RetirementAgreement::freeable(TimePoint now) {
  auto safe =
      std::find_if(Stages.rbegin(), Stages.rend(),
                   [&](const Stage &stage) { return isSafe(stage, now); });
  if (safe == Stages.rend())
    return Safe;
  Safe = safe->What;
  // It stays until a later one is safe, so that it is not taken for news.
  Stages.erase(Stages.begin(), safe.base() - 1);
  return Safe;
}

uint64_t RetirementAgreement::unusedBelow(const Catalog &catalog,
                                          TimePoint now) {
  std::optional<uint64_t> oldest = catalog.oldestVersion();
  if (!oldest)
    return 0;
  if (*oldest != OldestSeen) {
    OldestSeen = *oldest;
    OldestSince = now;
  }
  return now < OldestSince + Settings.FreeDelay ? 0 : *oldest;
}

} // namespace daisytack::direct
