#include "engine_cache.h"

#include "base/digest.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace daisytack::standin {

std::string pieceBytes(const std::string &key, const std::string &version,
                       size_t size) {
  std::string out;
  out.reserve(size + sizeof(Digest256));
  std::string seed = key + "/" + version + "/";
  for (size_t i = 0; out.size() < size; ++i) {
    Digest256 block = sha256(seed + std::to_string(i));
    out.append(reinterpret_cast<const char *>(block.data()), block.size());
  }
  out.resize(size);
  return out;
}

bool EngineCache::isIntact(const std::string &key) const {
  auto it = Pieces.find(key);
  return it == Pieces.end() || it->second.Intact;
}

size_t
EngineCache::cachedPrefixLength(const std::vector<std::string> &keys) const {
  size_t n = 0;
  while (n < keys.size() && has(keys[n]))
    ++n;
  return n;
}

void EngineCache::store(const std::string &key, bool intact, TimePoint now) {
  if (Capacity == 0)
    return;
  auto it = Pieces.find(key);
  if (it != Pieces.end()) {
    it->second.Intact = intact;
    return;
  }
  while (Pieces.size() >= Capacity) {
    publish("evicted", Recent.back(), now);
    Pieces.erase(Recent.back());
    Recent.pop_back();
  }
  Recent.push_front(key);
  Pieces[key] = {Recent.begin(), intact};
  publish("stored", key, now);
}

void EngineCache::touch(const std::vector<std::string> &keys, size_t n) {
  for (size_t i = std::min(n, keys.size()); i-- > 0;) {
    auto it = Pieces.find(keys[i]);
    if (it != Pieces.end())
      Recent.splice(Recent.begin(), Recent, it->second.RecentPosition);
  }
}

void EngineCache::clear(TimePoint now) {
  Pieces.clear();
  Recent.clear();
  publish("cleared", "", now);
}

void EngineCache::publish(const char *kind, const std::string &key,
                          TimePoint now) {
  Events.push_back({NextSequence++, now, kind, key, ShouldDropEvent()});
  if (Events.size() > MaxEvents)
    Events.pop_front();
}

boost::json::object EngineCache::events(int64_t from, TimePoint now) const {
  boost::json::array visible;
  int64_t next = std::max<int64_t>(from, 1);
  for (const CacheEvent &event : Events) {
    if (event.PublishedAt + EventLag > now)
      break;
    if (event.Sequence < from)
      continue;
    next = event.Sequence + 1;
    if (!event.Dropped)
      visible.push_back(boost::json::object{{"sequence", event.Sequence},
                                            {"kind", event.Kind},
                                            {"piece", event.Key}});
  }
  return {{"events", std::move(visible)}, {"next", next}};
}

} // namespace daisytack::standin
