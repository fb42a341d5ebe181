/// LRU prefix cache of the engine stand-in. Its events become visible after a
/// lag, and some can be dropped.
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

/// Content of a cached piece, derived from its key and the weight version, so
/// that an import of wrong bytes is detected.
std::string pieceBytes(const std::string &key, const std::string &version,
                       size_t size);

class EngineCache {
public:
  EngineCache(size_t capacity, Duration eventLag)
      : Capacity(capacity), EventLag(eventLag) {}

  /// Decides for each new event whether it is never delivered.
  std::function<bool()> ShouldDropEvent = [] { return false; };

  size_t size() const { return Pieces.size(); }
  size_t capacity() const { return Capacity; }
  bool has(const std::string &key) const { return Pieces.contains(key); }
  /// False when the piece was imported with wrong bytes.
  bool isIntact(const std::string &key) const;
  /// Number of leading keys that are cached.
  size_t cachedPrefixLength(const std::vector<std::string> &keys) const;

  void store(const std::string &key, bool intact, TimePoint now);
  /// Marks the first n pieces as most recently used, the first of them most
  /// recently.
  void touch(const std::vector<std::string> &keys, size_t n);
  void clear(TimePoint now);
  /// {"events", "next"}: the events from sequence number "from" on that are
  /// visible now, and the sequence number to continue with.
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
