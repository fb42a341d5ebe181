/// The platform's key-value service, as a set of hooks. An adapter implements
/// them for one protocol (src/edge/kv_etcd.h); tests pass in-process fakes.
///
/// Revisions are monotonic, even after the service was restored from an older
/// copy (direct/revision.h).
///
/// Every result distinguishes four cases: done, compare failed, certainly not
/// done, and possibly done.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <functional>
#include <string>
#include <vector>

namespace daisytack::edge {

enum class KvStatus : uint8_t {
  Ok,
  CompareFailed, ///< A compare of the transaction did not hold; nothing was
                 ///< written.
  Unavailable,   ///< No response is available; nothing was written.
  Unknown, ///< The response was lost after the request was sent: a write may or
           ///< may not have been applied, or may still be applied shortly.
};

/// Stable lower-case name: "compare_failed".
std::string_view kvStatusName(KvStatus status);

/// One key as stored by the service.
struct KvEntry {
  std::string Key;
  std::string Value;
  uint64_t CreateRevision = 0; ///< 0: the key does not exist.
  uint64_t ModRevision = 0;
  uint64_t Version = 0; ///< Number of writes since the key was created.
  uint64_t Lease = 0;   ///< 0: none.
  auto operator<=>(const KvEntry &) const = default;
};

/// Part of every response.
struct KvHeader {
  KvStatus Status = KvStatus::Unavailable;
  Error Reason;           ///< Set unless the status is Ok or CompareFailed.
  uint64_t ClusterId = 0; ///< Changes when the service is recreated.
  uint64_t Revision = 0;  ///< Store revision at the time of the response.
  /// Increases by one when the service is restored from an older copy; 0 when
  /// the service does not report it.
  uint64_t Era = 0;
};

/// Keys in [Begin, End), or the single key Begin when End is empty.
struct KvRange {
  std::string Begin;
  std::string End;
  uint64_t MinModRevision = 0; ///< Lowest ModRevision to return.
  uint64_t Limit = 0;          ///< 0: none.
};

struct KvRangeResult {
  KvHeader Header;
  std::vector<KvEntry> Entries; ///< Sorted by key.
  bool More = false;            ///< The limit excluded further keys.
};

/// Holds when the key's field equals Number. All fields of a key that does not
/// exist are 0.
struct KvCompare {
  enum class Target : uint8_t { CreateRevision, ModRevision, Version, Lease };
  std::string Key;
  Target Field = Target::ModRevision;
  uint64_t Number = 0;
};

/// A put or a deletion of one key.
struct KvWrite {
  std::string Key;
  std::string Value;
  uint64_t Lease = 0;
  bool Delete = false;
};

/// Applies all writes at one revision if all compares hold. Otherwise writes
/// nothing and returns the keys in ReadOnFailure.
struct KvTransaction {
  std::vector<KvCompare> If;
  std::vector<KvWrite> Then;
  std::vector<std::string> ReadOnFailure;
};

struct KvTransactionResult {
  KvHeader Header; ///< With Ok: written at Header.Revision.
  /// With CompareFailed: the existing keys of ReadOnFailure.
  std::vector<KvEntry> Current;
};

struct KvLeaseResult {
  KvHeader Header;
  uint64_t Lease = 0;   ///< 0 after a keepalive: the lease has expired.
  Duration TimeLeft{0}; ///< Granted by the service, counted from its response.
};

/// A change reported by a watch. For a deletion only Key and ModRevision are
/// set.
struct KvChange {
  KvEntry Entry;
  bool Deleted = false;
};

/// Callbacks of a watch, called in order and never after Ended.
struct KvWatchHooks {
  /// With this call, all changes up to the header's revision have been
  /// reported. A call without changes reports progress.
  std::function<void(const KvHeader &, std::vector<KvChange>)> Changed;
  /// The watch has ended. A compact revision above 0 means that changes before
  /// it are lost, and the caller must read the whole range again.
  std::function<void(const KvHeader &, uint64_t compactRevision)> Ended;
};

/// Ends a watch or abandons a call; its hook is then called with Unknown.
using KvCancel = std::function<void()>;

/// All hooks are asynchronous and may be called from any thread; results arrive
/// on an I/O thread, exactly once each.
struct KvStore {
  std::function<void(KvRange, Duration timeout,
                     std::function<void(KvRangeResult)>)>
      Range;
  /// A plain put is a transaction without compares.
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
  /// Reports changes of keys in [Begin, End) from the revision on.
  std::function<KvCancel(std::string begin, std::string end,
                         uint64_t fromRevision, KvWatchHooks)>
      Watch;
  /// The latest era in any response. May be null, which means 0.
  std::function<uint64_t()> LatestEra;
};

/// Returns the first key after all keys with the prefix.
std::string prefixEnd(std::string prefix);

} // namespace daisytack::edge
