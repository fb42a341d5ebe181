#include "swap/load_slots.h"

#include <algorithm>

namespace daisytack::swap {

namespace {

constexpr std::string_view SlotPrefix = "/daisytack/slots/";

/// Returns a random duration of 0.5 to 1.5 times the mean, so that servers
/// don't retry at the same time.
Duration jittered(Duration mean, const RandomSource &random) {
  constexpr uint64_t Steps = 1024;
  auto share = static_cast<int64_t>(random() % Steps);
  return mean / 2 + mean * share / static_cast<int64_t>(Steps);
}

} // namespace

std::string slotPrefix(std::string_view model) {
  std::string out(SlotPrefix);
  out += model;
  out += '/';
  return out;
}

LoadSlot::LoadSlot(LoadSlotInit init, RandomSource random)
    : Init(std::move(init)), Random(std::move(random)),
      SlotLease(Init.LeaseSettings) {}

std::string LoadSlot::slotKey(uint32_t slot) const {
  return slotPrefix(Init.Model) + std::to_string(slot);
}

SlotCall LoadSlot::startCall(State next,
                             decltype(SlotCall::Operation) operation,
                             TimePoint now) {
  CurrentState = next;
  AskedAt = now;
  AwaitedCall = ++LastCallNumber;
  return {LastCallNumber, std::move(operation)};
}

std::optional<SlotCall> LoadSlot::acquire(uint32_t usableSlots,
                                          uint32_t competitors, TimePoint now) {
  if (CurrentState != State::Idle || now < NextAttempt || usableSlots == 0)
    return std::nullopt;
  UsableSlots = usableSlots;
  Competitors = competitors;
  edge::KvRange range;
  range.Begin = slotPrefix(Init.Model);
  range.End = edge::prefixEnd(range.Begin);
  return startCall(State::ReadingSlots, std::move(range), now);
}

std::optional<SlotCall> LoadSlot::onResult(const SlotResult &result,
                                           TimePoint now) {
  if (!AwaitedCall || result.Number != *AwaitedCall)
    return std::nullopt;
  AwaitedCall.reset();
  if (auto *range = std::get_if<edge::KvRangeResult>(&result.Response))
    return CurrentState == State::ReadingSlots ? onSlotList(*range, now)
                                               : onVerification(*range, now);
  if (auto *written = std::get_if<edge::KvTransactionResult>(&result.Response))
    return onClaim(*written, now);
  const auto &lease = std::get<edge::KvLeaseResult>(result.Response);
  if (CurrentState == State::GrantingLease)
    return onGrant(lease, now);
  onRenewal(lease, now);
  return std::nullopt;
}

/// Handles the list of claimed slots. The list is read before a lease is
/// granted because reads cost the service less, and most attempts find no free
/// slot if the model has many servers.
std::optional<SlotCall> LoadSlot::onSlotList(const edge::KvRangeResult &result,
                                             TimePoint now) {
  if (result.Header.Status != edge::KvStatus::Ok)
    return giveUp(now);
  for (Slot = 0; Slot < UsableSlots; ++Slot) {
    auto taken = [&](const edge::KvEntry &it) {
      return it.Key == slotKey(Slot);
    };
    if (std::none_of(result.Entries.begin(), result.Entries.end(), taken))
      return startCall(State::GrantingLease,
                       GrantLease{Init.LeaseSettings.TimeToLive}, now);
  }
  return giveUp(now);
}

std::optional<SlotCall> LoadSlot::onGrant(const edge::KvLeaseResult &result,
                                          TimePoint now) {
  if (result.Header.Status != edge::KvStatus::Ok || result.Lease == 0)
    return giveUp(now);
  SlotLease.granted(result.Lease, result.TimeLeft, AskedAt);
  edge::KvTransaction out;
  out.If.push_back({slotKey(Slot), edge::KvCompare::Target::CreateRevision, 0});
  out.Then.push_back({slotKey(Slot), Init.Instance + ' ' + toHex(Init.Process),
                      result.Lease, false});
  out.ReadOnFailure.push_back(slotKey(Slot));
  return startCall(State::ClaimingSlot, std::move(out), now);
}

std::optional<SlotCall>
LoadSlot::onClaim(const edge::KvTransactionResult &result, TimePoint now) {
  if (result.Header.Status == edge::KvStatus::Ok) {
    markHeld(result.Header.Revision);
    return std::nullopt;
  }
  if (result.Header.Status != edge::KvStatus::Unknown)
    return giveUp(now);
  edge::KvRange range;
  range.Begin = slotKey(Slot);
  return startCall(State::VerifyingClaim, std::move(range), now);
}

/// Handles the read after a claim whose answer was lost. The slot is held only
/// if the read shows the claim. A claim that is applied later fails because
/// giveUp() revokes its lease.
std::optional<SlotCall>
LoadSlot::onVerification(const edge::KvRangeResult &result, TimePoint now) {
  if (result.Header.Status != edge::KvStatus::Ok || result.Entries.empty() ||
      !isOwnClaim(result.Entries.front()))
    return giveUp(now);
  markHeld(result.Entries.front().CreateRevision);
  return std::nullopt;
}

void LoadSlot::markHeld(uint64_t fence) {
  CurrentState = State::Held;
  Fence = fence;
  NextRenewal = *SlotLease.renewAt();
}

bool LoadSlot::isOwnClaim(const edge::KvEntry &entry) const {
  return entry.Lease == SlotLease.id() &&
         entry.Value == Init.Instance + ' ' + toHex(Init.Process);
}

void LoadSlot::onRenewal(const edge::KvLeaseResult &result, TimePoint now) {
  // Without an answer the lease keeps its end time, and the renewal is retried.
  NextRenewal = now + Init.MinRetryDelay;
  if (result.Header.Status != edge::KvStatus::Ok)
    return;
  SlotLease.renewed(result.Lease, result.TimeLeft, AskedAt);
  NextRenewal = SlotLease.renewAt().value_or(now);
}

std::optional<SlotCall> LoadSlot::giveUp(TimePoint now) {
  double seconds = static_cast<double>(Competitors) / Init.AttemptsPerSecond;
  auto mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  NextAttempt = now + jittered(std::max(mean, Init.MinRetryDelay), Random);
  return release(now);
}

std::optional<SlotCall> LoadSlot::release(TimePoint now) {
  CurrentState = State::Idle;
  AwaitedCall.reset();
  Fence = 0;
  uint64_t lease = SlotLease.id();
  SlotLease.lost();
  if (lease == 0)
    return std::nullopt;
  SlotCall out = startCall(State::Idle, RevokeLease{lease}, now);
  AwaitedCall.reset();
  return out;
}

std::optional<SlotCall> LoadSlot::onTimer(TimePoint now) {
  if (CurrentState == State::Held && SlotLease.hasLapsed(now))
    return giveUp(now);
  if (AwaitedCall && now >= AskedAt + Init.CallTimeout) {
    AwaitedCall.reset();
    if (CurrentState != State::Held)
      return giveUp(now);
  }
  if (CurrentState == State::Held && !AwaitedCall && now >= NextRenewal)
    return startCall(State::Held, KeepLease{SlotLease.id()}, now);
  return std::nullopt;
}

std::optional<uint64_t> LoadSlot::fence(TimePoint now) const {
  if (CurrentState != State::Held || !SlotLease.mayAct(now))
    return std::nullopt;
  return Fence;
}

std::optional<TimePoint> LoadSlot::nextTimer() const {
  if (CurrentState == State::Idle)
    return NextAttempt;
  if (CurrentState != State::Held)
    return AskedAt + Init.CallTimeout;
  TimePoint next = AwaitedCall ? AskedAt + Init.CallTimeout : NextRenewal;
  return std::min(next, SlotLease.endsAt().value_or(next));
}

} // namespace daisytack::swap
