#include "direct/follow_plan.h"

#include "direct/rendezvous.h"

#include <algorithm>

namespace daisytack::direct {

std::vector<Endpoint> readersOf(const Catalog &catalog, std::string_view domain,
                                const FollowSettings &settings) {
  constexpr std::string_view Key = "readers";
  struct Rank {
    uint32_t LinkMbps;
    double Score;
    Endpoint Peer;
    auto operator<=>(const Rank &) const = default;
  };
  std::vector<Rank> ranked;
  for (const EntryPeer &it : catalog.Entries)
    if (it.FailureDomain == domain)
      ranked.push_back({it.LinkMbps, rendezvousScore(Key, it.Name), it.Peer});
  size_t readerCount = ranked.size();
  if (settings.EntriesPerReader > 0)
    readerCount = std::max(settings.MinReaders,
                           (ranked.size() + settings.EntriesPerReader - 1) /
                               settings.EntriesPerReader);
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(readerCount, ranked.size()));
  std::vector<Endpoint> out;
  out.reserve(ranked.size());
  for (Rank &it : ranked)
    out.push_back(std::move(it.Peer));
  return out;
}

FollowStep FollowPlan::next(const Catalog &catalog, TimePoint now) {
  // Until it is announced, an entry watches the service itself, because other
  // entries don't know it either. The holder of the order lease always does, to
  // plan on the most recent state.
  bool isAnnounced = std::find(catalog.Entries.begin(), catalog.Entries.end(),
                               Own) != catalog.Entries.end();
  if (!isAnnounced || catalog.Holder == Own.Name)
    return {};
  std::vector<Endpoint> readers =
      readersOf(catalog, Own.FailureDomain, Settings);
  if (std::find(readers.begin(), readers.end(), Own.Peer) != readers.end())
    return {};
  FollowStep out;
  out.WatchesService = !areReadersCurrent(now);
  if (now < NextPollAt)
    return out;
  NextPollAt = now + Settings.PollInterval;
  // Round-robin with a different first reader in each entry: if a reader is
  // unavailable or its state is stale, the next poll goes to another one.
  size_t index = stableHash(Own.Name) + PollCount++;
  out.PollTarget = readers[index % readers.size()];
  return out;
}

void FollowPlan::onAnswer(TimePoint confirmedAt, TimePoint now) {
  AnsweredAt = now;
  ConfirmedAt = std::max(ConfirmedAt, confirmedAt);
}

bool FollowPlan::areReadersCurrent(TimePoint now) {
  bool isCurrent = AnsweredAt && now < *AnsweredAt + Settings.ReaderTimeout &&
                   now < ConfirmedAt + Settings.StaleAfter;
  if (!isCurrent) {
    ReadersCurrentSince.reset();
    return false;
  }
  if (!ReadersCurrentSince)
    ReadersCurrentSince = now;
  return now >= *ReadersCurrentSince + Settings.SettleTime;
}

} // namespace daisytack::direct
