#include "context/link_scheduler.h"

#include <algorithm>
#include <cmath>

namespace daisytack {

namespace {

/// Weight of a new measurement in the moving average.
constexpr double MeasurementWeight = 0.3;
/// Time without measurements after which the difference between the learned
/// rate and the limit has halved.
constexpr double LearnedRateHalfLifeSeconds = 20;
/// Lower bound of the expected rate; keeps predicted times finite.
constexpr double MinBytesPerSecond = 1;
/// Exports wait while the learned rate is below this share of the limit,
/// because fetches of other agents are then using the link.
constexpr double MinExportRateShare = 0.5;
/// Share of the token bucket that exports leave for fetches.
constexpr double FetchReserveShare = 0.5;
/// Lower bound of measured transfer times; shorter ones say nothing about the
/// rate.
constexpr double MinTransferSeconds = 1e-6;
/// Tolerance in bytes for rounding errors; keeps nextAt and next consistent.
constexpr double TokenSlack = 1e-3;

double secondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

/// True when a starts after b: fetches before exports, then the earlier
/// deadline, then the lower id.
bool startsAfter(const Transfer &a, const Transfer &b) {
  if (a.Kind != b.Kind)
    return a.Kind == TransferKind::Export;
  if (a.Deadline != b.Deadline)
    return a.Deadline > b.Deadline;
  return a.Id > b.Id;
}

} // namespace

LinkScheduler::LinkScheduler(const LinkLimits &limits)
    : Limits(limits), Tokens(static_cast<double>(limits.BurstBytes)),
      LearnedBytesPerSecond(limits.BytesPerSecond) {}

bool LinkScheduler::add(const Transfer &transfer, TimePoint now,
                        Error &reason) {
  (void)now;
  if (transfer.Kind == TransferKind::Export) {
    if (ExportBacklog + transfer.Bytes > Limits.ExportBacklogBytes) {
      reason = {ErrorKind::BudgetSpent, "export backlog is full", {}};
      return false;
    }
    ExportBacklog += transfer.Bytes;
  }
  auto at =
      std::lower_bound(Waiting.begin(), Waiting.end(), transfer, startsAfter);
  Waiting.insert(at, transfer);
  return true;
}

bool LinkScheduler::isCongested(TimePoint now) const {
  return learnedRate(now) < MinExportRateShare * Limits.BytesPerSecond;
}

const Transfer *LinkScheduler::startableHead(TimePoint now) const {
  if (Waiting.empty() || Running.size() >= Limits.MaxInFlight)
    return nullptr;
  const Transfer &out = Waiting.back();
  // An export starts only on an idle link, so that it delays a fetch by at most
  // one piece.
  if (out.Kind == TransferKind::Export &&
      (!Running.empty() || isCongested(now)))
    return nullptr;
  return &out;
}

double LinkScheduler::tokensAt(TimePoint now) const {
  double refilled = std::max(0.0, secondsBetween(TokensUpdatedAt, now)) *
                    Limits.BytesPerSecond;
  return std::min(static_cast<double>(Limits.BurstBytes), Tokens + refilled);
}

double LinkScheduler::tokensNeeded(const Transfer &transfer) const {
  auto burst = static_cast<double>(Limits.BurstBytes);
  auto bytes = static_cast<double>(transfer.Bytes);
  if (transfer.Kind == TransferKind::Export)
    return std::min(burst, bytes + FetchReserveShare * burst);
  return std::min(burst, bytes);
}

std::optional<Transfer> LinkScheduler::next(TimePoint now) {
  const Transfer *head = startableHead(now);
  if (head == nullptr)
    return std::nullopt;
  double available = tokensAt(now);
  if (available + TokenSlack < tokensNeeded(*head))
    return std::nullopt;
  Transfer out = *head;
  Waiting.pop_back();
  Tokens = available - static_cast<double>(out.Bytes);
  TokensUpdatedAt = std::max(TokensUpdatedAt, now);
  if (out.Kind == TransferKind::Export) {
    ExportBacklog -= out.Bytes;
    ExportBytes += out.Bytes;
  } else {
    FetchBytes += out.Bytes;
  }
  Running.push_back({out, now});
  return out;
}

std::optional<TimePoint> LinkScheduler::nextAt(TimePoint now) const {
  const Transfer *head = startableHead(now);
  if (head == nullptr)
    return std::nullopt;
  double missing = tokensNeeded(*head) - tokensAt(now);
  if (missing <= TokenSlack)
    return now;
  double micros =
      std::ceil((missing - TokenSlack) / Limits.BytesPerSecond * 1e6);
  return now + Duration(static_cast<int64_t>(micros));
}

void LinkScheduler::finish(uint64_t id, uint64_t bytes, TimePoint now) {
  auto it = std::find_if(
      Running.begin(), Running.end(),
      [&](const RunningTransfer &f) { return f.Request.Id == id; });
  if (it == Running.end())
    return;
  learn(*it, bytes, now);
  Running.erase(it);
}

void LinkScheduler::learn(const RunningTransfer &finished, uint64_t bytes,
                          TimePoint now) {
  double seconds = secondsBetween(finished.Started, now) -
                   std::chrono::duration<double>(Limits.RoundTrip).count();
  seconds = std::max(seconds, MinTransferSeconds);
  if (bytes == 0)
    return;
  // Concurrent transfers share the link. The average is taken over the time per
  // byte, not over the rate, because it serves to predict times.
  double concurrentTransfers = static_cast<double>(Running.size());
  double measuredSecondsPerByte =
      seconds / (static_cast<double>(bytes) * concurrentTransfers);
  measuredSecondsPerByte =
      std::max(measuredSecondsPerByte, 1 / Limits.BytesPerSecond);
  double secondsPerByte = 1 / learnedRate(now);
  secondsPerByte +=
      MeasurementWeight * (measuredSecondsPerByte - secondsPerByte);
  LearnedBytesPerSecond = 1 / secondsPerByte;
  LearnedAt = now;
}

bool LinkScheduler::cancelWaiting(uint64_t id) {
  auto it = std::find_if(Waiting.begin(), Waiting.end(),
                         [&](const Transfer &t) { return t.Id == id; });
  if (it == Waiting.end())
    return false;
  if (it->Kind == TransferKind::Export)
    ExportBacklog -= it->Bytes;
  Waiting.erase(it);
  return true;
}

void LinkScheduler::cancel(uint64_t id) {
  if (!cancelWaiting(id))
    std::erase_if(Running,
                  [&](const RunningTransfer &f) { return f.Request.Id == id; });
}

uint64_t LinkScheduler::bytesInFlight() const {
  uint64_t out = 0;
  for (const RunningTransfer &it : Running)
    out += it.Request.Bytes;
  return out;
}

uint64_t LinkScheduler::backlogBefore(TimePoint deadline) const {
  uint64_t out = bytesInFlight();
  for (const Transfer &it : Waiting)
    if (it.Kind == TransferKind::Fetch && it.Deadline <= deadline)
      out += it.Bytes;
  return out;
}

double LinkScheduler::learnedRate(TimePoint now) const {
  double age = std::max(0.0, secondsBetween(LearnedAt, now));
  double learnedWeight = std::exp2(-age / LearnedRateHalfLifeSeconds);
  return Limits.BytesPerSecond -
         learnedWeight * (Limits.BytesPerSecond - LearnedBytesPerSecond);
}

double LinkScheduler::bytesPerSecond(TimePoint now) const {
  double rate = learnedRate(now);
  // Running transfers bound the rate before they end.
  for (const RunningTransfer &it : Running) {
    double seconds = secondsBetween(it.Started, now) -
                     std::chrono::duration<double>(Limits.RoundTrip).count();
    if (seconds > 0)
      rate = std::min(rate, static_cast<double>(bytesInFlight()) / seconds);
  }
  return std::max(rate, MinBytesPerSecond);
}

uint64_t LinkScheduler::startedBytes(TransferKind kind) const {
  return kind == TransferKind::Fetch ? FetchBytes : ExportBytes;
}

} // namespace daisytack
