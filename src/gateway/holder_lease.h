/// The right of one entry to give orders: a key in the key-value service,
/// written under a lease. The revision at which it was is the fencing token.
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
  direct::OrderLeaseSettings Right;
  Duration CallTimeout{1'200'000};
  bool operator==(const HolderLeaseSettings &) const = default;
};

/// Runs on its strand.
class HolderLease : public std::enable_shared_from_this<HolderLease> {
public:
  HolderLease(Strand strand, edge::KvStore store, std::string key,
              std::string value, HolderLeaseSettings settings,
              DecisionLog &log);

  /// Tries to become the holder over the record of that revision (0: none),
  /// unless a try is under way or it is.
  void acquire(uint64_t replacedRevision);
  /// Renews when it is due. Call several times a second.
  void onTimer(TimePoint now);
  /// Another holder has a higher token: this one is never used again.
  void abandon(TimePoint now);
  /// Acts no more and lets the lease lapse, so that a successor waits as long
  /// as after a crash.
  void stop() { IsStopped = true; }

  /// The token while an act that follows at once is covered.
  std::optional<uint64_t> token(TimePoint now) const;
  bool isHeld() const { return Token != 0; }
  /// 0 when it is not held.
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
