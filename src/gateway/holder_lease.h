/// The right of one entry to give orders: a key in the key-value service,
/// created under a lease. The revision of its creation is the fencing token.
#pragma once

#include "edge/kv.h"
#include "gateway/store_follower.h"
#include "swap/lease.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>

namespace daisytack::gateway {

struct HolderLeaseSettings {
  Duration Term{3'000'000};
  /// Before the lease could have lapsed, this process stops to act: an order
  /// takes so long at most from the check until it reaches a server.
  Duration PauseMargin{1'000'000};
  Duration CallTimeout{1'200'000};
  /// A new holder waits so long before it acts, where nobody else refuses what
  /// its predecessor may still send.
  Duration SettleTime{2'000'000};
  bool operator==(const HolderLeaseSettings &) const = default;
};

/// Runs on its strand.
class HolderLease : public std::enable_shared_from_this<HolderLease> {
public:
  HolderLease(Strand strand, edge::KvStore store, std::string key,
              std::string value, HolderLeaseSettings settings,
              DecisionLog &log);

  /// Tries to become the holder, unless a try is under way or it is.
  void acquire();
  /// Gives up the right that a process of this name left behind, if its record
  /// still has the revision.
  void release(uint64_t revision);
  /// Renews when it is due. Call several times a second.
  void onTimer(TimePoint now);
  /// A server has seen a higher token: this one is never used again.
  void giveUp(TimePoint now);
  /// Acts no more and lets the lease lapse, so that a successor waits as long
  /// as after a crash.
  void stop() { IsStopped = true; }

  /// The token while an act that follows at once is covered. A new holder's is
  /// covered only once every act of its predecessor lies a term back.
  std::optional<uint64_t> token(TimePoint now) const;
  bool isHeld() const { return Token != 0; }
  bool isTrying() const { return IsTrying; }

private:
  void onGranted(const edge::KvLeaseResult &result, TimePoint askedAt);
  void claim();
  void onClaimed(const edge::KvTransactionResult &result);
  void readBack();
  void hold(uint64_t token);
  void drop();

  Strand On;
  edge::KvStore Store;
  std::string Key;
  std::string Value;
  HolderLeaseSettings Settings;
  DecisionLog &Log;
  swap::Lease Term;
  uint64_t Token = 0;
  TimePoint ActsFrom;
  bool IsTrying = false;
  bool IsRenewing = false;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
