/// Announces this entry in the key-value service under a lease, so that entries
/// find one another, and registers its address for as long as it may name
/// sources.
#pragma once

#include "edge/kv.h"
#include "gateway/kv_service_follower.h"
#include "net/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace daisytack::gateway {

/// A key and what is written to it.
struct EntryRecord {
  std::string Key;
  std::string Value;
};

/// Runs on its strand.
class EntryLease : public std::enable_shared_from_this<EntryLease> {
public:
  EntryLease(Strand strand, edge::KvStore store, EntryRecord announcement,
             EntryRecord registration, Duration term, DecisionLog &log);

  void start();
  /// The service has lost the announcement, though not the lease. Without
  /// effect while one is under way; on the strand.
  void announceAgain();
  /// Ends the lease and the registration, so that others need not wait for
  /// either, and calls done on the strand once the key-value service has
  /// answered or has not in time. Call it when no request is left: until then
  /// the entry needs what the others tell it, and may name sources.
  void stop(std::function<void()> done);

private:
  void acquireLease();
  void announce();
  void renew();
  void endLease(const std::function<void()> &done);
  void unregister(const std::function<void()> &done);
  void logEndFailure(const edge::KvHeader &answer);
  void schedule(Duration pause, void (EntryLease::*step)());

  Strand Executor;
  edge::KvStore Store;
  EntryRecord Announcement;
  EntryRecord Registration;
  Duration Term;
  DecisionLog &Log;
  net::Timer Timer;
  uint64_t Lease = 0;
  uint64_t RegistrationRevision =
      0;                    ///< Revision of the registration; 0: not known.
  bool IsAnnounced = false; ///< As far as the service has said.
  bool IsStopped = false;
};

} // namespace daisytack::gateway
