/// Prefix cache of the engine stand-in, with the events it publishes late and
/// with gaps.
#pragma once

#include "daisytack/types.h"

#include <boost/json/object.hpp>

#include <deque>
#include <functional>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace daisytack::standin {

/// Bytes of a cached piece: a function of its key and the weight version, so
/// that a wrong one is noticed.
std::string pieceBytes(const std::string &key, const std::string &version,
                       size_t size);

class EngineCache {
public:
  EngineCache(size_t capacity, Duration eventLag)
      : Capacity(capacity), EventLag(eventLag) {}

  /// Tells whether the event being made is lost on its way.
  std::function<bool()> ShouldDropEvent = [] { return false; };

  size_t size() const { return Pieces.size(); }
  size_t capacity() const { return Capacity; }
  bool has(const std::string &key) const { return Pieces.contains(key); }
  /// False for an imported piece whose bytes were not the expected ones.
  bool isIntact(const std::string &key) const;
  /// Leading pieces that are cached.
  size_t cachedPrefixLength(const std::vector<std::string> &keys) const;

  void store(const std::string &key, bool intact, TimePoint now);
  /// Makes the pieces the last to be evicted, the first of them last of all.
  void touch(const std::vector<std::string> &keys, size_t n);
  void clear(TimePoint now);
  /// {"events", "next"} of those from that sequence number on that show by
  /// now.
  boost::json::object events(int64_t from, TimePoint now) const;

private:
  struct Piece {
    std::list<std::string>::iterator RecentPosition;
    bool Intact = true;
  };
  struct CacheEvent {
    int64_t Sequence = 0;
    TimePoint PublishedAt;
    const char *Kind = "";
    std::string Key;
    bool Dropped = false;
  };
  static constexpr size_t MaxEvents = 8192;
  void publish(const char *kind, const std::string &key, TimePoint now);

  size_t Capacity;
  Duration EventLag;
  std::list<std::string> Recent; ///< Most recently used first.
  std::unordered_map<std::string, Piece> Pieces;
  int64_t NextSequence = 1;
  std::deque<CacheEvent> Events;
};

} // namespace daisytack::standin
