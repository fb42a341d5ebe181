/// Schedules transfers over the link to one store instance. Fetches start in
/// order of deadline; exports start only when no fetch is waiting, no transfer
/// is running and the link is not congested. A token bucket limits the bytes
/// started in any time t to max(BurstBytes, largest transfer) + t *
/// BytesPerSecond. The scheduler estimates the link's rate from finished and
/// running transfers.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace daisytack {

enum class TransferKind : uint8_t { Fetch, Export };

/// A request to transfer one piece over the link.
struct Transfer {
  uint64_t Id = 0; ///< Chosen by the caller; unique per scheduler.
  TransferKind Kind = TransferKind::Fetch;
  uint64_t Bytes = 0;
  /// For a fetch, the earliest start of the prefill that needs it.
  TimePoint Deadline;
  auto operator<=>(const Transfer &) const = default;
};

/// Limits of one link.
struct LinkLimits {
  double BytesPerSecond = 1e8; ///< Rate limit, and the initial rate estimate.
  uint64_t BurstBytes = 16U << 20; ///< Capacity of the token bucket.
  /// Limit on waiting exports; further ones are refused.
  uint64_t ExportBacklogBytes = 256U << 20;
  /// Maximum concurrent transfers; more than one hides the round-trip time.
  uint32_t MaxInFlight = 2;
  Duration RoundTrip{2'000};
  auto operator<=>(const LinkLimits &) const = default;
};

/// Not thread-safe; owned by one agent's core.
class LinkScheduler {
public:
  explicit LinkScheduler(const LinkLimits &limits);

  /// Queues a transfer. Returns false and sets the reason for an export that
  /// exceeds the backlog limit. A transfer larger than the bucket starts when
  /// the bucket is full; the next one waits until the deficit is refilled.
  bool add(const Transfer &transfer, TimePoint now, Error &reason);

  /// Returns the transfer to start now, if any, and counts it as in flight
  /// until it is finished or cancelled. Call repeatedly until it returns
  /// nullopt.
  std::optional<Transfer> next(TimePoint now);

  /// Reports that a started transfer has ended after the given number of bytes.
  void finish(uint64_t id, uint64_t bytes, TimePoint now);

  /// Removes a waiting or running transfer. Tokens that it has consumed are
  /// not refunded.
  void cancel(uint64_t id);
  /// Removes a waiting transfer; false when there is no such transfer.
  bool cancelWaiting(uint64_t id);

  /// Earliest time at which next() can return a transfer without further calls
  /// to add or finish; nullopt when no waiting transfer could start.
  std::optional<TimePoint> nextAt(TimePoint now) const;

  /// Bytes in flight or waiting that are sent before a fetch with the given
  /// deadline.
  uint64_t backlogBefore(TimePoint deadline) const;

  /// Expected rate of a fetch, at most the limit. The rate falls while a
  /// running transfer is slower than expected, and returns gradually to the
  /// limit when there are no new measurements.
  double bytesPerSecond(TimePoint now) const;

  size_t waiting() const { return Waiting.size(); }
  size_t inFlight() const { return Running.size(); }
  /// Total bytes of all started transfers of the given kind.
  uint64_t startedBytes(TransferKind kind) const;

private:
  /// A started transfer.
  struct RunningTransfer {
    Transfer Request;
    TimePoint Started;
  };

  /// Content of the token bucket in bytes; negative while a deficit is
  /// refilled.
  double tokensAt(TimePoint now) const;
  double tokensNeeded(const Transfer &transfer) const;
  /// The first waiting transfer; nullptr when there is none or it may not start
  /// yet for a reason other than missing tokens.
  const Transfer *startableHead(TimePoint now) const;
  bool isCongested(TimePoint now) const;
  /// Updates the learned rate from a finished transfer.
  void learn(const RunningTransfer &finished, uint64_t bytes, TimePoint now);
  uint64_t bytesInFlight() const;
  double learnedRate(TimePoint now) const;

  LinkLimits Limits;
  /// Sorted; the next transfer to start is last.
  std::vector<Transfer> Waiting;
  std::vector<RunningTransfer> Running;
  double Tokens; ///< Content of the token bucket at TokensUpdatedAt.
  TimePoint TokensUpdatedAt{};
  double LearnedBytesPerSecond; ///< Moving average as of LearnedAt.
  TimePoint LearnedAt{};
  uint64_t ExportBacklog = 0; ///< Bytes of all waiting exports.
  uint64_t FetchBytes = 0;    ///< Bytes of all started fetches.
  uint64_t ExportBytes = 0;   ///< Bytes of all started exports.
};

} // namespace daisytack
