/// Orders transfers over the link to one store instance: earliest deadline
/// first, exports only when no fetch wants the link and the link is not
/// crowded, and never more bytes than the budget: in any time t at most
/// max(BurstBytes, largest transfer) + t * BytesPerSecond are started. Learns
/// the link's rate from what it measures.
#pragma once

#include "daisytack/error.h"
#include "daisytack/types.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace daisytack {

enum class TransferKind : uint8_t { Fetch, Export };

/// One piece that wants to cross the link.
struct Transfer {
  uint64_t Id = 0; ///< Unique per scheduler; chosen by the caller.
  TransferKind Kind = TransferKind::Fetch;
  uint64_t Bytes = 0;
  TimePoint Deadline; ///< Of a fetch: when the prefill could start.
  auto operator<=>(const Transfer &) const = default;
};

struct LinkLimits {
  double BytesPerSecond = 1e8;     ///< Budget, and the rate assumed at first.
  uint64_t BurstBytes = 16U << 20; ///< Started at once after a pause.
  uint64_t ExportBacklogBytes = 256U << 20; ///< Exports beyond are refused.
  uint32_t MaxInFlight = 2; ///< Transfers at once; hides the round trip.
  Duration RoundTrip{2'000};
  auto operator<=>(const LinkLimits &) const = default;
};

/// Not thread-safe; owned by one agent's core.
class LinkScheduler {
public:
  explicit LinkScheduler(const LinkLimits &limits);

  /// Queues a transfer. False, with the reason, for an export that the backlog
  /// has no room for. One that is larger than the burst starts when the burst
  /// is whole, and the link then rests until it has been earned.
  bool add(const Transfer &transfer, TimePoint now, Error &reason);

  /// The transfer to start now, if any; it counts as in flight until finished
  /// or cancelled. Call again until there is nothing.
  std::optional<Transfer> next(TimePoint now);

  /// A transfer that was started has ended, after so many bytes.
  void finish(uint64_t id, uint64_t bytes, TimePoint now);

  /// Forgets a transfer, whether waiting or in flight. What it has spent of
  /// the budget stays spent.
  void cancel(uint64_t id);
  /// Forgets a transfer that has not been started; false when there is none.
  bool cancelWaiting(uint64_t id);

  /// When next() can give something without a further call to add or finish;
  /// nothing when no waiting transfer could start.
  std::optional<TimePoint> nextAt(TimePoint now) const;

  /// Bytes, in flight and waiting, that go before a fetch of that deadline.
  uint64_t backlogBefore(TimePoint deadline) const;

  /// Rate that a fetch can expect now, at most the budget. Falls while a
  /// transfer takes longer than it should, and drifts back to the budget when
  /// nothing has been measured for a while.
  double bytesPerSecond(TimePoint now) const;

  size_t waiting() const { return Waiting.size(); }
  size_t inFlight() const { return Running.size(); }
  /// Bytes started so far, by kind.
  uint64_t startedBytes(TransferKind kind) const;

private:
  struct RunningTransfer {
    Transfer Request;
    TimePoint Started;
  };

  double tokensAt(TimePoint now) const;
  double tokensNeeded(const Transfer &transfer) const;
  const Transfer *startableHead(TimePoint now) const;
  bool isCongested(TimePoint now) const;
  void learn(const RunningTransfer &transfer, uint64_t bytes, TimePoint now);
  uint64_t bytesInFlight() const;
  double learnedRate(TimePoint now) const;

  LinkLimits Limits;
  std::vector<Transfer> Waiting; ///< Sorted: the best one last.
  std::vector<RunningTransfer> Running;
  double Tokens;
  TimePoint TokensUpdatedAt{};
  double LearnedBytesPerSecond;
  TimePoint LearnedAt{};
  uint64_t ExportBacklog = 0;
  uint64_t FetchBytes = 0;
  uint64_t ExportBytes = 0;
};

} // namespace daisytack
