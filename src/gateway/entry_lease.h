/// Announces this entry in the key-value service under a lease, so that entries
/// find one another.
#pragma once

#include "edge/kv.h"
#include "gateway/store_follower.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace daisytack::gateway {

/// Runs on its strand.
class EntryLease : public std::enable_shared_from_this<EntryLease> {
public:
  EntryLease(Strand strand, edge::KvStore store, std::string key,
             std::string value, Duration term, DecisionLog &log);

  void start();
  /// Ends the lease, so that others need not wait for it to lapse, and calls
  /// done on the strand once the key-value service has answered or has not in
  /// time. Call it when no request is left: until then the entry needs what the
  /// others tell it.
  void stop(std::function<void()> done);

private:
  void grant();
  void announce();
  void keep();
  void end(std::function<void()> done);
  void onEnded(const edge::KvHeader &answer);
  void later(Duration pause, void (EntryLease::*step)());

  Strand On;
  edge::KvStore Store;
  std::string Key;
  std::string Value;
  Duration Term;
  DecisionLog &Log;
  boost::asio::steady_timer Timer;
  uint64_t Lease = 0;
  bool IsStopped = false;
};

} // namespace daisytack::gateway
