/// Acquires, renews and gives up the order lease (direct/order_lease.h) of this
/// entry: a key in the key-value service, written under a lease. The revision
/// of that write is the fencing token.
#pragma once

#include "direct/order_lease.h"
#include "edge/kv.h"
#include "gateway/kv_service_follower.h"
#include "net/timer.h"
#include "swap/lease.h"

#include <memory>
#include <optional>

namespace daisytack::gateway {

struct HolderLeaseSettings {
  direct::OrderLeaseSettings OrderLease;
  Duration CallTimeout{1'200'000};
  bool operator==(const HolderLeaseSettings &) const = default;
};

/// Does all its work on the strand passed to the constructor.
class HolderLease : public std::enable_shared_from_this<HolderLease> {
public:
  HolderLease(Strand strand, edge::KvStore store, std::string key,
              std::string value, HolderLeaseSettings settings,
              DecisionLog &log);

  /// Tries to become the holder by replacing the record of that revision (0:
  /// there is none). Has no effect if this entry holds the order lease or is
  /// acquiring it.
  void acquire(uint64_t replacedRevision);
  /// Renews the lease when that is due. Call several times a second.
  void onTimer(TimePoint now);
  /// Gives up the order lease because another holder has a higher token. The
  /// token of this entry is never used again.
  void abandon(TimePoint now);
  /// Stops acting and lets the lease expire, so that a successor waits as long
  /// as after a crash.
  void stop() { IsStopped = true; }

  /// The fencing token if the lease covers an action that follows at once;
  /// nothing otherwise.
  std::optional<uint64_t> token(TimePoint now) const;
  bool isHeld() const { return Token != 0; }
  /// The fencing token; 0 if the order lease is not held.
  uint64_t heldToken() const { return Token; }
  bool isAcquiring() const { return IsAcquiring; }

private:
  void onGranted(const edge::KvLeaseResult &result, uint64_t replacedRevision,
                 TimePoint askedAt);
  void claim(uint64_t replacedRevision);
  void onClaimed(const edge::KvTransactionResult &result);
  void readBack();
  void hold(uint64_t token);
  void release();

  Strand Executor;
  edge::KvStore Store;
  std::string Key;
  std::string Value;
  HolderLeaseSettings Settings;
  DecisionLog &Log;
  swap::Lease LeaseState;
  uint64_t Token = 0;
  bool IsAcquiring = false;
  bool IsRenewing = false;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
