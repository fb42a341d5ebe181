/// Follows the key-value service: reads everything once, then watches, and
/// starts over when history is lost. Learns from other entries while the
/// service does not answer this one.
#pragma once

#include "edge/kv.h"
#include "gateway/gateway_state.h"
#include "net/timer.h"

#include <boost/asio/strand.hpp>

#include <functional>
#include <memory>

namespace daisytack::gateway {

using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

struct StoreFollowerSettings {
  Duration CallTimeout{1'500'000};
  /// Pauses between tries while the service does not answer.
  Duration LeastPause{150'000};
  Duration LongestPause{600'000};
  bool operator==(const StoreFollowerSettings &) const = default;
};

/// Runs on its strand.
class StoreFollower : public std::enable_shared_from_this<StoreFollower> {
public:
  StoreFollower(GatewayState &state, Strand strand, edge::KvStore store,
                StoreFollowerSettings settings, RandomSource random,
                std::function<void()> changed);

  void start();
  void stop();
  /// Reads everything anew where the service has come back from an older copy.
  /// Call several times a second; on the strand.
  void onTimer(TimePoint now);
  /// Reads everything, unless it is about to; on the strand.
  void readAnew();
  /// Records from another entry; on the strand.
  void merge(const std::vector<direct::StoreRecord> &records);
  /// Whether this entry is to watch the service itself, or others tell it; on
  /// the strand. Without effect until the service has answered.
  void setWatching(bool isWatching);
  bool isReachable() const { return IsReachable; }

private:
  void readAll();
  void onAll(const edge::KvRangeResult &result, TimePoint askedAt);
  void watch();
  void onChanged(const edge::KvHeader &header,
                 const std::vector<edge::KvChange> &changes,
                 TimePoint askedAfter);
  void onEnded(const edge::KvHeader &header, uint64_t compactRevision);
  void noteEra(const edge::KvHeader &header, TimePoint now);
  void confirm(TimePoint now);
  void fail(const Error &reason);
  void retryLater();

  GatewayState &State;
  Strand On;
  edge::KvStore Store;
  StoreFollowerSettings Settings;
  RandomSource Random;
  std::function<void()> Changed; ///< The catalog may have changed.
  net::Timer Timer;
  edge::KvCancel StopWatch;
  uint64_t Epoch = 0; ///< Answers to calls of an earlier one are dropped.
  bool HasAll = false;
  bool IsReachable = false;
  bool WasReachable = false;
  bool IsStopped = false;
  bool IsResting = false; ///< Others tell what the service holds.
  uint32_t Failures = 0;
  uint32_t HistoryLosses = 0; ///< In a row.
};

} // namespace daisytack::gateway
