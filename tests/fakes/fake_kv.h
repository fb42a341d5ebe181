/// In-process fake of the key-value service with revisions, compares and
/// leases. Callers pass the time; the tests inject faults around the calls.
#pragma once

#include "edge/kv.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace daisytack::test {

class FakeKv {
public:
  explicit FakeKv(uint64_t clusterId = 1) : ClusterId(clusterId) {}

  edge::KvRangeResult range(const edge::KvRange &keys, TimePoint now) {
    expire(now);
    edge::KvRangeResult out;
    out.Header = header(edge::KvStatus::Ok);
    for (const auto &[key, entry] : Entries) {
      bool inRange = keys.End.empty() ? key == keys.Begin
                                      : key >= keys.Begin && key < keys.End;
      if (inRange && entry.ModRevision >= keys.MinModRevision)
        out.Entries.push_back(entry);
    }
    return out;
  }

  edge::KvTransactionResult commit(const edge::KvTransaction &transaction,
                                   TimePoint now) {
    expire(now);
    edge::KvTransactionResult out;
    bool succeeded = std::all_of(
        transaction.If.begin(), transaction.If.end(),
        [&](const edge::KvCompare &it) { return compareSucceeds(it); });
    if (!succeeded) {
      out.Header = header(edge::KvStatus::CompareFailed);
      for (const auto &key : transaction.ReadOnFailure)
        if (auto it = Entries.find(key); it != Entries.end())
          out.Current.push_back(it->second);
      return out;
    }
    if (!leasesExist(transaction)) {
      out.Header = header(edge::KvStatus::Unavailable);
      out.Header.Reason = {ErrorKind::ServiceUnavailable, "no such lease"};
      return out;
    }
    ++Revision;
    for (const auto &it : transaction.Then)
      write(it);
    out.Header = header(edge::KvStatus::Ok);
    return out;
  }

  edge::KvLeaseResult grant(Duration timeToLive, TimePoint now) {
    expire(now);
    uint64_t id = ++LastLease;
    Leases[id] = {timeToLive, now + timeToLive};
    return {header(edge::KvStatus::Ok), id, timeToLive};
  }

  edge::KvLeaseResult keepAlive(uint64_t lease, TimePoint now) {
    expire(now);
    auto it = Leases.find(lease);
    if (it == Leases.end())
      return {header(edge::KvStatus::Ok), 0, Duration(0)};
    it->second.ExpiresAt = now + it->second.TimeToLive;
    return {header(edge::KvStatus::Ok), lease, it->second.TimeToLive};
  }

  edge::KvLeaseResult revoke(uint64_t lease, TimePoint now) {
    expire(now);
    Leases.erase(lease);
    deleteKeysOf(lease);
    return {header(edge::KvStatus::Ok), lease, Duration(0)};
  }

  /// Removes expired leases and the keys attached to them.
  void expire(TimePoint now) {
    for (auto it = Leases.begin(); it != Leases.end();) {
      if (now < it->second.ExpiresAt) {
        ++it;
        continue;
      }
      deleteKeysOf(it->first);
      it = Leases.erase(it);
    }
  }

  edge::KvHeader header(edge::KvStatus status) const {
    edge::KvHeader out;
    out.Status = status;
    out.ClusterId = ClusterId;
    out.Revision = Revision;
    return out;
  }

  uint64_t revision() const { return Revision; }
  const std::map<std::string, edge::KvEntry> &entries() const {
    return Entries;
  }

private:
  struct Lease {
    Duration TimeToLive{0};
    TimePoint ExpiresAt;
  };

  bool compareSucceeds(const edge::KvCompare &condition) const {
    auto it = Entries.find(condition.Key);
    edge::KvEntry entry = it == Entries.end() ? edge::KvEntry{} : it->second;
    using Target = edge::KvCompare::Target;
    switch (condition.Field) {
    case Target::CreateRevision:
      return entry.CreateRevision == condition.Number;
    case Target::ModRevision:
      return entry.ModRevision == condition.Number;
    case Target::Version:
      return entry.Version == condition.Number;
    case Target::Lease:
      return entry.Lease == condition.Number;
    }
    return false;
  }

  bool leasesExist(const edge::KvTransaction &transaction) const {
    return std::all_of(transaction.Then.begin(), transaction.Then.end(),
                       [&](const edge::KvWrite &it) {
                         return it.Lease == 0 || Leases.contains(it.Lease);
                       });
  }

  void write(const edge::KvWrite &change) {
    if (change.Delete) {
      Entries.erase(change.Key);
      return;
    }
    edge::KvEntry &entry = Entries[change.Key];
    entry.Key = change.Key;
    entry.Value = change.Value;
    entry.Lease = change.Lease;
    entry.ModRevision = Revision;
    if (entry.CreateRevision == 0)
      entry.CreateRevision = Revision;
    ++entry.Version;
  }

  void deleteKeysOf(uint64_t lease) {
    size_t n = std::erase_if(
        Entries, [&](const auto &it) { return it.second.Lease == lease; });
    if (n > 0)
      ++Revision;
  }

  uint64_t ClusterId;
  uint64_t Revision = 1;
  uint64_t LastLease = 100;
  std::map<std::string, edge::KvEntry> Entries;
  std::map<uint64_t, Lease> Leases;
};

} // namespace daisytack::test
