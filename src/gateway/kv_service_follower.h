/// Follows the key-value service: reads a snapshot, then watches, and starts
/// over when the history is lost. Applies records of other entries while it
/// cannot reach the service.
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
  /// Of a call that only confirms the state, for requests that wait for it.
  Duration ConfirmTimeout{250'000};
  /// Bounds of the pause between retries while the service does not answer.
  Duration MinRetryPause{150'000};
  Duration MaxRetryPause{600'000};
  bool operator==(const KvServiceFollowerSettings &) const = default;
};

/// Does all its work on the strand passed to the constructor.
class KvServiceFollower
    : public std::enable_shared_from_this<KvServiceFollower> {
public:
  KvServiceFollower(GatewayState &state, Strand strand, edge::KvStore store,
                    KvServiceFollowerSettings settings, RandomSource random,
                    std::function<void()> onCatalogChanged);

  /// Called after each snapshot with the raw records.
  std::function<void(const edge::KvRangeResult &)> OnSnapshotRead;

  void start();
  void stop();
  /// Reads a new snapshot when the service was restored from a backup, and once
  /// more when the grace period after that is over. Call several times a
  /// second, on the strand.
  void onTimer(TimePoint now);
  /// Reads a new snapshot, unless one is already awaited; on the strand.
  void resync();
  /// Applies records of another entry; on the strand.
  void merge(const std::vector<direct::StoreRecord> &records);
  /// Sets whether this entry watches the service itself or relies on readers;
  /// on the strand. Pausing the watch has no effect while the service does not
  /// answer.
  void setWatching(bool isWatching);
  /// Advances State.SyncedAt to the time of this call, or a later one, with
  /// calls of its own, then calls `done`; doesn't call it on failure. On the
  /// strand.
  void confirm(std::function<void()> done);
  bool isReachable() const { return IsReachable; }

private:
  void readSnapshot();
  void onSnapshot(const edge::KvRangeResult &result, TimePoint askedAt);
  void watch();
  void onChanged(const edge::KvHeader &header,
                 const std::vector<edge::KvChange> &changes,
                 TimePoint askedAfter);
  void onEnded(const edge::KvHeader &header, uint64_t compactRevision);
  void onRevision(const edge::KvHeader &header, TimePoint askedAt,
                  const std::function<void()> &done);
  /// Reads the changes that the service has and this entry lacks at once; the
  /// watch may wait between two calls.
  void readChanges(std::function<void()> done);
  void stopReadingChanges();
  void noteVersionsRecord(const std::vector<direct::StoreRecord> &records);
  /// Merges the records; State.Software learns of servers among them that no
  /// catalog lists.
  void apply(const std::vector<direct::StoreRecord> &records, TimePoint now);
  void logRestore(const edge::KvHeader &header, TimePoint now);
  /// The service answered, and had this revision.
  void onServiceAnswered(uint64_t revision, TimePoint now);
  void onServiceFailed(const Error &reason);
  void retryLater();

  GatewayState &State;
  Strand Executor;
  edge::KvStore Store;
  KvServiceFollowerSettings Settings;
  RandomSource Random;
  /// Called when the catalog may have changed.
  std::function<void()> OnCatalogChanged;
  net::Timer Timer;
  edge::KvCancel StopWatch;
  std::shared_ptr<edge::KvCancel> StopReadingChanges;
  uint64_t Snapshots = 0; ///< That were requested.
  uint64_t Epoch = 0;     ///< Answers to calls of an earlier epoch are dropped.
  bool HasSnapshot = false;
  bool IsReachable = false;
  bool HasBeenReachable = false;
  bool IsStopped = false;
  bool IsWatchPaused = false; ///< Whether this entry relies on readers.
  uint32_t Failures = 0;
  /// Watches in a row that ended because their history was lost.
  uint32_t HistoryLosses = 0;
};

} // namespace daisytack::gateway
