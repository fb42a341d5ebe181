/// The platform's key-value service, as hooks. One adapter implements them for
/// one protocol (src/edge/kv_etcd.h); tests pass in-process fakes.
///
/// Revisions only rise, also when the service comes back from an older copy of
/// itself (direct/revision.h).
///
/// Every result tells apart what the caller must tell apart: done, the compare
/// failed, surely not done, and perhaps done.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <functional>
#include <string>
#include <vector>

namespace daisytack::edge {

enum class KvStatus : uint8_t {
  Ok,
  CompareFailed, ///< A transaction's compares did not hold; nothing written.
  Unavailable,   ///< No answer can be had; nothing written.
  Unknown, ///< The answer was lost after the request was sent: a write may or
           ///< may not have been applied, now or a little later.
};

/// Stable lower-case name: "compare_failed".
std::string_view kvStatusName(KvStatus status);

/// One key as the service holds it.
struct KvEntry {
  std::string Key;
  std::string Value;
  uint64_t CreateRevision = 0; ///< 0: the key does not exist.
  uint64_t ModRevision = 0;
  uint64_t Version = 0; ///< Writes since the key was created.
  uint64_t Lease = 0;   ///< 0: none.
  auto operator<=>(const KvEntry &) const = default;
};

/// What every answer says of the service.
struct KvHeader {
  KvStatus Status = KvStatus::Unavailable;
  Error Reason;           ///< Unless Ok or CompareFailed.
  uint64_t ClusterId = 0; ///< Differs when the service was set up anew.
  uint64_t Revision = 0;  ///< Of the whole store, when it answered.
  /// Rises by one when the service comes back from an older copy of itself; 0
  /// where it does not tell.
  uint64_t Era = 0;
};

/// Keys in [Begin, End), or the one key Begin when End is empty.
struct KvRange {
  std::string Begin;
  std::string End;
  uint64_t MinModRevision = 0; ///< Leaves out keys last changed before.
  uint64_t Limit = 0;          ///< 0: none.
};

struct KvRangeResult {
  KvHeader Header;
  std::vector<KvEntry> Entries; ///< Sorted by key.
  bool More = false;            ///< The limit left some out.
};

/// Holds when the key's number equals Number. A key that does not exist has 0
/// for all of them.
struct KvCompare {
  enum class Target : uint8_t { CreateRevision, ModRevision, Version, Lease };
  std::string Key;
  Target Field = Target::ModRevision;
  uint64_t Number = 0;
};

/// A put, or a deletion.
struct KvWrite {
  std::string Key;
  std::string Value;
  uint64_t Lease = 0;
  bool Delete = false;
};

/// All writes at one revision when all compares hold; otherwise nothing is
/// written and the keys in ReadOnFailure are answered.
struct KvTransaction {
  std::vector<KvCompare> If;
  std::vector<KvWrite> Then;
  std::vector<std::string> ReadOnFailure;
};

struct KvTransactionResult {
  KvHeader Header; ///< Ok: written at Header.Revision.
  /// When the compare failed: the keys of ReadOnFailure that exist.
  std::vector<KvEntry> Current;
};

struct KvLeaseResult {
  KvHeader Header;
  uint64_t Lease = 0;   ///< 0 after a keepalive: the lease has lapsed.
  Duration TimeLeft{0}; ///< Granted by the service, counted from its answer.
};

/// A change that a watch reports. Deleted: only Key and ModRevision are set.
struct KvChange {
  KvEntry Entry;
  bool Deleted = false;
};

/// Called in order, and never after Ended.
struct KvWatchHooks {
  /// All changes up to the header's revision have been reported with this call.
  /// Without changes it is a sign of progress.
  std::function<void(const KvHeader &, std::vector<KvChange>)> Changed;
  /// The watch is over. A compact revision above 0: changes before it are lost,
  /// so that the caller must read the whole range again.
  std::function<void(const KvHeader &, uint64_t compactRevision)> Ended;
};

/// Ends a watch or gives up a call; its hook is then called with Unknown.
using KvCancel = std::function<void()>;

/// All hooks are asynchronous and may be called from any thread; results arrive
/// on an I/O thread, exactly once each.
struct KvStore {
  std::function<void(KvRange, Duration timeout,
                     std::function<void(KvRangeResult)>)>
      Range;
  /// Also serves a plain put: a transaction without compares.
  std::function<void(KvTransaction, Duration timeout,
                     std::function<void(KvTransactionResult)>)>
      Commit;
  std::function<void(Duration timeToLive, Duration timeout,
                     std::function<void(KvLeaseResult)>)>
      GrantLease;
  std::function<void(uint64_t lease, Duration timeout,
                     std::function<void(KvLeaseResult)>)>
      KeepLease;
  std::function<void(uint64_t lease, Duration timeout,
                     std::function<void(KvLeaseResult)>)>
      RevokeLease;
  /// Changes of [Begin, End) from the revision on.
  std::function<KvCancel(std::string begin, std::string end,
                         uint64_t fromRevision, KvWatchHooks)>
      Watch;
  /// The latest era that any answer told. May be null: 0.
  std::function<uint64_t()> LatestEra;
};

/// First key after all keys that start with the prefix.
std::string prefixEnd(std::string prefix);

} // namespace daisytack::edge
