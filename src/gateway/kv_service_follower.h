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

struct KvServiceFollowerSettings {
  Duration CallTimeout{1'500'000};
  /// Pauses between tries while the service does not answer.
  Duration MinRetryPause{150'000};
  Duration MaxRetryPause{600'000};
  bool operator==(const KvServiceFollowerSettings &) const = default;
};

/// Runs on its strand.
class KvServiceFollower
    : public std::enable_shared_from_this<KvServiceFollower> {
public:
  KvServiceFollower(GatewayState &state, Strand strand, edge::KvStore store,
                    KvServiceFollowerSettings settings, RandomSource random,
                    std::function<void()> onCatalogChanged);

  void start();
  void stop();
  /// Reads everything anew where the service has come back from an older copy.
  /// Call several times a second; on the strand.
  void onTimer(TimePoint now);
  /// Reads everything, unless it is about to; on the strand.
  void resync();
  /// Records from another entry; on the strand.
  void merge(const std::vector<direct::StoreRecord> &records);
  /// Whether this entry is to watch the service itself, or others tell it; on
  /// the strand. Without effect until the service has answered.
  void setWatching(bool isWatching);
  bool isReachable() const { return IsReachable; }

private:
  void readSnapshot();
  void onSnapshot(const edge::KvRangeResult &result, TimePoint askedAt);
  void watch();
  void onChanged(const edge::KvHeader &header,
                 const std::vector<edge::KvChange> &changes,
                 TimePoint askedAfter);
  void onEnded(const edge::KvHeader &header, uint64_t compactRevision);
  void logRestore(const edge::KvHeader &header, TimePoint now);
  void onServiceAnswered(TimePoint now);
  void onServiceFailed(const Error &reason);
  void retryLater();

  GatewayState &State;
  Strand Executor;
  edge::KvStore Store;
  KvServiceFollowerSettings Settings;
  RandomSource Random;
  std::function<void()> OnCatalogChanged; ///< The catalog may have changed.
  net::Timer Timer;
  edge::KvCancel StopWatch;
  uint64_t Epoch = 0; ///< Answers to calls of an earlier one are dropped.
  bool HasSnapshot = false;
  bool IsReachable = false;
  bool HasBeenReachable = false;
  bool IsStopped = false;
  bool IsWatchPaused = false; ///< Others tell what the service holds.
  uint32_t Failures = 0;
  uint32_t HistoryLosses = 0; ///< In a row.
};

} // namespace daisytack::gateway
