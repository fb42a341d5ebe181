#include "direct/retirement.h"

#include <algorithm>
#include <cmath>

namespace daisytack::direct {

void RetirementAgreement::onCatalog(const Catalog &catalog, TimePoint now) {
  for (const EntryPeer &peer : catalog.Entries)
    if (peer.Peer != Own)
      Remembered[peer.Peer] = now;
  std::erase_if(Remembered, [&](const auto &it) {
    return now >= it.second + Settings.Memory;
  });
}

std::optional<Retirement>
RetirementAgreement::retirementFor(const Catalog &catalog) const {
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
    return std::nullopt;
  // In quarters, so that entries are told few times.
  constexpr double Steps = 4;
  double share =
      std::min(1.0, std::floor((moved / all + Settings.Ahead) * Steps) / Steps);
  return Retirement{newest, share};
}

std::vector<TellEntry> RetirementAgreement::next(const Catalog &catalog,
                                                 TimePoint now) {
  onCatalog(catalog, now);
  if (AgreedAt && now >= *AgreedAt + Settings.FetchTime) {
    AgreedAt.reset();
    Agreed.push_back(Asked);
  }
  std::optional<Retirement> wanted = retirementFor(catalog);
  if (!wanted || Open > 0 || AgreedAt || now < AskAgainAt)
    return {};
  bool isNews =
      wanted->BelowVersion != Asked.BelowVersion || wanted->Share > Asked.Share;
  if (!isNews)
    return {};
  Wanted = wanted;
  AskAgainAt = now + Settings.AskPause;
  ++Round;
  AllAgreed = true;
  std::vector<TellEntry> out;
  for (const auto &[peer, listedAt] : Remembered)
    out.push_back({peer, {*wanted}, Round});
  Open = out.size();
  if (out.empty()) {
    Asked = *wanted;
    AgreedAt = now;
  }
  return out;
}

void RetirementAgreement::onTold(const TellEntry &told, bool hasAgreed,
                                 TimePoint now) {
  if (told.Round != Round || Open == 0)
    return;
  AllAgreed &= hasAgreed;
  if (--Open > 0)
    return;
  AskAgainAt = now + Settings.AskPause;
  if (!AllAgreed)
    return;
  Asked = *Wanted;
  AgreedAt = now;
}

uint64_t RetirementAgreement::unusedBelow(const Catalog &catalog,
                                          TimePoint now) {
  std::optional<uint64_t> oldest;
  for (const BackendServer &server : catalog.AllServers)
    for (const ModelVersion &weights : server.Weights)
      oldest = std::min(oldest.value_or(weights.Version), weights.Version);
  if (!oldest)
    return 0;
  if (*oldest != OldestSeen) {
    OldestSeen = *oldest;
    OldestSince = now;
  }
  return now < OldestSince + Settings.FreeDelay ? 0 : *oldest;
}

std::vector<Retirement> RetirementAgreement::freeable(const Catalog &catalog,
                                                      TimePoint now) {
  std::vector<Retirement> out = Agreed;
  if (uint64_t below = unusedBelow(catalog, now))
    out.push_back({below, 1});
  return out;
}

} // namespace daisytack::direct
