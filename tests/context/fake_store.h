/// In-memory store of kept context that can inject the faults that reads and
/// writes must tolerate.
#pragma once

#include "context/committed_write.h"
#include "context/verified_read.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace daisytack {

inline PieceKey testKey(uint8_t n) {
  PieceKey out;
  out.Bytes.fill(n);
  return out;
}

class FakeStore {
public:
  struct Entry {
    uint64_t Generation = 0;
    uint64_t Length = 0;
    Digest256 Checksum{};
    std::string Bytes;
    std::string Meta;
  };

  bool Down = false;
  uint64_t Capacity = UINT64_MAX; ///< Bytes.

  // Requests of writers.
  uint64_t create(const PieceKey &key) {
    Uncommitted[++LastGeneration] = {key, {}};
    return LastGeneration;
  }
  PutAnswer put(uint64_t generation, const std::string &bytes) {
    auto it = Uncommitted.find(generation);
    if (it == Uncommitted.end())
      return PutAnswer::Refused;
    if (used() + bytes.size() > Capacity)
      return PutAnswer::Full;
    it->second.second = bytes;
    return PutAnswer::Stored;
  }
  CommitAnswer commit(uint64_t generation, const Digest256 &checksum,
                      const std::string &meta = {}) {
    auto it = Uncommitted.find(generation);
    if (it == Uncommitted.end())
      return Visible.contains(keyOf(generation)) ? CommitAnswer::Committed
                                                 : CommitAnswer::Refused;
    auto [key, bytes] = it->second;
    Uncommitted.erase(it);
    if (Visible[key].Generation > generation)
      return CommitAnswer::Refused;
    Visible[key] = {generation, bytes.size(), checksum, bytes, meta};
    return CommitAnswer::Committed;
  }
  void erase(const PieceKey &key, uint64_t generation) {
    Uncommitted.erase(generation);
    auto it = Visible.find(key);
    if (it != Visible.end() && it->second.Generation == generation)
      Visible.erase(it);
  }
  std::vector<SampledPiece> sample() const {
    std::vector<SampledPiece> out;
    for (const auto &[key, entry] : Visible)
      out.push_back({key, entry.Generation, entry.Length, entry.Meta});
    return out;
  }

  /// Writes and commits a complete piece.
  void write(const PieceKey &key, std::string_view payload,
             const std::string &meta = {}) {
    uint64_t generation = create(key);
    std::string frame = encodePieceFrame(key, generation, payload);
    put(generation, frame);
    commit(generation, sha256(frame), meta);
  }

  // Requests of readers.
  std::optional<LookupAnswer> lookup(const PieceKey &key) const {
    const Entry *entry = find(key);
    if (entry == nullptr)
      return std::nullopt;
    return LookupAnswer{key, entry->Generation, entry->Length};
  }
  PieceHeader header(const PieceKey &key) const {
    const Entry *entry = find(key);
    if (entry == nullptr)
      return {};
    return {entry->Generation, entry->Length, entry->Checksum};
  }
  std::string bytes(const PieceKey &key) const {
    const Entry *entry = find(key);
    return entry == nullptr ? std::string() : entry->Bytes;
  }
  uint64_t generation(const PieceKey &key) const {
    const Entry *entry = find(key);
    return entry == nullptr ? 0 : entry->Generation;
  }
  size_t visible() const { return Visible.size(); }
  size_t uncommitted() const { return Uncommitted.size(); }

  // Fault injection.
  void truncate(const PieceKey &key) { Visible[key].Bytes.resize(9); }
  void flipBit(const PieceKey &key) { Visible[key].Bytes.back() ^= 1; }
  void drop(const PieceKey &key) { Visible.erase(key); }
  /// Makes the store return the other key's piece for this key.
  void alias(const PieceKey &key, const PieceKey &other) {
    Visible[key] = Visible[other];
  }

private:
  const Entry *find(const PieceKey &key) const {
    auto it = Visible.find(key);
    return it == Visible.end() ? nullptr : &it->second;
  }
  PieceKey keyOf(uint64_t generation) const {
    for (const auto &[key, entry] : Visible)
      if (entry.Generation == generation)
        return key;
    return {};
  }
  uint64_t used() const {
    uint64_t out = 0;
    for (const auto &it : Visible)
      out += it.second.Bytes.size();
    for (const auto &it : Uncommitted)
      out += it.second.second.size();
    return out;
  }

  uint64_t LastGeneration = 0;
  std::map<PieceKey, Entry> Visible;
  std::map<uint64_t, std::pair<PieceKey, std::string>> Uncommitted;
};

} // namespace daisytack
