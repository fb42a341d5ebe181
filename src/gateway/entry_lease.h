/// Announces this entry in the key-value service under a lease, so that entries
/// find one another, and registers its address for as long as it may name
/// context stores as sources.
#pragma once

#include "edge/kv.h"
#include "gateway/kv_service_follower.h"
#include "net/timer.h"

#include <functional>
#include <memory>
#include <string>

namespace daisytack::gateway {

/// A key and the value written to it.
struct EntryRecord {
  std::string Key;
  std::string Value;
};

/// Does all its work on the strand passed to the constructor.
class EntryLease : public std::enable_shared_from_this<EntryLease> {
public:
  EntryLease(Strand strand, edge::KvStore store, EntryRecord announcement,
             EntryRecord registration, Duration term, DecisionLog &log);

  void start();
  /// Announces the entry again after the service lost the announcement but not
  /// the lease. Has no effect while an announcement is in progress. Call on the
  /// strand.
  void announceAgain();
  /// Ends the lease and the registration, so that other entries need not wait
  /// for either. Calls `done` on the strand once the key-value service has
  /// answered or the calls have timed out. Call it when no request is left:
  /// until then this entry needs the messages of other entries, and may name
  /// sources.
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
  /// Revision of the registration; 0: unknown.
  uint64_t RegistrationRevision = 0;
  /// Whether the service has confirmed the announcement.
  bool IsAnnounced = false;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
