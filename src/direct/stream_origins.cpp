#include "direct/stream_origins.h"

#include "base/digest.h"

#include <algorithm>
#include <cstring>

namespace daisytack::direct {

Id128 streamKey(std::string_view organisation, std::string_view requestId) {
  // The length keeps different pairs apart.
  std::string text = std::to_string(organisation.size()) + ":";
  text.append(organisation).append(requestId);
  Digest256 digest = sha256(text);
  Id128 out;
  std::memcpy(&out.Hi, digest.data(), sizeof(out.Hi));
  std::memcpy(&out.Lo, digest.data() + sizeof(out.Hi), sizeof(out.Lo));
  return out;
}

StreamOwnerIndex::StreamOwnerIndex(const std::vector<EntryPeer> &entries) {
  Entries.reserve(entries.size());
  for (const EntryPeer &it : entries)
    Entries.emplace_back(stableHash(it.Name), it.Peer);
}

std::vector<Endpoint> StreamOwnerIndex::ownersOf(const Id128 &stream,
                                                 const Endpoint &except) const {
  using Ranked = std::pair<uint64_t, const Endpoint *>;
  std::vector<Ranked> ranked;
  ranked.reserve(Entries.size());
  for (const auto &[hash, peer] : Entries)
    ranked.emplace_back(mix64(hash ^ stream.Lo), &peer);
  size_t n = std::min(StreamOwners, ranked.size());
  std::partial_sort(
      ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n),
      ranked.end(),
      [](const Ranked &a, const Ranked &b) { return a.first > b.first; });
  std::vector<Endpoint> out;
  for (size_t i = 0; i < n; ++i)
    if (*ranked[i].second != except)
      out.push_back(*ranked[i].second);
  return out;
}

void StreamOrigins::beginGenerationLocked(TimePoint now) {
  Older = std::exchange(Recent, {});
  RecentSince = now;
  RecentTextBytes = 0;
}

void StreamOrigins::countTextLocked(const StreamOrigin &origin, TimePoint now) {
  size_t bytes = origin.Service.size() + origin.SoftwareVersion.size();
  if (RecentTextBytes + bytes > Settings.MaxTextBytes)
    beginGenerationLocked(now);
  RecentTextBytes += bytes;
}

void StreamOrigins::addLocked(const Id128 &stream, Item item) {
  bool isOld = item.At >= RecentSince + Settings.Retention;
  if (isOld || Recent.size() >= Settings.MaxStreams)
    beginGenerationLocked(item.At);
  Recent.insert_or_assign(stream, std::move(item));
}

bool StreamOrigins::onBegan(const Id128 &stream, const StreamOrigin &origin,
                            TimePoint now) {
  std::lock_guard guard(Lock);
  countTextLocked(origin, now);
  addLocked(stream, {std::make_shared<const StreamOrigin>(origin), now, true});
  bool isFirst = Untold.empty();
  auto it = std::find_if(Untold.begin(), Untold.end(), [&](const auto &known) {
    return known.Origin == origin;
  });
  if (it == Untold.end())
    it = Untold.insert(it, {origin, {}});
  it->Streams.push_back(stream);
  return isFirst;
}

void StreamOrigins::onTold(const StreamsBegan &message, TimePoint now) {
  auto origin = std::make_shared<const StreamOrigin>(message.Origin);
  std::lock_guard guard(Lock);
  countTextLocked(*origin, now);
  for (const Id128 &stream : message.Streams)
    addLocked(stream, {origin, now, false});
}

std::optional<KnownOrigin> StreamOrigins::find(const Id128 &stream,
                                               TimePoint now) const {
  std::lock_guard guard(Lock);
  for (const Generation *it : {&Recent, &Older})
    if (auto found = it->find(stream); found != it->end())
      return KnownOrigin{*found->second.Origin, now - found->second.At,
                         found->second.IsOwn};
  return std::nullopt;
}

std::vector<StreamsBegan> StreamOrigins::takeUntold() {
  std::lock_guard guard(Lock);
  return std::exchange(Untold, {});
}

} // namespace daisytack::direct
