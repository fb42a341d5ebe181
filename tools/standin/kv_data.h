/// Stored state of the key-value stand-in. Requests and responses are etcd's
/// JSON: 64-bit integers are strings, keys and values are base64, and fields
/// with their default value are omitted.
#pragma once

#include "standin_server.h"

#include <map>
#include <vector>

namespace daisytack::standin {

/// Keys in [First, End), or the one key First when End is empty. An End of one
/// zero byte means all keys from First on.
struct KeyRange {
  std::string First;
  std::string End;
  bool contains(std::string_view key) const;
};

/// The range given by "key" and "range_end" of a request.
KeyRange rangeOf(const json::object &request);

class KeyValueData {
public:
  json::object header() const;
  int64_t revision() const { return Revision; }
  int64_t compacted() const { return Compacted; }
  size_t size() const { return Keys.size(); }
  size_t leaseCount() const { return Leases.size(); }

  json::object range(const json::object &request) const;
  /// Changes to keys in the range at the given revision and later, as etcd's
  /// watch events.
  json::array eventsSince(int64_t revision, const KeyRange &range) const;

  json::object put(const json::object &request);
  void put(const std::string &key, const std::string &value, int64_t lease);
  json::object erase(const json::object &request);
  json::object transact(const json::object &request);
  json::object grant(const json::object &request, TimePoint now);
  json::object keepAlive(const json::object &request, TimePoint now);
  json::object revoke(const json::object &request);
  void expireLeases(TimePoint now);
  void compact();

private:
  struct Entry {
    std::string Value;
    int64_t CreateRevision = 0;
    int64_t ModRevision = 0;
    int64_t Version = 0;
    int64_t Lease = 0;
  };
  struct Lease {
    int64_t Seconds = 0;
    TimePoint ExpiresAt;
  };
  struct Change {
    int64_t Revision = 0;
    std::string Key;
    std::optional<Entry> After; ///< std::nullopt for a deletion.
  };

  static json::object entryJson(const std::string &key, const Entry &entry);
  bool compareSucceeds(const json::object &compare) const;
  json::object apply(const json::object &operation, int64_t revision);
  void putAt(int64_t revision, const std::string &key, const std::string &value,
             int64_t lease);
  int64_t eraseAt(int64_t revision, const KeyRange &range);
  void dropLease(int64_t id);

  int64_t Revision = 1;
  int64_t Compacted = 0;
  int64_t NextLease = 7001;
  std::map<std::string, Entry> Keys;
  std::map<int64_t, Lease> Leases;
  std::vector<Change> History;
};

} // namespace daisytack::standin
